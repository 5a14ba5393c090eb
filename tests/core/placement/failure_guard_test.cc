#include "core/placement/failure_guard.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A target is avoided for a time after consecutive calls break") {
  FailureGuard guard{FailureGuard::Options{}};
  TimePoint now{seconds(100)};
  CHECK(guard.RecordFailure("a", now) == Duration{0});
  CHECK_FALSE(guard.IsAvoided("a", now));

  SECTION("a successful call between two broken ones resets the count") {
    guard.RecordSuccess("a");
    CHECK(guard.RecordFailure("a", now) == Duration{0});
    CHECK_FALSE(guard.IsAvoided("a", now));
  }
  SECTION("two broken calls in a row suffice and affect no other target") {
    CHECK(guard.RecordFailure("a", now) == seconds(1));
    CHECK(guard.IsAvoided("a", now + milliseconds(999)));
    CHECK_FALSE(guard.IsAvoided("b", now));
    CHECK_FALSE(guard.IsAvoided("a", now + seconds(1)));

    SECTION("calls that break while the target is avoided do not count") {
      CHECK(guard.RecordFailure("a", now + milliseconds(500)) == Duration{0});
      CHECK_FALSE(guard.IsAvoided("a", now + seconds(1)));
    }
    SECTION("each further broken call doubles the time up to the maximum") {
      now += seconds(1);
      CHECK(guard.RecordFailure("a", now) == seconds(2));
      now += seconds(2);
      CHECK(guard.RecordFailure("a", now) == seconds(4));
      now += seconds(4);
      CHECK(guard.RecordFailure("a", now) == seconds(4));
    }
    SECTION("a successful call ends it at once") {
      guard.RecordSuccess("a");
      CHECK_FALSE(guard.IsAvoided("a", now));
    }
    SECTION("the end of the target's process ends it at once") {
      guard.Forget("a");
      CHECK_FALSE(guard.IsAvoided("a", now));
    }
  }
}

// Guards against avoiding nearly all targets because this entry process's own
// network path is interrupted, which breaks its calls to every target.
TEST_CASE("At most two thirds of the targets are avoided at the same time") {
  CHECK(FailureGuard::MayAvoidAtOnce(0, 0));
  CHECK(FailureGuard::MayAvoidAtOnce(2, 3));
  CHECK_FALSE(FailureGuard::MayAvoidAtOnce(3, 4));
  CHECK_FALSE(FailureGuard::MayAvoidAtOnce(1, 1));
}

}  // namespace
}  // namespace indigolead
