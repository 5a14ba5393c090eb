// Tests of statuses in messages of other processes.

#include <catch2/catch.hpp>

#include "core/request/header_fields.h"
#include "tests/support/flow_driver.h"

namespace indigolead {
namespace {

/// Sends a complete answer with `status`.
void Answer(FlowDriver* driver, const SendStart& start, int status,
            bool event_stream) {
  driver->flow().OnHead(
      start.link, start.attempt, 0, status,
      {event_stream ? HeaderField{"Content-Type", "text/event-stream"}
                    : HeaderField{"Content-Length", "4"}},
      driver->now());
  driver->Collect();
  driver->Chunk(start, 1, "menu");
  driver->End(start, 2, "menu");
}

/// Guards against passing on a status from a side that is no status of HTTP.
TEST_CASE("A head from a side with an invalid status is not passed on") {
  const int status = GENERATE(-1, 0, 42, 99, 100, 101, 103, 600, 999);
  const bool event_stream = GENERATE(false, true);
  INFO(status << (event_stream ? ", event stream" : ""));
  FlowDriver driver;
  driver.Up("oviedo-1");
  driver.Up("oviedo-2");

  SECTION("a request that may run once is refused as of unknown outcome") {
    const RequestId id = driver.Ask(Repeatability::kOnce, event_stream);
    Answer(&driver, driver.starts[0], status, event_stream);
    CHECK(driver.starts.size() == 1);
    CHECK(driver.seen(id).finals == 1);
    CHECK(driver.seen(id).body.empty());
    REQUIRE(driver.seen(id).refusal);
    CHECK(driver.seen(id).refusal->status == 502);
    CHECK(driver.seen(id).refusal->code == "invalid_status");
    CHECK(driver.cancels.size() == 1);
  }
  SECTION("an idempotent request is sent to another target") {
    const RequestId id = driver.Ask(Repeatability::kIdempotent, event_stream);
    Answer(&driver, driver.starts[0], status, event_stream);
    REQUIRE(driver.starts.size() == 2);
    Answer(&driver, driver.starts[1], 200, event_stream);
    CHECK(driver.seen(id).status == 200);
    CHECK(driver.seen(id).body == "menu");
    CHECK(driver.seen(id).finals == 1);
  }
}

TEST_CASE("A head from a side with any final status is passed on") {
  const int status = GENERATE(200, 204, 302, 404, 500, 599);
  INFO(status);
  FlowDriver driver;
  driver.Up("oviedo-1");
  const RequestId id = driver.Ask(Repeatability::kOnce);
  Answer(&driver, driver.starts[0], status, false);
  CHECK(driver.seen(id).status == status);
  CHECK(driver.seen(id).body == "menu");
}

/// Guards against telling a caller that a request has not run because its
/// target, which has run it, says so in the entry's header.
TEST_CASE("A target's statement of the run state is not passed on") {
  const bool event_stream = GENERATE(false, true);
  const std::string name = GENERATE("Indigolead-Run", "indigolead-run");
  INFO(name << (event_stream ? ", event stream" : ""));
  FlowDriver driver;
  driver.Up("oviedo-1");
  const RequestId id = driver.Ask(Repeatability::kOnce, event_stream);
  const SendStart& start = driver.starts[0];
  driver.flow().OnHead(
      start.link, start.attempt, 0, 503,
      {{"Content-Type", event_stream ? "text/event-stream" : "text/plain"},
       {name, "not-run"},
       {"X-Salon", "7"}},
      driver.now());
  driver.Collect();
  driver.Chunk(start, 1, "menu");
  driver.End(start, 2, "menu");
  CHECK(driver.seen(id).status == 503);
  CHECK(FindHeader(driver.seen(id).headers, "Indigolead-Run").empty());
  CHECK(FindHeader(driver.seen(id).headers, "X-Salon") == "7");
}

}  // namespace
}  // namespace indigolead
