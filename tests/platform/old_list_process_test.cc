// Tests of an entry that has no way to the other entries and an old list of the
// targets, while targets of another software version join.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/support/platform_scene.h"
#include "tests/platform/support/stream_callers.h"
#include "tests/support/raw_client.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kStreams = 24;
constexpr milliseconds kEventGap{10};
/// End of the second event.
const char kSecondEvent[] = "2\n\n";

/// A stream whose caller lost its connection after the second event.
struct BrokenStream {
  std::string id;
  std::string events;
};

/// What became of streams that callers took up at one entry.
struct TakenUp {
  int whole = 0;
  int mixed = 0;                   ///< Events of two software versions.
  int refused = 0;                 ///< 503.
  int told_to_come = 0;            ///< 503 with a Retry-After.
  std::vector<BrokenStream> left;  ///< Those refused.
  std::string refusals;            ///< Their bodies, for messages.
};

/// An entry without a way to the other one, before engines of "v1" at which
/// some of "v2" join. Both know every target since the fleet started.
class ReleaseBesideEntry {
 public:
  ReleaseBesideEntry()
      : scene({.retry_slack = 2000, .first_start = true, .entry_apart = true}) {
    scene.AddEntry("front-2");
    REQUIRE(WaitUntil([this] { return scene.AllReady(); }));
    REQUIRE(WaitUntil([this] { return scene.EnginesInStage("prefill") == 3; }));
    scene.RegisterStages();
    for (ModelWorker& it : scene.workers) {
      it.SetEventGap(kEventGap);
    }
    std::this_thread::sleep_for(kQuiet);
  }

  /// Changes targets until the watch of the entry rests between two calls, as
  /// it does after several changes in a row.
  void MakeChanges(int changes) {
    for (int n = 0; n < changes; ++n) {
      scene.AddEngine("p" + std::to_string(n), "v1", "prefill");
      scene.Register();
      AwaitListed(&*scene.entry, "p" + std::to_string(n));
    }
  }

  /// Lets engines of "v2" join and waits until the other entry knows them.
  void Release() {
    for (const std::string& it : kNewEngines) {
      scene.AddEngine(it, "v2", "decode").SetEventGap(kEventGap);
    }
    scene.Register();
    for (const std::string& it : kNewEngines) {
      AwaitListed(&*scene.further[0].process, it);
    }
  }

  /// Removes the registrations of the engines of "v2".
  void TakeBack() {
    for (const std::string& it : kNewEngines) {
      scene.Deregister(scene.worker(it));
    }
  }

  /// Lets time pass in which the engines register the stages that they were
  /// ordered to take.
  void KeepRegistered(milliseconds length) {
    const auto end = std::chrono::steady_clock::now() + length;
    while (std::chrono::steady_clock::now() < end) {
      scene.Register();
      std::this_thread::sleep_for(milliseconds(100));
    }
  }

  /// Begins streams at the other entry, each up to its second event, and
  /// returns those of "v2".
  std::vector<BrokenStream> BeginElsewhere() {
    std::deque<RawClient> clients;
    std::vector<BrokenStream> begun;
    for (int n = 0; n < kStreams; ++n) {
      const std::string id = "s" + std::to_string(n);
      clients.emplace_back(scene.further[0].callers_address)
          .Write(
              "POST /resume/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " +
              id +
              "\r\nX-Deadline-Ms: 4000\r\nX-Token-Usage: 100,4\r\n"
              "X-Prefix-Hash: 5c:80,91:20\r\nContent-Length: 6\r\n\r\n"
              "prices");
      begun.push_back({id, ""});
    }
    for (int n = 0; n < kStreams; ++n) {
      begun[n].events = clients[n].ReadUntil(kSecondEvent);
      clients[n].Close();
    }
    std::erase_if(begun, [](const BrokenStream& it) {
      return VersionsIn(it.events) != std::set<std::string>{"v2"};
    });
    return begun;
  }

