// Tests of an entry process with targets that request a cooldown with
// Retry-After or announce that they are leaving.

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "tests/platform/support/platform_scene.h"
#include "tests/support/cooldown_rule.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCooldownS = 3;  ///< Requested by targets, in seconds.

/// Callers of one entry that send requests in a loop with a pause between.
class Callers {
 public:
  Callers(PlatformScene* scene, std::string method, std::string path)
      : scene_(scene), method_(std::move(method)), path_(std::move(path)) {
    for (int n = 0; n < kCallers; ++n) {
      threads_.emplace_back([this] { Send(); });
    }
  }
  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Stop() {
    stopping_ = true;
    for (std::thread& it : threads_) {
      it.join();
    }
    threads_.clear();
  }
  int served() const { return served_; }
  int not_served() const { return not_served_; }

 private:
  static constexpr int kCallers = 6;
  static constexpr milliseconds kPause{30};

  void Send() {
    while (!stopping_) {
      const std::string id = "r-" + std::to_string(++next_id_);
      const bool served = scene_->Send(method_, path_, id).status == 200;
      ++(served ? served_ : not_served_);
      std::this_thread::sleep_for(kPause);
    }
  }

  PlatformScene* scene_;
  std::string method_;
  std::string path_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> next_id_{0};
  std::atomic<int> served_{0};
  std::atomic<int> not_served_{0};
  std::vector<std::thread> threads_;
};

/// Returns the most requests that reached any target during one requested
/// cooldown.
int MostDuringAnyCooldown(PlatformScene* scene) {
  int most = 0;
  for (ModelWorker& it : scene->workers) {
    most = std::max(most, MaxArrivalsDuringCooldown(it.requested_cooldowns(),
                                                    it.arrivals()));
  }
  return most;
}

/// Guards against requests to a target that has refused one and requested a
/// cooldown.
TEST_CASE("A requested pause of a target is respected", "[rest]") {
  PlatformScene scene;
  REQUIRE(WaitUntil([&] { return scene.Ready(); }));
  REQUIRE(WaitUntil([&] { return scene.EnginesInStage("prefill") == 3; }));
  scene.RegisterStages();
  std::this_thread::sleep_for(seconds(1));
  scene.EarnRetryBudget();

  SECTION("a plain target, whose requests go to the other one") {
    Callers callers(&scene, "GET", "/desk/1");
    scene.worker("a0").SetRequestedCooldown(kCooldownS);
    std::this_thread::sleep_for(seconds(8));
    callers.Stop();
    CHECK_FALSE(scene.worker("a0").requested_cooldowns().empty());
    CHECK(MostDuringAnyCooldown(&scene) <= kMaxRequestsDuringCooldown);
    CHECK(callers.served() > 0);
  }
  SECTION("all prefill engines or all decode engines") {
    const std::string stage = GENERATE("prefill", "decode");
    INFO(stage);
    Callers callers(&scene, "POST", "/audit/1");
    for (ModelWorker& it : scene.workers) {
      if (it.stage() == stage && it.service() == "llm") {
        it.SetRequestedCooldown(kCooldownS);
      }
    }
    std::this_thread::sleep_for(seconds(8));
    callers.Stop();
    CHECK(MostDuringAnyCooldown(&scene) <= kMaxRequestsDuringCooldown);
    for (ModelWorker& it : scene.workers) {
      it.SetRequestedCooldown(std::nullopt);
    }
    std::this_thread::sleep_for(seconds(static_cast<int>(kCooldownS)));
    CHECK(scene.Send("POST", "/audit/1", "after").status == 200);
  }
  SECTION("every target of a service, and callers are refused at once") {
    Callers callers(&scene, "GET", "/desk/1");
    for (ModelWorker& it : scene.workers) {
      it.SetRequestedCooldown(kCooldownS);
    }
    std::this_thread::sleep_for(seconds(8));
    callers.Stop();
    CHECK(MostDuringAnyCooldown(&scene) <= kMaxRequestsDuringCooldown);
    const auto sent_at = std::chrono::steady_clock::now();
    const HttpAnswer answer = scene.Send("GET", "/desk/1", "last");
    CHECK(answer.status == 503);
    CHECK(std::chrono::steady_clock::now() - sent_at < seconds(1));
    for (ModelWorker& it : scene.workers) {
      it.SetRequestedCooldown(std::nullopt);
    }
    // Targets are used again after the requested time.
    std::this_thread::sleep_for(seconds(static_cast<int>(kCooldownS)));
    CHECK(scene.Send("GET", "/desk/1", "after").status == 200);
  }
}

/// Guards against requests to a target that has announced in an answer that it
/// is leaving, while the list still shows it as ready.
TEST_CASE("A target that announces that it is leaving gets no requests",
          "[rest]") {
  PlatformScene scene;
  REQUIRE(WaitUntil([&] { return scene.Ready(); }));
  ModelWorker& target = scene.worker("a0");
  Callers callers(&scene, "GET", "/desk/1");
  std::this_thread::sleep_for(seconds(1));
  target.SetAnnouncesLeaving(true);
  std::this_thread::sleep_for(seconds(5));
  callers.Stop();
  REQUIRE_FALSE(target.leaving_announced_at().empty());
  CHECK(CountArrivalsAfterLeaving(target.leaving_announced_at(),
                                  target.arrivals()) == 0);
  CHECK(callers.served() > 0);
  CHECK(callers.not_served() == 0);
}

}  // namespace
}  // namespace indigolead::testing
