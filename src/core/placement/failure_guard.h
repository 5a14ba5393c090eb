#ifndef INDIGOLEAD_CORE_PLACEMENT_FAILURE_GUARD_H_
#define INDIGOLEAD_CORE_PLACEMENT_FAILURE_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "core/base/time.h"

namespace indigolead {

/// Circuit breaker that avoids targets whose consecutive calls break, that is,
/// lose their connection or cannot establish one.
///
/// A target that resets its connections or is unreachable ends its attempts at
/// once, so it always has the fewest in flight and attracts most new ones. Each
/// of them costs its caller a retry or an answer, for as long as the target
/// stays registered. Two broken calls without a successful one between them
/// tell it from a target that loses an occasional answer; one successful call
/// resets the record. An avoided target still gets work if there is no other.
///
/// Not thread-safe. Holds one record for each target with broken calls.
class FailureGuard {
 public:
  struct Options {
    std::uint32_t failures_to_avoid = 2;
    /// Time for which a target is avoided. An entry process sends several
    /// requests in this time, and replacing a target takes longer. Doubles with
    /// each further broken call up to `max_avoid_duration`, which bounds the
    /// time until a recovered path is used again.
    Duration avoid_duration = std::chrono::seconds(1);
    Duration max_avoid_duration = std::chrono::seconds(4);
  };

  explicit FailureGuard(Options options) : options_(options) {}

  /// Records a broken call. Returns the time for which the target is avoided
  /// because of it, or zero.
  Duration RecordFailure(const std::string& instance, TimePoint now);
  /// Records a successful call.
  void RecordSuccess(const std::string& instance) { records_.erase(instance); }
  /// Discards the record of a target whose process ended.
  void Forget(const std::string& instance) { records_.erase(instance); }

  bool IsAvoided(const std::string& instance, TimePoint now) const;

  /// Returns true if `avoided` out of `of` targets may be avoided at the same
  /// time.
  ///
  /// If this entry process's own network path is interrupted, calls to every
  /// target break, and all traffic would move to the few targets not called
  /// yet, which would refuse it. More than two thirds are therefore assumed not
  /// to fail together; with fewer, the rest can carry the whole load.
  static bool MayAvoidAtOnce(std::size_t avoided, std::size_t of) {
    return 3 * avoided <= 2 * of;
  }

 private:
  struct Record {
    std::uint32_t consecutive_failures = 0;
    TimePoint avoid_until{};
  };

  Options options_;
  std::map<std::string, Record> records_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_FAILURE_GUARD_H_
