#ifndef INDIGOLEAD_CORE_PLACEMENT_FAILURE_GUARD_H_
#define INDIGOLEAD_CORE_PLACEMENT_FAILURE_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "core/base/time.h"

namespace indigolead {

/// Keeps new work from targets whose calls break one after the other.
///
/// The failure: a target that resets its connections, or is out of reach, ends
/// its attempts at once and so always has the fewest in flight. The symptom:
/// it draws most of the new ones, and each caller loses a retry or an answer,
/// for as long as its registration stands. Two broken calls with no good one
/// between them are enough to tell it from a target that loses one answer now
/// and then; one good call ends the suspicion. A target that is avoided still
/// gets work where there is no other.
///
/// Not thread-safe. Memory: one record for each target that is known.
class FailureGuard {
 public:
  struct Options {
    std::uint32_t max_in_a_row = 2;
    /// For so long it is left alone: several requests of an entry in that time,
    /// and less than a target takes to be replaced. Doubles with each further
    /// break, up to the longest, within which a healed path is found again.
    Duration avoid = std::chrono::seconds(1);
    Duration longest_avoid = std::chrono::seconds(4);
  };

  explicit FailureGuard(Options options) : options_(options) {}

  /// A call to the target broke. Returns the time for which the target is
  /// avoided from now on; zero if it is not.
  Duration OnBroken(const std::string& instance, TimePoint now);
  /// A call to the target ended as it should.
  void OnGood(const std::string& instance) { records_.erase(instance); }
  /// The target's run is over.
  void Forget(const std::string& instance) { records_.erase(instance); }

  bool IsAvoided(const std::string& instance, TimePoint now) const;

  /// Returns true if so many of the targets in question may be avoided at once.
  ///
  /// The failure: this entry's own path is cut for a moment, so that every
  /// target it calls breaks. The symptom: all its traffic goes to the few that
  /// it has not called, which refuse it. More than two thirds are not believed
  /// to fail together; with fewer the rest can carry the load of all.
  static bool IsPlausible(std::size_t avoided, std::size_t of) {
    return 3 * avoided <= 2 * of;
  }

 private:
  struct Record {
    std::uint32_t in_a_row = 0;
    TimePoint avoid_until{};
  };

  Options options_;
  std::map<std::string, Record> records_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_FAILURE_GUARD_H_
