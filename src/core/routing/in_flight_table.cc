#include "core/routing/in_flight_table.h"

#include <bit>
#include <functional>

namespace indigolead {

InFlightTable::InFlightTable(std::uint32_t capacity, std::uint32_t max_targets)
    : nodes_(capacity),
      heads_(max_targets, kNone),
      buckets_(std::bit_ceil(capacity * 2 + 2), kNone),
      bucket_mask_(static_cast<std::uint32_t>(buckets_.size()) - 1) {
  for (std::uint32_t it = capacity; it > 0; --it) {
    nodes_[it - 1].next = free_;
    free_ = it - 1;
  }
}

std::uint32_t InFlightTable::Bucket(const AttemptId& id) const {
  return static_cast<std::uint32_t>(std::hash<AttemptId>{}(id)) & bucket_mask_;
}

std::uint32_t InFlightTable::Insert(const InFlightAttempt& attempt) {
  if (free_ == kNone) {
    return kNone;
  }
  std::uint32_t bucket = Bucket(attempt.id);
  while (buckets_[bucket] != kNone) {
    if (nodes_[buckets_[bucket]].attempt.id == attempt.id) {
      return kNone;
    }
    bucket = (bucket + 1) & bucket_mask_;
  }
  const std::uint32_t slot = free_;
  Node& node = nodes_[slot];
  free_ = node.next;
  node.attempt = attempt;
  node.previous = kNone;
  node.next = heads_[attempt.target];
  if (node.next != kNone) {
    nodes_[node.next].previous = slot;
  }
  heads_[attempt.target] = slot;
  buckets_[bucket] = slot;
  ++size_;
  return slot;
}

std::uint32_t InFlightTable::Find(const AttemptId& id) const {
  std::uint32_t bucket = Bucket(id);
  while (buckets_[bucket] != kNone) {
    if (nodes_[buckets_[bucket]].attempt.id == id) {
      return buckets_[bucket];
    }
    bucket = (bucket + 1) & bucket_mask_;
  }
  return kNone;
}

void InFlightTable::Erase(std::uint32_t slot) {
  Node& node = nodes_[slot];
  std::uint32_t bucket = Bucket(node.attempt.id);
  while (buckets_[bucket] != slot) {
    bucket = (bucket + 1) & bucket_mask_;
  }
  EraseBucket(bucket);
  if (node.previous == kNone) {
    heads_[node.attempt.target] = node.next;
  } else {
    nodes_[node.previous].next = node.next;
  }
  if (node.next != kNone) {
    nodes_[node.next].previous = node.previous;
  }
  node.next = free_;
  free_ = slot;
  --size_;
}

// Shifts later entries of the probe sequence back instead of leaving a
// tombstone, so that lookups stay short in long-running processes.
void InFlightTable::EraseBucket(std::uint32_t bucket) {
  std::uint32_t hole = bucket;
  std::uint32_t it = bucket;
  while (true) {
    it = (it + 1) & bucket_mask_;
    if (buckets_[it] == kNone) {
      break;
    }
    const std::uint32_t home = Bucket(nodes_[buckets_[it]].attempt.id);
    const std::uint32_t home_distance = (it - home) & bucket_mask_;
    const std::uint32_t hole_distance = (it - hole) & bucket_mask_;
    if (home_distance >= hole_distance) {
      buckets_[hole] = buckets_[it];
      hole = it;
    }
  }
  buckets_[hole] = kNone;
}

}  // namespace indigolead
