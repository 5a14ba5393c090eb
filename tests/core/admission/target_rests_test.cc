#include "core/admission/target_rests.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A requested cooldown lasts for the requested time") {
  const TimePoint start{seconds(100)};
  TargetRests rests;
  REQUIRE(rests.OnAsked("a", seconds(3), start) == seconds(3));

  SECTION("other targets have no cooldown") {
    CHECK(rests.WaitFor("b", start) == Duration{0});
  }
  SECTION("it ends on time") {
    CHECK(rests.WaitFor("a", start + milliseconds(2999)) == milliseconds(1));
    CHECK(rests.WaitFor("a", start + seconds(3)) == Duration{0});
    CHECK(rests.Tick(start + milliseconds(2999)).empty());
    CHECK(rests.Tick(start + seconds(3)) == std::vector<std::string>{"a"});
    CHECK(rests.size() == 0);
  }
  SECTION("a request with an earlier end does not shorten it") {
    CHECK(rests.OnAsked("a", milliseconds(500), start + seconds(1)) ==
          seconds(2));
  }
  SECTION("a request with a later end extends it") {
    CHECK(rests.OnAsked("a", seconds(3), start + seconds(1)) == seconds(3));
    CHECK(rests.WaitFor("a", start + seconds(3)) == seconds(1));
  }
  SECTION("a length of zero is ignored") {
    CHECK(rests.OnAsked("b", Duration{0}, start) == Duration{0});
    CHECK(rests.size() == 1);
  }
  SECTION("a restarted target has no cooldown") {
    rests.Forget("a");
    CHECK(rests.WaitFor("a", start) == Duration{0});
  }
  SECTION("the length is limited to the maximum") {
    CHECK(rests.OnAsked("b", hours(24 * 365), start) ==
          TargetRests::kLongestRest);
  }
}

}  // namespace
}  // namespace indigolead
