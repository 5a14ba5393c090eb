#ifndef INDIGOLEAD_CORE_ROUTING_IN_FLIGHT_TABLE_H_
#define INDIGOLEAD_CORE_ROUTING_IN_FLIGHT_TABLE_H_

#include <cstdint>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace indigolead {

/// Work that one attempt puts on a target.
struct AttemptWork {
  std::uint64_t prefill_tokens = 0;  ///< Prompt tokens not cached there.
  std::uint64_t output_tokens = 0;
  std::uint64_t kv_bytes = 0;

  friend bool operator==(const AttemptWork&, const AttemptWork&) = default;
};

/// One attempt that was sent to a target and whose end is not yet contained in
/// a load report of that target.
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

/// Fixed pool of attempts, found by id and listed by target.
///
/// Ended attempts are kept until a report measured after their end arrives:
/// without them, a lagging report would count them as load for ever. All
/// memory is allocated by the constructor.
class InFlightTable {
 public:
  /// Marks the end of a list.
  static constexpr std::uint32_t kNone = UINT32_MAX;

  InFlightTable(std::uint32_t capacity, std::uint32_t max_targets);

  /// Adds `attempt`. Returns its place, or `kNone` if the table is full or
  /// already holds the id.
  std::uint32_t Insert(const InFlightAttempt& attempt);

  /// Returns the place of `id`, or `kNone`.
  std::uint32_t Find(const AttemptId& id) const;

  /// Forgets the attempt at `place`, which must be in use.
  void Erase(std::uint32_t place);

  /// Returns the first place in the list of `target`, or `kNone`.
  std::uint32_t First(std::uint32_t target) const { return heads_[target]; }

  /// Returns the place after `place` in its target's list, or `kNone`.
  std::uint32_t Next(std::uint32_t place) const { return nodes_[place].next; }

  InFlightAttempt& At(std::uint32_t place) { return nodes_[place].attempt; }

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
