#include "core/request/request_flow.h"

#include <catch2/catch.hpp>

#include "tests/support/flow_driver.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A request gets exactly one complete answer") {
  FlowDriver driver;
  driver.Up("bilbao-a-1");
  const RequestId id = driver.Ask(Repeatability::kOnce);
  REQUIRE(driver.starts.size() == 1);
  const SendStart start = driver.starts[0];

  SECTION("if its frames arrive in order") {
    driver.Head(start);
    driver.Chunk(start, 1, "gel ");
    driver.Chunk(start, 2, "22 €");
    CHECK(driver.seen(id).finals == 0);
    driver.End(start, 3, "gel 22 €");
    CHECK(driver.seen(id).whole);
    CHECK(driver.seen(id).body == "gel 22 €");
    CHECK(driver.flow().open_requests() == 0);
  }

  SECTION("if a frame is repeated, also after the end") {
    driver.Head(start);
    driver.Head(start);
    driver.Chunk(start, 1, "once");
    driver.Chunk(start, 1, "once");
    driver.End(start, 2, "once");
    driver.End(start, 2, "once");
    CHECK(driver.seen(id).body == "once");
    CHECK(driver.seen(id).finals == 1);
    CHECK(driver.flow().counts().duplicate_frames == 2);
    CHECK(driver.flow().counts().foreign_frames == 1);
  }

  SECTION("if a missing frame is resent on request") {
    driver.Pass(milliseconds(200));
    driver.Head(start);
    driver.Chunk(start, 2, "b");
    REQUIRE(driver.resumes.size() == 1);
    CHECK(driver.resumes[0].next_sequence == 1);
    CHECK(driver.resumes[0].granted_bytes == 256U << 10);
    driver.Chunk(start, 1, "a");
    driver.Chunk(start, 2, "b");
    driver.End(start, 3, "ab");
    CHECK(driver.seen(id).body == "ab");
  }

  SECTION("or a refusal if the end frame does not match") {
    driver.Head(start);
    driver.Chunk(start, 1, "abc");
    driver.End(start, 2, "abd");
    CHECK_FALSE(driver.seen(id).whole);
    REQUIRE(driver.seen(id).refusal);
    CHECK(driver.seen(id).refusal->run == RunState::kUnknown);
    CHECK(driver.flow().counts().corrupt_answers == 1);
  }
}

TEST_CASE("Answers of concurrent requests are not mixed up") {
  FlowDriver driver;
  const SideLink one = driver.Up("bilbao-a-1");
  const SideLink two = driver.Up("bilbao-a-2");
  const RequestId first = driver.Ask(Repeatability::kIdempotent);
  const RequestId second = driver.Ask(Repeatability::kIdempotent);
  REQUIRE(driver.starts.size() == 2);
  REQUIRE(driver.starts[0].link == one);
  REQUIRE(driver.starts[1].link == two);

  SendStart crossed = driver.starts[0];
  crossed.link = two;
  driver.Head(crossed);
  driver.End(crossed, 1, "");
  CHECK(driver.seen(first).finals == 0);
  CHECK(driver.seen(second).finals == 0);
  CHECK(driver.flow().counts().foreign_frames == 2);
}

TEST_CASE(
    "A refusal before the start is retried elsewhere or reported as not run") {
  FlowDriver driver;
  driver.Up("bilbao-a-1");
  const SideLink two = driver.Up("bilbao-a-2");
  const RequestId id = driver.Ask(Repeatability::kOnce);
  SideRefusal leaving;
  leaving.code = "leaving";
  driver.flow().OnRefused(driver.starts[0].link, driver.starts[0].attempt,
                          leaving, driver.now());
  driver.Collect();

  SECTION("even a request that is not idempotent goes to another target") {
    REQUIRE(driver.starts.size() == 2);
    CHECK(driver.starts[1].link == two);
    CHECK_FALSE(driver.starts[1].attempt == driver.starts[0].attempt);
  }

  SECTION("the leaving target gets no further request") {
    driver.Ask(Repeatability::kOnce);
    REQUIRE(driver.starts.size() == 3);
    CHECK(driver.starts[2].link == two);
  }

  SECTION("without another target the caller is told not-run") {
    driver.flow().OnRefused(two, driver.starts[1].attempt, leaving,
                            driver.now());
    driver.Pass(seconds(2));
    REQUIRE(driver.seen(id).refusal);
    CHECK(driver.seen(id).refusal->run == RunState::kNotRun);
    CHECK(driver.seen(id).refusal->retry_after > Duration{0});
  }
}

TEST_CASE("A disconnected caller's attempt is cancelled by id") {
  FlowDriver driver;
  const SideLink link = driver.Up("bilbao-a-1");

  SECTION("at once if the side is connected") {
    const RequestId id = driver.Ask(Repeatability::kIdempotent);
    driver.flow().OnCallerDisconnected(id, driver.now());
    driver.Collect();
    REQUIRE(driver.cancels.size() == 1);
    CHECK(driver.cancels[0].ref.attempt == driver.starts[0].attempt);
    CHECK(driver.flow().open_requests() == 0);
  }

  SECTION("on reconnect if the side is absent") {
    const RequestId id = driver.Ask(Repeatability::kIdempotent);
    driver.Down(link);
    driver.flow().OnCallerDisconnected(id, driver.now());
    driver.Collect();
    CHECK(driver.cancels.empty());
    const SideLink again = driver.Up("bilbao-a-1");
    REQUIRE(driver.cancels.size() == 1);
    CHECK(driver.cancels[0].link == again);
  }

  SECTION("but a keyed request continues, for the caller's retry") {
    const RequestId id = driver.Ask(Repeatability::kKeyed);
    driver.flow().OnCallerDisconnected(id, driver.now());
    driver.Collect();
    CHECK(driver.cancels.empty());
    CHECK(driver.flow().open_requests() == 1);
    CHECK(driver.credits.size() == 1);
  }
}

TEST_CASE("Credit is granted for the bytes that the caller consumed") {
  RequestFlowOptions options;
  options.stream_window_bytes = 400;
  FlowDriver driver(options);
  driver.Up("bilbao-a-1");
  const RequestId id = driver.Ask(Repeatability::kIdempotent, true);
  CHECK(driver.starts[0].initial_credit_bytes == 400);
  driver.flow().OnAnswerBytesWritten(id, 99, driver.now());
  driver.Collect();
  CHECK(driver.credits.empty());
  driver.flow().OnAnswerBytesWritten(id, 1, driver.now());
  driver.Collect();
  REQUIRE(driver.credits.size() == 1);
  CHECK(driver.credits[0].bytes == 100);

  SECTION("credit that could not be sent is added to the next grant") {
    driver.flow().OnCreditNotSent(driver.starts[0].attempt, 100);
    driver.flow().OnAnswerBytesWritten(id, 1, driver.now());
    driver.Collect();
    REQUIRE(driver.credits.size() == 2);
    CHECK(driver.credits[1].bytes == 101);
  }
}

TEST_CASE("A full table refuses requests at once as not run") {
  RequestFlowOptions options;
  options.max_requests = 1;
  FlowDriver driver(options);
  driver.Up("bilbao-a-1");
  driver.Ask(Repeatability::kIdempotent);
  const RequestId id = driver.Ask(Repeatability::kIdempotent);
  REQUIRE(driver.seen(id).refusal);
  CHECK(driver.seen(id).refusal->run == RunState::kNotRun);
  CHECK(driver.starts.size() == 1);
}

}  // namespace
}  // namespace indigolead
