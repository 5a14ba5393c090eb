#ifndef INDIGOLEAD_CORE_ROUTING_IN_FLIGHT_TABLE_H_
#define INDIGOLEAD_CORE_ROUTING_IN_FLIGHT_TABLE_H_

#include <cstdint>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace indigolead {

/// Work of one attempt at its target.
struct AttemptWork {
  std::uint64_t prefill_tokens = 0;  ///< Uncached prompt tokens.
  std::uint64_t output_tokens = 0;
  std::uint64_t kv_bytes = 0;

  friend bool operator==(const AttemptWork&, const AttemptWork&) = default;
};

/// An attempt that was sent to a target and whose end is not yet covered by a
/// load report of that target.
struct InFlightAttempt {
  AttemptId id;
  std::uint32_t target = 0;  ///< Index of the target.
  AttemptWork work;
  Duration expected_first_token{0};
  Duration expected_end{0};
  TimePoint sent_at{};
  TimePoint ended_at{};
  bool first_token_seen = false;
  bool ended = false;
};

/// Fixed-size pool of attempts, indexed by id and listed by target.
///
/// An ended attempt is kept until a report measured after its end arrives;
/// otherwise a delayed report would still count it as load. All memory is
/// allocated by the constructor.
class InFlightTable {
 public:
  /// Marks the end of a list.
  static constexpr std::uint32_t kNone = UINT32_MAX;

  InFlightTable(std::uint32_t capacity, std::uint32_t max_targets);

  /// Adds `attempt`. Returns its index, or `kNone` if the table is full or
  /// already contains the id.
  std::uint32_t Insert(const InFlightAttempt& attempt);

  /// Returns the index of `id`, or `kNone`.
  std::uint32_t Find(const AttemptId& id) const;

  /// Removes the attempt at `slot`, which must be in use.
  void Erase(std::uint32_t slot);

  /// Returns the first index in the list of `target`, or `kNone`.
  std::uint32_t First(std::uint32_t target) const { return heads_[target]; }

  /// Returns the index after `slot` in its target's list, or `kNone`.
  std::uint32_t Next(std::uint32_t slot) const { return nodes_[slot].next; }

  InFlightAttempt& At(std::uint32_t slot) { return nodes_[slot].attempt; }

  std::uint32_t size() const { return size_; }

 private:
  struct Node {
    InFlightAttempt attempt;
    std::uint32_t next = kNone;
    std::uint32_t previous = kNone;
  };

  std::uint32_t Bucket(const AttemptId& id) const;
  void EraseBucket(std::uint32_t bucket);

  std::vector<Node> nodes_;
  std::vector<std::uint32_t> heads_;
  std::vector<std::uint32_t> buckets_;  ///< Open addressing, linear probing.
  std::uint32_t bucket_mask_;
  std::uint32_t free_ = kNone;
  std::uint32_t size_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROUTING_IN_FLIGHT_TABLE_H_
