#ifndef INDIGOLEAD_RUNTIME_CLOCK_H_
#define INDIGOLEAD_RUNTIME_CLOCK_H_

#include "core/base/ids.h"
#include "core/base/time.h"

namespace indigolead {

/// Returns the time since boot, counting time spent suspended. A lease must
/// lapse for a virtual machine that slept, which CLOCK_MONOTONIC would hide.
TimePoint BootTimeNow();

/// Returns calendar time in microseconds since 1970.
WallMicros WallTimeNow();

/// Returns 128 bits of the system's entropy.
Id128 RandomId();

/// Returns a source of random ids that asks the system for many at a time, for
/// use per request. Copies share their stock; each thread needs its own source.
IdSource MakeRandomIdSource();

}  // namespace indigolead

#endif  // INDIGOLEAD_RUNTIME_CLOCK_H_
