#include "core/placement/failure_guard.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A target whose calls break in a row is left alone for a while") {
  FailureGuard guard{FailureGuard::Options{}};
  TimePoint now{seconds(100)};
  CHECK(guard.OnBroken("a", now) == Duration{0});
  CHECK_FALSE(guard.IsAvoided("a", now));

  SECTION("one good call between them ends the suspicion") {
    guard.OnGood("a");
    CHECK(guard.OnBroken("a", now) == Duration{0});
    CHECK_FALSE(guard.IsAvoided("a", now));
  }
  SECTION("two are enough, and only that target is meant") {
    CHECK(guard.OnBroken("a", now) == seconds(1));
    CHECK(guard.IsAvoided("a", now + milliseconds(999)));
    CHECK_FALSE(guard.IsAvoided("b", now));
    CHECK_FALSE(guard.IsAvoided("a", now + seconds(1)));

    SECTION("calls that were under way do not prolong it") {
      CHECK(guard.OnBroken("a", now + milliseconds(500)) == Duration{0});
      CHECK_FALSE(guard.IsAvoided("a", now + seconds(1)));
    }
    SECTION("each further break doubles it, up to a bound") {
      now += seconds(1);
      CHECK(guard.OnBroken("a", now) == seconds(2));
      now += seconds(2);
      CHECK(guard.OnBroken("a", now) == seconds(4));
      now += seconds(4);
      CHECK(guard.OnBroken("a", now) == seconds(4));
    }
    SECTION("a good call ends it at once") {
      guard.OnGood("a");
      CHECK_FALSE(guard.IsAvoided("a", now));
    }
    SECTION("as does the end of its run") {
      guard.Forget("a");
      CHECK_FALSE(guard.IsAvoided("a", now));
    }
  }
}

// This entry's own path was cut, and everything that it called broke.
TEST_CASE("Most targets are not believed to fail together") {
  CHECK(FailureGuard::IsPlausible(0, 0));
  CHECK(FailureGuard::IsPlausible(2, 3));
  CHECK_FALSE(FailureGuard::IsPlausible(3, 4));
  CHECK_FALSE(FailureGuard::IsPlausible(1, 1));
}

}  // namespace
}  // namespace indigolead
