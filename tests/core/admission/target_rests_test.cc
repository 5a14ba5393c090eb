#include "core/admission/target_rests.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A target that asks for rest is at rest for that time") {
  const TimePoint start{seconds(100)};
  TargetRests rests;
  REQUIRE(rests.OnAsked("a", seconds(3), start) == seconds(3));

  SECTION("and no other target is") {
    CHECK(rests.WaitFor("b", start) == Duration{0});
  }
  SECTION("to the end, and not beyond") {
    CHECK(rests.WaitFor("a", start + milliseconds(2999)) == milliseconds(1));
    CHECK(rests.WaitFor("a", start + seconds(3)) == Duration{0});
    CHECK(rests.Tick(start + milliseconds(2999)).empty());
    CHECK(rests.Tick(start + seconds(3)) == std::vector<std::string>{"a"});
    CHECK(rests.size() == 0);
  }
  SECTION("a shorter time asked for meanwhile does not end it") {
    CHECK(rests.OnAsked("a", milliseconds(500), start + seconds(1)) ==
          seconds(2));
  }
  SECTION("a later end does") {
    CHECK(rests.OnAsked("a", seconds(3), start + seconds(1)) == seconds(3));
    CHECK(rests.WaitFor("a", start + seconds(3)) == seconds(1));
  }
  SECTION("a time of zero asks for none") {
    CHECK(rests.OnAsked("b", Duration{0}, start) == Duration{0});
    CHECK(rests.size() == 1);
  }
  SECTION("a new run of the target has asked for none") {
    rests.Forget("a");
    CHECK(rests.WaitFor("a", start) == Duration{0});
  }
  SECTION("a year is believed in part") {
    CHECK(rests.OnAsked("b", hours(24 * 365), start) ==
          TargetRests::kLongestRest);
  }
}

}  // namespace
}  // namespace indigolead
