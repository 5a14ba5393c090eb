#ifndef INDIGOLEAD_CORE_USAGE_STEADY_CALENDAR_H_
#define INDIGOLEAD_CORE_USAGE_STEADY_CALENDAR_H_

#include <optional>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// Calendar time that does not jump when the machine's time of day does.
///
/// The failure: the time of day steps by seconds, and back some time later. The
/// symptom: requests are counted in another window than the one they ran in,
/// and both reports are wrong. So calendar time is the boot clock, which never
/// steps, plus the difference that the two clocks have had for most of the time
/// observed. A step that lasts shorter than the time before it has no effect;
/// a process that was started during one follows the true time once it has
/// seen it for longer.
class SteadyCalendar {
 public:
  /// Takes a reading of both clocks, made together. Call several times a
  /// second.
  void Observe(TimePoint boot, WallMicros wall);

  /// Returns the calendar time at `boot`; nothing before the first reading.
  std::optional<WallMicros> At(TimePoint boot) const;

 private:
  /// A difference of the two clocks, and for how long it was the one seen.
  struct Offset {
    WallMicros micros = 0;
    Duration seen{0};
  };

  Offset* Near(WallMicros micros);

  std::vector<Offset> offsets_;
  std::optional<TimePoint> observed_at_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_USAGE_STEADY_CALENDAR_H_
