#include "core/routing/prefix_cache_hint.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace indigolead {
namespace {

/// Resolution of the timestamps.
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr std::uint32_t kTickMask = (1U << 24U) - 1;

/// Units of staleness that halve the confidence.
constexpr double kStalenessPerHalving = 16;
/// Maximum staleness that one gap adds: eight halvings. Blocks are removed at
/// half of it. It is half the range of eight bits, so that a block's staleness
/// cannot wrap around before the block is removed.
constexpr std::uint32_t kMaxStaleness = 128;

}  // namespace

PrefixCacheHint::PrefixCacheHint(const Options& options)
    : sets_(std::bit_ceil(
          std::max<std::size_t>(options.capacity_blocks / kWays, 1))),
      mask_(sets_.size() - 1),
      half_life_ticks_(
          std::max(1.0, static_cast<double>(options.half_life / kTick))) {}

std::uint32_t PrefixCacheHint::Tick(TimePoint now) {
  return static_cast<std::uint32_t>(now.time_since_epoch() / kTick) & kTickMask;
}

std::uint32_t PrefixCacheHint::Tag(std::uint64_t block) {
  return static_cast<std::uint32_t>(block >> 32U) | 1U;
}

std::uint32_t PrefixCacheHint::AgeOf(const Entry& entry,
                                     std::uint32_t tick) const {
  const std::uint32_t age = (tick - entry.tick) & kTickMask;
  // If the clock went backwards, the entry counts as new, not as very old.
  return age > kTickMask / 2 ? 0 : age;
}

std::uint32_t PrefixCacheHint::StalenessOf(const Entry& entry) const {
  return (staleness_ - entry.staleness) & 0xFFU;
}

void PrefixCacheHint::Add(std::uint64_t block, TimePoint now) {
  Set& set = sets_[block & mask_];
  const std::uint32_t tag = Tag(block);
  const std::uint32_t tick = Tick(now);
  Entry* slot = &set[0];
  for (Entry& it : set) {
    if (it.tag == tag) {
      slot = &it;
      break;
    }
    // Prefers an empty entry, else the one not seen for the longest time.
    const bool better =
        slot->tag != 0 && (it.tag == 0 || AgeOf(it, tick) > AgeOf(*slot, tick));
    slot = better ? &it : slot;
  }
  size_ += slot->tag == 0 ? 1 : 0;
  slot->tag = tag;
  slot->tick = tick;
  slot->staleness = staleness_ & 0xFFU;
}

void PrefixCacheHint::Remove(std::uint64_t block) {
  for (Entry& it : sets_[block & mask_]) {
    if (it.tag == Tag(block)) {
      it = Entry{};
      --size_;
    }
  }
}

void PrefixCacheHint::OnLostEvents(std::uint64_t lost_blocks) {
  if (size_ == 0 || lost_blocks == 0) {
    return;
  }
  // Half of the lost events are assumed to be removals of known blocks.
  const double removed = static_cast<double>(lost_blocks) / 2;
  const double kept =
      static_cast<double>(size_) / (static_cast<double>(size_) + removed);
  const double parts = std::ceil(-std::log2(kept) * kStalenessPerHalving);
  staleness_ += static_cast<std::uint32_t>(
      std::min(parts, static_cast<double>(kMaxStaleness)));
  if (staleness_ - dropped_at_staleness_ >= kMaxStaleness / 2) {
    DropStale();
  }
}

void PrefixCacheHint::DropStale() {
  dropped_at_staleness_ = staleness_;
  for (Set& set : sets_) {
    for (Entry& it : set) {
      if (it.tag != 0 && StalenessOf(it) >= kMaxStaleness / 2) {
        it = Entry{};
        --size_;
      }
    }
  }
}

void PrefixCacheHint::Clear() {
  std::fill(sets_.begin(), sets_.end(), Set{});
  size_ = 0;
}

const PrefixCacheHint::Entry* PrefixCacheHint::FindEntry(
    std::uint64_t block) const {
  const Set& set = sets_[block & mask_];
  const std::uint32_t tag = Tag(block);
  for (const Entry& it : set) {
    if (it.tag == tag) {
      return &it;
    }
  }
  return nullptr;
}

double PrefixCacheHint::Confidence(const Entry& entry, TimePoint now) const {
  const double halvings = AgeOf(entry, Tick(now)) / half_life_ticks_ +
                          StalenessOf(entry) / kStalenessPerHalving;
  return std::exp2(-halvings);
}

CachedPrefix PrefixCacheHint::Find(std::span<const std::uint64_t> blocks,
                                   TimePoint now) const {
  // Checks the first block first: most targets cache nothing of a prompt, and
  // then only one cache line is read.
  const Entry* last = blocks.empty() ? nullptr : FindEntry(blocks[0]);
  if (last == nullptr) {
    return CachedPrefix{};
  }
  std::size_t low = 1;
  std::size_t high = blocks.size();
  while (low < high) {
    const std::size_t middle = low + (high - low) / 2;
    if (const Entry* entry = FindEntry(blocks[middle])) {
      last = entry;
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return CachedPrefix{low, Confidence(*last, now)};
}

}  // namespace indigolead
