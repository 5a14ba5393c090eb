#ifndef INDIGOLEAD_CORE_USAGE_STEADY_CALENDAR_H_
#define INDIGOLEAD_CORE_USAGE_STEADY_CALENDAR_H_

#include <optional>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// Provides calendar time that does not jump when the machine's time of day is
/// stepped.
///
/// If the time of day steps by seconds and later back, requests are counted in
/// the wrong window, and the reports of both windows are wrong. Calendar time
/// is therefore the boot clock, which never steps, plus the offset between the
/// two clocks that was observed for the longest time. A step that
/// is undone sooner than the previous offset lasted has no effect. A process
/// started while the time of day is wrong switches to the true time once it has
/// observed it for longer than the wrong one.
class SteadyCalendar {
 public:
  /// Records a simultaneous reading of both clocks. Must be called several
  /// times a second.
  void Observe(TimePoint boot, WallMicros wall);

  /// Returns the calendar time at `boot`, or nothing before the first reading.
  std::optional<WallMicros> At(TimePoint boot) const;

 private:
  /// Difference of the two clocks and the total time it was observed.
  struct Offset {
    WallMicros micros = 0;
    Duration observed_for{0};
  };

  Offset* FindOrAddOffset(WallMicros micros);

  std::vector<Offset> offsets_;
  std::optional<TimePoint> observed_at_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_USAGE_STEADY_CALENDAR_H_
