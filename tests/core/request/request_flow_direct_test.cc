// What the request flow does for targets that it reaches without a side.

#include <catch2/catch.hpp>

#include "tests/support/flow_driver.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RequestFlowOptions DirectOptions() {
  RequestFlowOptions options;
  options.retry_failed_answers = true;
  options.charge_refused_attempts = true;
  options.no_target_wait = Duration{0};
  return options;
}

/// Answers the attempt with a failure of the target's own, whole.
void Fail(FlowDriver* driver, const SendStart& start) {
  driver->flow().OnHead(start.link, start.attempt, 0, 500,
                        {{"Content-Length", "4"}}, driver->now());
  driver->Collect();
  driver->Chunk(start, 1, "oops");
  driver->End(start, 2, "oops");
}

TEST_CASE("A target's own failure is answered by another target") {
  FlowDriver driver(DirectOptions());
  driver.Up("oviedo-1");
  driver.Up("oviedo-2");

  SECTION("if the request may run twice") {
    const RequestId id = driver.Ask(Repeatability::kIdempotent);
    Fail(&driver, driver.starts[0]);
    REQUIRE(driver.starts.size() == 2);
    CHECK(driver.seen(id).finals == 0);
    driver.Head(driver.starts[1]);
    driver.Chunk(driver.starts[1], 1, "menu");
    driver.End(driver.starts[1], 2, "menu");
    CHECK(driver.seen(id).status == 200);
    CHECK(driver.seen(id).body == "menu");
  }
  SECTION("else the caller gets the failure as it is") {
    const RequestId id = driver.Ask(Repeatability::kOnce);
    Fail(&driver, driver.starts[0]);
    CHECK(driver.starts.size() == 1);
    CHECK(driver.seen(id).status == 500);
    CHECK(driver.seen(id).body == "oops");
  }
}

// Every target refuses. Each refusal is an arrival that the targets' operator
// counts, so the tries end with the budget and the caller is told at once that
// nothing has run.
TEST_CASE("Refused attempts draw on the retry budget where they are counted") {
  int budget = 1;
  RequestFlowHooks hooks;
  hooks.spend_retry = [&](const CallerRequest&, AttemptReach, TimePoint) {
    return budget-- > 0;
  };
  FlowDriver driver(DirectOptions(), hooks);
  driver.Up("oviedo-1");
  driver.Up("oviedo-2");
  driver.Up("oviedo-3");
  const RequestId id = driver.Ask(Repeatability::kOnce);
  SideRefusal full;
  full.code = "target_full";
  driver.flow().OnRefused(driver.starts[0].link, driver.starts[0].attempt, full,
                          driver.now());
  driver.Collect();
  REQUIRE(driver.starts.size() == 2);
  driver.flow().OnRefused(driver.starts[1].link, driver.starts[1].attempt, full,
                          driver.now());
  driver.Collect();
  CHECK(driver.starts.size() == 2);
  REQUIRE(driver.seen(id).refusal);
  CHECK(driver.seen(id).refusal->run == RunState::kNotRun);
  CHECK(driver.seen(id).refusal->status == 503);
}

// The prompt has been read by one engine; the one that was to answer has begun
// to leave. The attempt goes on at another, and only there may it be answered.
TEST_CASE("An attempt that has not started may be moved to another target") {
  FlowDriver driver(DirectOptions());
  driver.Up("oviedo-1");
  driver.Up("oviedo-2");
  const RequestId id = driver.Ask(Repeatability::kOnce);
  const SendStart start = driver.starts[0];
  const std::string first = driver.flow().FindSide(start.link)->instance;
  const std::string other = first == "oviedo-1" ? "oviedo-2" : "oviedo-1";
  const auto link = driver.flow().MoveAttempt(start.attempt, other);
  REQUIRE(link);
  CHECK(driver.flow().FindSide(*link)->instance == other);

  SECTION("frames from the new target count") {
    SendStart moved = start;
    moved.link = *link;
    driver.Head(moved);
    driver.Chunk(moved, 1, "menu");
    driver.End(moved, 2, "menu");
    CHECK(driver.seen(id).whole);
  }
  SECTION("frames from the old one do not") {
    driver.Head(start);
    CHECK(driver.flow().counts().foreign_frames == 1);
    CHECK(driver.seen(id).finals == 0);
  }
  SECTION("it is cancelled where it is") {
    driver.flow().OnCallerGone(id, driver.now());
    driver.Collect();
    REQUIRE(driver.cancels.size() == 1);
    CHECK(driver.cancels[0].link == *link);
  }
  SECTION("once it has started it stays") {
    SendStart moved = start;
    moved.link = *link;
    driver.Head(moved);
    CHECK_FALSE(driver.flow().MoveAttempt(start.attempt, first));
  }
  SECTION("and never to one that takes no work") {
    driver.flow().OnLeaving(first, true, driver.now());
    CHECK_FALSE(driver.flow().MoveAttempt(start.attempt, first));
    CHECK_FALSE(driver.flow().MoveAttempt(start.attempt, "oviedo-9"));
  }
}

TEST_CASE("A request that no target can take is refused at once") {
  FlowDriver driver(DirectOptions());
  const RequestId id = driver.Ask(Repeatability::kIdempotent);
  REQUIRE(driver.seen(id).refusal);
  CHECK(driver.seen(id).refusal->run == RunState::kNotRun);
}

}  // namespace
}  // namespace indigolead
