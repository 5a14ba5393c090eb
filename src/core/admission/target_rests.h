#ifndef INDIGOLEAD_CORE_ADMISSION_TARGET_RESTS_H_
#define INDIGOLEAD_CORE_ADMISSION_TARGET_RESTS_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// Remembers which targets want no request of this entry, and until when.
///
/// The failure: a target that turns a request away says for how long it wants
/// nothing more, and gets more. The symptom: each of these requests is turned
/// away as well, and its caller loses an attempt while other targets have room.
///
/// A rest is asked of one entry, and by one run of a target.
///
/// Not thread-safe. Memory: one record for each target at rest.
class TargetRests {
 public:
  /// Longest rest that is believed: bounds what one wrong header can do.
  static constexpr Duration kLongestRest = std::chrono::hours(1);

  /// The target asks for rest of `length` from `now` on. A longer one that it
  /// has asked for before goes on. Returns the time that is left.
  Duration OnAsked(const std::string& target, Duration length, TimePoint now);

  /// The target's run is over, and its rest with it.
  void Forget(const std::string& target) { ends_.erase(target); }

  /// Returns the time until the target takes requests again; zero if it does.
  Duration WaitFor(const std::string& target, TimePoint now) const;

  /// Forgets the rests that are over. Returns whose they were.
  std::vector<std::string> Tick(TimePoint now);

  /// Returns the number of rests that are not forgotten.
  std::size_t size() const { return ends_.size(); }

 private:
  std::map<std::string, TimePoint> ends_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_TARGET_RESTS_H_
