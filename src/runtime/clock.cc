#include "runtime/clock.h"

#include <sys/random.h>
#include <time.h>

#include <cerrno>
#include <system_error>

namespace indigolead {

TimePoint BootTimeNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

WallMicros WallTimeNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Id128 RandomId() {
  Id128 id;
  // Reads of up to 256 bytes are never short once the pool is initialised.
  if (getrandom(&id, sizeof(id), 0) != sizeof(id)) {
    throw std::system_error(errno, std::generic_category(), "getrandom");
  }
  return id;
}

}  // namespace indigolead
