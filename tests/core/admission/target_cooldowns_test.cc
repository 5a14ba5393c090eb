#include "core/admission/target_cooldowns.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A requested cooldown lasts for the requested time") {
  const TimePoint start{seconds(100)};
  TargetCooldowns cooldowns;
  REQUIRE(cooldowns.OnCooldownRequested("a", seconds(3), start) == seconds(3));

  SECTION("other targets have no cooldown") {
    CHECK(cooldowns.WaitFor("b", start) == Duration{0});
  }
  SECTION("it ends on time") {
    CHECK(cooldowns.WaitFor("a", start + milliseconds(2999)) ==
          milliseconds(1));
    CHECK(cooldowns.WaitFor("a", start + seconds(3)) == Duration{0});
    CHECK(cooldowns.Tick(start + milliseconds(2999)).empty());
    CHECK(cooldowns.Tick(start + seconds(3)) == std::vector<std::string>{"a"});
    CHECK(cooldowns.size() == 0);
  }
  SECTION("a request with an earlier end does not shorten it") {
    CHECK(cooldowns.OnCooldownRequested("a", milliseconds(500),
                                        start + seconds(1)) == seconds(2));
  }
  SECTION("a request with a later end extends it") {
    CHECK(cooldowns.OnCooldownRequested("a", seconds(3), start + seconds(1)) ==
          seconds(3));
    CHECK(cooldowns.WaitFor("a", start + seconds(3)) == seconds(1));
  }
  SECTION("a length of zero is ignored") {
    CHECK(cooldowns.OnCooldownRequested("b", Duration{0}, start) ==
          Duration{0});
    CHECK(cooldowns.size() == 1);
  }
  SECTION("a restarted target has no cooldown") {
    cooldowns.Forget("a");
    CHECK(cooldowns.WaitFor("a", start) == Duration{0});
  }
  SECTION("the length is limited to the maximum") {
    CHECK(cooldowns.OnCooldownRequested("b", hours(24 * 365), start) ==
          TargetCooldowns::kMaxCooldown);
  }
}

}  // namespace
}  // namespace indigolead
