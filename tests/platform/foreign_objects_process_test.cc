// Tests of entry processes while the platform's store holds an object of
// another writer that cannot be read.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "tests/platform/support/platform_scene.h"

namespace indigolead::testing {
namespace {

using std::chrono::seconds;

constexpr int kDepth = 100000;
constexpr int kRequests = 20;
constexpr seconds kFollowedWithin{10};

struct Foreign {
  std::string kind;
  std::string spec;
};

std::string Lists() {
  return "{\"service\":" + std::string(kDepth, '[') + std::string(kDepth, ']') +
         "}";
}

std::string Objects() {
  std::string text;
  for (int n = 0; n < kDepth; ++n) {
    text += R"({"a":)";
  }
  return text + "1" + std::string(kDepth, '}');
}

/// Two entries in front of two plain targets and engines.
class Scene {
 public:
  Scene() {
    platform.AddEntry("front-2");
    REQUIRE(WaitUntil([this] { return platform.AllReady(); }));
  }

  std::vector<std::string> entries() const {
    return {platform.callers_address, platform.further.front().callers_address};
  }

  /// Sends requests to all entries; returns true if all were served, and none
  /// by the target that is not `only`, unless that is empty.
  bool Served(const std::string& only) {
    bool served = true;
    for (const std::string& entry : entries()) {
      for (int n = 0; n < kRequests; ++n) {
        const std::string id = "r-" + std::to_string(++sent_);
        served =
            PlatformScene::SendTo(entry, "GET", "/desk/1", id, 4000).status ==
                200 &&
            served;
        served =
            (only.empty() || platform.worker(only).runs(id) == 1) && served;
      }
    }
    return served;
  }

  /// Returns true if all entries are ready. An unreadable object beside their
  /// records counts as an entry until it expires, so the count is not checked.
  bool Ready() { return platform.Ready() && platform.further.front().Ready(); }

  bool Running() {
    return !platform.entry->WaitForExit(seconds(0)) &&
           !platform.further.front().process->WaitForExit(seconds(0));
  }

  void RestartAll() {
    platform.entry->Kill();
    platform.further.front().process->Kill();
    platform.StartEntry();
    platform.further.front().Start();
  }

  PlatformScene platform;

 private:
  int sent_ = 0;
};

void CheckEntriesFollow(const Foreign& foreign) {
  Scene scene;
  PlatformScene& platform = scene.platform;
  const std::string a0 = "a0";
  INFO("an object of " << foreign.kind);
  REQUIRE(scene.Served(""));
  platform.store.PutText(foreign.kind, "foreign", foreign.spec);
  CHECK(scene.Served(""));
  platform.Deregister(platform.worker(a0));
  CHECK(WaitUntil([&] { return scene.Served("a1"); }, kFollowedWithin));
  platform.Register();
  platform.Deregister(platform.worker("a1"));
  CHECK(WaitUntil([&] { return scene.Served(a0); }, kFollowedWithin));
  CHECK(scene.Running());
  scene.RestartAll();
  CHECK(WaitUntil([&] { return scene.Ready(); }, seconds(20)));
  CHECK(scene.Served(a0));
  CHECK(scene.Running());
}

// Guards against a stack overflow in all entries, again after each start.
TEST_CASE("Entries serve and follow targets beside a deeply nested object") {
  CheckEntriesFollow(
      GENERATE(Foreign{"servers", Lists()}, Foreign{"servers", Objects()},
               Foreign{"entries", Lists()}, Foreign{"crashes", Lists()}));
}

// Guards against lists that no entry can read because of one object in them.
TEST_CASE(
    "Entries serve and follow targets beside an object that is not JSON") {
  CheckEntriesFollow(
      GENERATE(Foreign{"servers", R"({"service":"app","slots":1e400})"},
               Foreign{"servers", R"({"service":"\ud800"})"},
               Foreign{"entries", R"({"incarnation":1e400})"},
               Foreign{"streams", R"("\ud800")"}));
}

}  // namespace
}  // namespace indigolead::testing
