#include <catch2/catch.hpp>

#include "core/request/event_cursor.h"
#include "tests/support/flow_driver.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Events are passed on whole, and the last id is kept") {
  EventCursor cursor;
  CHECK(cursor.Take("id: 1\ndata: gel\n\nid: 2\nda") == "id: 1\ndata: gel\n\n");
  CHECK(cursor.last_id() == "1");

  SECTION("a part is joined to what follows") {
    CHECK(cursor.Take("ta: 22\n\n") == "id: 2\ndata: 22\n\n");
    CHECK(cursor.last_id() == "2");
  }
  SECTION("or dropped when its target has broken off") {
    cursor.DropPartial();
    CHECK(cursor.Take("id: 2\ndata: 22\n\n") == "id: 2\ndata: 22\n\n");
  }
  SECTION("or is what no whole stream ends with") {
    CHECK(cursor.is_inside_event());
    CHECK(cursor.Take("ta: 22\n\n") == "id: 2\ndata: 22\n\n");
    CHECK_FALSE(cursor.is_inside_event());
  }
  SECTION("line ends of both kinds end an event") {
    CHECK(cursor.Take("ta: x\r\n\r\n") == "id: 2\ndata: x\r\n\r\n");
  }
}

/// Guards against streams that come late, all at once, or go on from a wrong
/// event, because their line ends are not LF or CRLF throughout.
TEST_CASE("Events are known by every line end that the format allows") {
  EventCursor cursor;
  SECTION("CR alone") {
    CHECK(cursor.Take("id: 1\rdata: gel\r\rid: 2\rda") ==
          "id: 1\rdata: gel\r\r");
    CHECK(cursor.last_id() == "1");
  }
  SECTION("mixed ones") {
    CHECK(cursor.Take("id: 1\r\ndata: gel\n\r\nid: 2") ==
          "id: 1\r\ndata: gel\n\r\n");
    CHECK(cursor.last_id() == "1");
  }
  SECTION("cut between two bytes of one") {
    CHECK(cursor.Take("id: 1\r\n\r") == "id: 1\r\n\r");
    CHECK(cursor.Take("\nid: 2\r\n\r\n") == "\nid: 2\r\n\r\n");
    CHECK(cursor.last_id() == "2");
  }
  SECTION("after a byte order mark") {
    CHECK(cursor.Take("\xEF\xBB\xBFid: 1\n\n") == "\xEF\xBB\xBFid: 1\n\n");
    CHECK(cursor.last_id() == "1");
  }
  SECTION("and comments between events are passed on at once") {
    CHECK(cursor.Take(": ping\n") == ": ping\n");
    CHECK(cursor.last_id().empty());
  }
  SECTION("and an id that no header can carry is none") {
    CHECK(cursor.Take("id: 1\n\nid: 2\x01\n\n").size() == 15);
    CHECK(cursor.last_id() == "1");
  }
}

/// One resumable stream at two targets.
class Scene {
 public:
  explicit Scene(bool may_resume = true) {
    driver.Up("oviedo-1");
    driver.Up("oviedo-2");
    CallerRequest request;
    request.id = id;
    request.deployment = "tarifa-llm";
    request.repeatability =
        may_resume ? Repeatability::kIdempotent : Repeatability::kOnce;
    request.streamed = true;
    request.may_resume = may_resume;
    request.max_attempts = 2;
    request.deadline = driver.now() + seconds(8);
    driver.flow().OnRequest(std::make_shared<const CallerRequest>(request),
                            driver.now());
    driver.Collect();
    driver.Head(driver.starts[0], /*event_stream=*/true);
    driver.Chunk(driver.starts[0], 1, "id: 1\ndata: a\n\nid: 2\nda");
  }

  void Break(std::size_t start, std::uint64_t sequence) {
    driver.End(driver.starts[start], sequence, "",
               AttemptOutcome::kTargetFailed);
  }

  FlowDriver driver;
  const RequestId id{{5, 5}};
};

