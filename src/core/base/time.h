#ifndef INDIGOLEAD_CORE_BASE_TIME_H_
#define INDIGOLEAD_CORE_BASE_TIME_H_

#include <chrono>
#include <cstdint>
#include <functional>

namespace indigolead {

/// Length of time, in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Clock of `TimePoint`: time since boot, including time in suspend
/// (CLOCK_BOOTTIME). It has no `now()` because the core never reads a clock:
/// every event carries the time at which it was observed.
struct BootClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
};

/// Point on this machine's boot clock. It has no meaning on another machine, so
/// messages carry durations.
using TimePoint = BootClock::time_point;

/// Returns the current time; injected so that tests can set it.
using Clock = std::function<TimePoint()>;

/// Calendar time in microseconds since 1970, for display, the audit trail and
/// the windows of usage reports (see `SteadyCalendar`). No other decision
/// depends on it.
using WallMicros = std::int64_t;

/// Returns calendar time; injected for the same reason as `Clock`.
using WallClock = std::function<WallMicros()>;

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_BASE_TIME_H_
