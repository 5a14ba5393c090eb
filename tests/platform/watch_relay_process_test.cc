#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "tests/platform/support/platform_scene.h"

namespace indigolead::testing {
namespace {

using std::chrono::seconds;

constexpr int kFurther = 8;
/// Time within which a configuration must take effect, by the entries'
/// settings.
constexpr seconds kBound{2};

/// Nine entries of one failure domain, the smallest number that uses a relay.
class Scene {
 public:
  Scene() {
    for (int it = 0; it < kFurther; ++it) {
      platform.AddEntry("further-" + std::to_string(it));
    }
    REQUIRE(WaitUntil([this] { return platform.AllReady(); }));
    // Entry lists that were read during the start are read once more.
    std::this_thread::sleep_for(seconds(3));
  }

  /// Adds a route and returns true if all entries but `dead` know it in time.
  bool NewRouteReachesAll(const PlatformScene::FurtherEntry* dead = nullptr) {
    const std::string name = "print" + std::to_string(++version_);
    auto next = MakeConfiguration(version_);
    next["routes"].push_back(MakeRoute(name, "/" + name + "/", "safe", "app"));
    platform.store.Put("config", "main", next);
    return WaitUntil(
        [&] {
          return KnowsRoute(platform.callers_address, name) &&
                 std::all_of(platform.further.begin(), platform.further.end(),
                             [&](const auto& it) {
                               return &it == dead ||
                                      KnowsRoute(it.callers_address, name);
                             });
        },
        kBound);
  }

  /// Returns the further entry that acts as the relay, or null.
  PlatformScene::FurtherEntry* Relay() {
    for (PlatformScene::FurtherEntry& it : platform.further) {
      const std::string n =
          it.Metric("indigolead_watch_questions_answered_total");
      if (!n.empty() && n != "0") {
        return &it;
      }
    }
    return nullptr;
  }

  PlatformScene platform;

 private:
  bool KnowsRoute(const std::string& address, const std::string& route) {
    const std::string id = "r-" + std::to_string(++request_count_);
    return PlatformScene::SendTo(address, "GET", "/" + route + "/1", id, 1000)
               .status == 200;
  }

  std::uint64_t version_ = 8;
  int request_count_ = 0;
};

TEST_CASE("Entries of a failure domain watch the store through one relay") {
  Scene scene;
  const int before = scene.platform.store.watch_calls();
  const auto start = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(seconds(3));
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  const int calls = scene.platform.store.watch_calls() - before;
  // A relay makes at most one call for each of two watches per 0.2 of the
  // bound, plus one open at the start and one just begun. Without a relay, nine
  // entries make 27 calls in the time in which a relay may make 19.
  const double most = 2 * (elapsed.count() / (0.2 * kBound.count()) + 2);
  CHECK(calls <= most);
  CHECK(scene.NewRouteReachesAll());

  SECTION("and see changes in time when the relay is killed") {
    PlatformScene::FurtherEntry* relay = scene.Relay();
    REQUIRE(relay);
    relay->process->Kill();
    CHECK(scene.NewRouteReachesAll(relay));
    CHECK(scene.NewRouteReachesAll(relay));
  }
}

}  // namespace
}  // namespace indigolead::testing
