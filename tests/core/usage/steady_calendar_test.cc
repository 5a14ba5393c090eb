#include "core/usage/steady_calendar.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr WallMicros kSecond = 1'000'000;
constexpr WallMicros kBegin = 1'700'000'000 * kSecond;

/// Simulates a machine whose time of day can be stepped.
class Machine {
 public:
  void Run(Duration length, WallMicros step) {
    for (Duration it{0}; it < length; it += milliseconds(200)) {
      now_ += milliseconds(200);
      calendar_.Observe(now_, True() + step);
    }
  }

  /// Returns the absolute error of the calendar time.
  WallMicros Error() const { return std::abs(*calendar_.At(now_) - True()); }

 private:
  WallMicros True() const {
    return kBegin + std::chrono::duration_cast<std::chrono::microseconds>(
                        now_.time_since_epoch())
                        .count();
  }

  TimePoint now_{seconds(50)};
  SteadyCalendar calendar_;
};

TEST_CASE("There is no calendar time before the first reading") {
  CHECK_FALSE(SteadyCalendar().At(TimePoint{}));
}

// The time of day is stepped for a while, by two seconds forward or back or by
// a day. Using it would count requests in the wrong window.
TEST_CASE("A step of the time of day does not move the calendar") {
  const WallMicros step = GENERATE(2 * kSecond, -2 * kSecond, 86'400 * kSecond);
  Machine machine;
  machine.Run(seconds(10), 0);
  CHECK(machine.Error() < kSecond / 1000);
  machine.Run(seconds(5), step);
  CHECK(machine.Error() < kSecond / 1000);

  SECTION("nor does the step back to the true time") {
    machine.Run(seconds(5), 0);
    CHECK(machine.Error() < kSecond / 1000);
  }
  SECTION("nor do several steps") {
    machine.Run(seconds(1), 0);
    machine.Run(seconds(3), -step);
    CHECK(machine.Error() < kSecond / 1000);
  }
}

TEST_CASE(
    "A process started while the time is wrong corrects its calendar later") {
  Machine machine;
  machine.Run(seconds(4), 2 * kSecond);
  CHECK(machine.Error() > kSecond);
  machine.Run(seconds(5), 0);
  CHECK(machine.Error() < kSecond / 1000);
}

TEST_CASE("The calendar tracks a slewed clock") {
  Machine machine;
  machine.Run(seconds(10), 0);
  for (WallMicros it = 1; it <= 20; ++it) {
    machine.Run(seconds(1), it * kSecond / 200);
  }
  // The time of day is the reference, and it has moved by 100 ms.
  CHECK(machine.Error() > kSecond / 20);
}

}  // namespace
}  // namespace indigolead
