#ifndef INDIGOLEAD_CORE_ADMISSION_TARGET_COOLDOWNS_H_
#define INDIGOLEAD_CORE_ADMISSION_TARGET_COOLDOWNS_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// Stores the cooldown that each target has requested from this entry, during
/// which the entry sends it no requests.
///
/// A target that rejects a request may state how long it will reject further
/// ones. Requests sent during that time would also be rejected, and each would
/// cost its caller an attempt while other targets have capacity.
///
/// A cooldown applies to this entry only and ends with the target's process.
///
/// Not thread-safe. Uses one record per target with a cooldown.
class TargetCooldowns {
 public:
  /// Maximum length of a cooldown; limits the effect of an erroneous header.
  static constexpr Duration kMaxCooldown = std::chrono::hours(1);

  /// Records that `target` requests a cooldown of `length` from `now`. Does not
  /// shorten a cooldown that ends later. Returns the remaining time.
  Duration OnCooldownRequested(const std::string& target, Duration length,
                               TimePoint now);

  /// Removes the cooldown of `target`. Called when the target's process has
  /// ended.
  void Forget(const std::string& target) { ends_.erase(target); }

  /// Returns the time until `target` accepts requests again; zero if it does
  /// now.
  Duration WaitFor(const std::string& target, TimePoint now) const;

  /// Removes the cooldowns that have ended. Returns their targets.
  std::vector<std::string> Tick(TimePoint now);

  /// Returns the number of cooldowns that are not removed.
  std::size_t size() const { return ends_.size(); }

 private:
  std::map<std::string, TimePoint> ends_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_TARGET_COOLDOWNS_H_