// The engine that answers crashes in the middle of an event. The caller sees
// one stream, each event once and whole, although two engines made it.
TEST_CASE("A broken stream goes on at another target") {
  Scene scene;
  scene.Break(0, 2);
  REQUIRE(scene.driver.starts.size() == 2);
  const SendStart& next = scene.driver.starts[1];
  CHECK(next.resume_after == "1");
  CHECK(scene.driver.seen(scene.id).body == "id: 1\ndata: a\n\n");
  CHECK(scene.driver.seen(scene.id).finals == 0);

  SECTION("to its end") {
    scene.driver.Head(next, /*event_stream=*/true);
    scene.driver.Chunk(next, 1, "id: 2\ndata: b\n\n");
    scene.driver.End(next, 2, "id: 2\ndata: b\n\n");
    CHECK(scene.driver.seen(scene.id).whole);
    CHECK(scene.driver.seen(scene.id).body ==
          "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(scene.driver.seen(scene.id).finals == 1);
  }
  SECTION("or breaks off visibly if that target answers something else") {
    scene.driver.Head(next, /*event_stream=*/false);
    REQUIRE(scene.driver.seen(scene.id).refusal);
    CHECK(scene.driver.seen(scene.id).refusal->run == RunState::kUnknown);
    CHECK_FALSE(scene.driver.seen(scene.id).whole);
  }
  SECTION("or if that one breaks too, as often as the route allows") {
    scene.driver.Head(next, /*event_stream=*/true);
    scene.Break(1, 1);
    CHECK(scene.driver.starts.size() == 2);
    CHECK(scene.driver.seen(scene.id).refusal);
  }
  SECTION("and is not gone on with for a caller that has left") {
    scene.driver.flow().OnCallerGone(scene.id, scene.driver.now());
    scene.driver.Collect();
    CHECK(scene.driver.cancels.size() == 1);
    CHECK(scene.driver.flow().open_requests() == 0);
  }
}

TEST_CASE("A stream that may not be resumed breaks off") {
  Scene scene(/*may_resume=*/false);
  scene.Break(0, 2);
  CHECK(scene.driver.starts.size() == 1);
  REQUIRE(scene.driver.seen(scene.id).refusal);
  CHECK(scene.driver.seen(scene.id).refusal->run == RunState::kUnknown);
}

TEST_CASE("A whole stream is passed on byte by byte") {
  Scene scene;
  scene.driver.Chunk(scene.driver.starts[0], 2, "ta: b\n\n: tail\n");
  scene.driver.End(scene.driver.starts[0], 3,
                   "id: 1\ndata: a\n\nid: 2\ndata: b\n\n: tail\n");
  CHECK(scene.driver.seen(scene.id).whole);
  CHECK(scene.driver.seen(scene.id).body ==
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n: tail\n");
}

/// Guards against events that come twice, because the target that goes on
/// begins after an event before the last one.
TEST_CASE("A stream is not gone on with after an event that has no id") {
  Scene scene;
  const std::string last = GENERATE("data: c\n\n", "data: c\r\n\r\n",
                                    "id:\ndata: c\n\n", "id: \x01\n\n");
  scene.driver.Chunk(scene.driver.starts[0], 2, "ta: b\n\n" + last);
  SECTION("where its target breaks off then") {
    scene.Break(0, 3);
    CHECK(scene.driver.starts.size() == 1);
    CHECK(scene.driver.seen(scene.id).refusal);
  }
  SECTION("but after the next one that has one") {
    scene.driver.Chunk(scene.driver.starts[0], 3,
                       "id: 4\r\ndata: d\r\n\r\n: ping\n");
    scene.Break(0, 4);
    REQUIRE(scene.driver.starts.size() == 2);
    CHECK(scene.driver.starts[1].resume_after == "4");
  }
}

/// Guards against a stream that stands still until its deadline, because its
/// target may send no more until the caller has taken what is held back.
TEST_CASE("An event longer than an entry holds back is passed on in parts") {
  Scene scene;
  const RequestFlowOptions options;
  const std::string part(options.stream_window_bytes / 2, 'x');
  scene.driver.Chunk(scene.driver.starts[0], 2, part);
  const std::string begun = "id: 1\ndata: a\n\nid: 2\nda" + part;
  CHECK((scene.driver.seen(scene.id).body == begun));

  SECTION("to its end") {
    scene.driver.Chunk(scene.driver.starts[0], 3, "x\n\n");
    scene.driver.End(scene.driver.starts[0], 4, begun + "x\n\n");
    CHECK(scene.driver.seen(scene.id).whole);
    CHECK((scene.driver.seen(scene.id).body == begun + "x\n\n"));
  }
  SECTION("and breaks off with its target: nobody can go on inside it") {
    scene.Break(0, 3);
    CHECK(scene.driver.starts.size() == 1);
    CHECK(scene.driver.seen(scene.id).refusal);
  }
}

/// Guards against half an event reaching a caller as the end of a whole stream.
TEST_CASE("A stream whose end comes inside an event goes on elsewhere") {
  Scene scene;
  scene.driver.End(scene.driver.starts[0], 2, "id: 1\ndata: a\n\nid: 2\nda");
  CHECK_FALSE(scene.driver.seen(scene.id).whole);
  CHECK(scene.driver.seen(scene.id).body == "id: 1\ndata: a\n\n");
  REQUIRE(scene.driver.starts.size() == 2);
  CHECK(scene.driver.starts[1].resume_after == "1");
}

}  // namespace
}  // namespace indigolead