  /// Takes all streams up at once at the entry that is apart.
  TakenUp TakeUp(const std::vector<BrokenStream>& begun,
                 const std::string& attempt) {
    std::vector<std::future<HttpAnswer>> answers;
    answers.reserve(begun.size());
    for (const BrokenStream& it : begun) {
      answers.push_back(std::async(std::launch::async, [this, it, attempt] {
        return PlatformScene::ResumeAt(scene.callers_address, "/resume/1",
                                       it.id + attempt, it.id, 2);
      }));
    }
    TakenUp taken_up;
    for (std::size_t n = 0; n < begun.size(); ++n) {
      const HttpAnswer answer = answers[n].get();
      const auto versions = VersionsIn(begun[n].events + answer.body);
      taken_up.mixed += versions.size() > 1 ? 1 : 0;
      taken_up.whole += answer.status == 200 && versions.size() == 1 ? 1 : 0;
      if (answer.status == 503) {
        ++taken_up.refused;
        taken_up.told_to_come += answer.Header("Retry-After").empty() ? 0 : 1;
        taken_up.left.push_back(begun[n]);
        taken_up.refusals += answer.body + "\n";
      }
    }
    return taken_up;
  }

  PlatformScene scene;

 private:
  /// Longer than the waits and rests of a watch.
  static constexpr milliseconds kQuiet{2000};
  inline static const std::vector<std::string> kNewEngines = {"n0", "n1", "n2"};

  static void AwaitListed(Process* entry, const std::string& target) {
    const std::string line = "target-changed target=" + target + " ";
    REQUIRE(WaitUntil(
        [&] { return entry->output().find(line) != std::string::npos; }));
  }
};

/// Guards against an entry that takes "only one version was listed" for a proof
/// while its list is older than the streams.
TEST_CASE("An entry with an old list joins no two versions in a stream",
          "[versions]") {
  constexpr milliseconds kHeldBack{3000};
  ReleaseBesideEntry fleet;
  fleet.MakeChanges(1);
  fleet.scene.own_store_relay.SetDelay(kHeldBack);
  fleet.Release();
  const auto begun = fleet.BeginElsewhere();
  REQUIRE(begun.size() >= kStreams / 4);
  const TakenUp first = fleet.TakeUp(begun, "-again");
  INFO("taken up: " << begun.size() << ", refused " << first.refused);
  CHECK(first.mixed == 0);
  CHECK(first.whole + first.refused == static_cast<int>(begun.size()));
  CHECK(first.told_to_come == first.refused);

  SECTION("and continues them once the store answers again") {
    fleet.scene.own_store_relay.SetDelay(milliseconds(0));
    fleet.KeepRegistered(kHeldBack + seconds(1));
    const TakenUp second = fleet.TakeUp(first.left, "-later");
    INFO("refused again: " << second.refusals);
    CHECK(second.mixed == 0);
    CHECK(second.whole >= first.refused * 9 / 10);
  }
}

/// Guards against an entry that stood still, and learns of targets that joined
/// and left meanwhile in one response: their version has to count as listed.
TEST_CASE("An entry that stood still joins no two versions in a stream",
          "[versions]") {
  constexpr int kChanges = 4;
  constexpr seconds kStandsStill{1};
  ReleaseBesideEntry fleet;
  fleet.MakeChanges(kChanges);
  fleet.scene.entry->Pause();
  fleet.Release();
  const auto begun = fleet.BeginElsewhere();
  REQUIRE(begun.size() >= kStreams / 4);
  SECTION("while targets of another version joined") {}
  SECTION("while targets of another version joined and left") {
    fleet.TakeBack();
  }
  std::this_thread::sleep_for(kStandsStill);
  auto resumed = std::async(std::launch::async, [&] {
    std::this_thread::sleep_for(milliseconds(100));
    fleet.scene.entry->Resume();
  });
  const TakenUp taken_up = fleet.TakeUp(begun, "-again");
  resumed.get();
  INFO("taken up: " << begun.size() << ", refused " << taken_up.refused);
  CHECK(taken_up.mixed == 0);
  CHECK(taken_up.whole + taken_up.refused == static_cast<int>(begun.size()));
}

/// Guards against a refusal that is safe but not needed: a list that the store
/// confirms is a proof.
TEST_CASE("A stream goes on without a record where the list is confirmed",
          "[versions]") {
  ReleaseBesideEntry fleet;
  const HttpAnswer answer = PlatformScene::ResumeAt(
      fleet.scene.callers_address, "/resume/1", "again", "never-seen", 2);
  CHECK(answer.status == 200);
}

}  // namespace
}  // namespace indigolead::testing
