// Tests of the request flow with the options for targets that it reaches
// without a side. The sides of `FlowDriver` stand in for the targets.

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

/// Sends a complete answer with status 500.
void Fail(FlowDriver* driver, const SendStart& start) {
  driver->flow().OnHead(start.link, start.attempt, 0, 500,
                        {{"Content-Length", "4"}}, driver->now());
  driver->Collect();
  driver->Chunk(start, 1, "oops");
  driver->End(start, 2, "oops");
}

TEST_CASE("A 5xx answer of a target is retried at another target") {
  FlowDriver driver(DirectOptions());
  driver.Up("oviedo-1");
  driver.Up("oviedo-2");

  SECTION("if the request is idempotent") {
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
  SECTION("otherwise the caller receives the 5xx answer unchanged") {
    const RequestId id = driver.Ask(Repeatability::kOnce);
    Fail(&driver, driver.starts[0]);
    CHECK(driver.starts.size() == 1);
    CHECK(driver.seen(id).status == 500);
    CHECK(driver.seen(id).body == "oops");
  }
}

// Every target refuses, and each refusal counts as an arrival for the targets'
// operator. Retries must therefore end with the budget, and the caller must be
// told at once that nothing has run.
TEST_CASE("Refused attempts are charged to the retry budget if configured") {
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

// One engine has run the prefill, and the engine that was to answer is leaving.
// The attempt moves to another target, and only that one may answer it.
TEST_CASE("An attempt that has not started can be moved to another target") {
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

  SECTION("frames from the new target are accepted") {
    SendStart moved = start;
    moved.link = *link;
    driver.Head(moved);
    driver.Chunk(moved, 1, "menu");
    driver.End(moved, 2, "menu");
    CHECK(driver.seen(id).whole);
  }
  SECTION("frames from the old target are dropped") {
    driver.Head(start);
    CHECK(driver.flow().counts().foreign_frames == 1);
    CHECK(driver.seen(id).finals == 0);
  }
  SECTION("a cancel goes to the new target") {
    driver.flow().OnCallerDisconnected(id, driver.now());
    driver.Collect();
    REQUIRE(driver.cancels.size() == 1);
    CHECK(driver.cancels[0].link == *link);
  }
  SECTION("a started attempt cannot be moved") {
    SendStart moved = start;
    moved.link = *link;
    driver.Head(moved);
    CHECK_FALSE(driver.flow().MoveAttempt(start.attempt, first));
  }
  SECTION("a leaving or unknown target is not accepted") {
    driver.flow().OnLeaving(first, true, driver.now());
    CHECK_FALSE(driver.flow().MoveAttempt(start.attempt, first));
    CHECK_FALSE(driver.flow().MoveAttempt(start.attempt, "oviedo-9"));
  }
}

TEST_CASE("A request without any target is refused at once") {
  FlowDriver driver(DirectOptions());
  const RequestId id = driver.Ask(Repeatability::kIdempotent);
  REQUIRE(driver.seen(id).refusal);
  CHECK(driver.seen(id).refusal->run == RunState::kNotRun);
}

}  // namespace
}  // namespace indigolead
