#include "runtime/clock.h"

#include <sys/random.h>
#include <time.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <memory>
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
  // Reads of up to 256 bytes are never short once the kernel's entropy pool is
  // initialised.
  if (getrandom(&id, sizeof(id), 0) != sizeof(id)) {
    throw std::system_error(errno, std::generic_category(), "getrandom");
  }
  return id;
}

IdSource MakeRandomIdSource() {
  // 256 bytes, the most that getrandom returns without being interrupted.
  struct Batch {
    std::array<Id128, 16> ids;
    std::size_t next = 16;
  };
  return [batch = std::make_shared<Batch>()] {
    if (batch->next == batch->ids.size()) {
      constexpr auto kBytes = sizeof(batch->ids);
      if (getrandom(batch->ids.data(), kBytes, 0) != kBytes) {
        throw std::system_error(errno, std::generic_category(), "getrandom");
      }
      batch->next = 0;
    }
    return batch->ids[batch->next++];
  };
}

}  // namespace indigolead
