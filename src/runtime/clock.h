#ifndef INDIGOLEAD_RUNTIME_CLOCK_H_
#define INDIGOLEAD_RUNTIME_CLOCK_H_

#include "core/base/ids.h"
#include "core/base/time.h"

namespace indigolead {

/// Returns the time since boot, including time spent suspended. A lease must
/// expire while a virtual machine is suspended; CLOCK_MONOTONIC does not count
/// that time.
TimePoint BootTimeNow();

/// Returns the calendar time in microseconds since 1970.
WallMicros WallTimeNow();

/// Returns 128 random bits from the operating system.
Id128 RandomId();

/// Returns a source of random ids that reads several at a time from the
/// operating system, for use per request. Copies share one batch of ids without
/// a lock, so each thread needs its own source.
IdSource MakeRandomIdSource();

}  // namespace indigolead

#endif  // INDIGOLEAD_RUNTIME_CLOCK_H_
