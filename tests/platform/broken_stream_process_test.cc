// Tests of an entry process with targets whose streams are incomplete although
// their connection or framing ends cleanly.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/platform/support/platform_scene.h"

namespace indigolead::testing {
namespace {

using BodyEnd = ModelWorker::BodyEnd;

/// The complete stream of an engine.
const char kWholeStream[] =
    "id: 1\ndata: token1\n\nid: 2\ndata: token2\n\n"
    "id: 3\ndata: token3\n\nid: 4\ndata: token4\n\n";
constexpr std::size_t kEventBytes = 20;

void SetBodyEnd(PlatformScene* scene, const BodyEnd& end) {
  for (ModelWorker& it : scene->workers) {
    it.SetBodyEnd(end);
  }
}

TEST_CASE("Answers without length or chunked encoding are served") {
  PlatformScene scene;
  REQUIRE(WaitUntil([&] { return scene.EnginesInStage("prefill") == 3; }));
  scene.RegisterStages();
  BodyEnd end;
  end.by_close = true;
  SetBodyEnd(&scene, end);
  CHECK(scene.Send("GET", "/desk/1", "safe").body.rfind("menu of", 0) == 0);
  CHECK(scene.Send("POST", "/menu/1", "unsafe").body.rfind("menu of", 0) == 0);
  for (const std::string path : {"/audit/1", "/resume/1"}) {
    const HttpAnswer stream = scene.Send("POST", path, path);
    CHECK(stream.status == 200);
    CHECK(stream.body == kWholeStream);
    CHECK(scene.Runs(path) == 1);
  }
  CHECK(scene.Metric("indigolead_answers_ended_by_close_total") == "4");
  CHECK(scene.Metric("indigolead_streams_ended_inside_event_total") == "0");
}

/// Guards against truncated streams that reach callers as complete.
TEST_CASE("A stream that ends inside an event is not reported as complete") {
  const bool by_close = GENERATE(true, false);
  INFO((by_close ? "ended by connection close" : "chunked"));
  // Inside the id of an event, its data, and between its two line ends.
  const std::size_t part = GENERATE(3, 12, 19);
  INFO("after " << part << " bytes of the second event");
  PlatformScene scene;
  scene.EarnRetryBudget();

  BodyEnd end;
  end.by_close = by_close;
  end.cut_after = kEventBytes + part;

  SECTION("a request that may run only once is cut off") {
    SetBodyEnd(&scene, end);
    CHECK(scene.Send("POST", "/audit/1", "once").status == 0);
    CHECK(scene.Runs("once") == 1);
  }
  SECTION("a resumable request continues at another target") {
    SetBodyEnd(&scene, end);
    const HttpAnswer resumed = scene.Send("POST", "/resume/1", "resumed");
    CHECK(resumed.status == 200);
    CHECK(resumed.body == kWholeStream);
    CHECK(scene.Runs("resumed") == 2);
  }
  SECTION("a resumable request is cut off if the second target truncates it") {
    end.cut_resumed = true;
    SetBodyEnd(&scene, end);
    const HttpAnswer cut = scene.Send("POST", "/resume/1", "cut");
    CHECK(cut.status == 0);
    CHECK(scene.Runs("cut") == 2);
    // A reset may discard bytes already written, but no partial event arrives.
    CHECK(std::string(kWholeStream).rfind(cut.body, 0) == 0);
    CHECK(cut.body.size() % kEventBytes == 0);
  }
}

/// Guards against a target's crash before its first event that reaches callers
/// as an empty, complete answer.
TEST_CASE("A stream closed by its connection before any event is broken") {
  PlatformScene scene;
  scene.EarnRetryBudget();
  BodyEnd end;
  end.by_close = true;
  end.cut_after = 0;
  SetBodyEnd(&scene, end);
  CHECK(scene.Send("POST", "/audit/1", "once").status == 0);
  CHECK(scene.Send("POST", "/resume/1", "resumed").status == 0);
  CHECK(scene.Runs("once") == 1);
  CHECK(scene.Runs("resumed") == 2);
}

}  // namespace
}  // namespace indigolead::testing
