// Tests of entry processes with targets that advertise a limit on the requests
// per second from all entries together.

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "tests/platform/support/platform_scene.h"
#include "tests/support/limit_rule.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = std::chrono::steady_clock::time_point;

constexpr double kLimit = 5;  ///< Requests per second.

/// Two callers per entry that send requests in a loop with a pause between.
class Callers {
 public:
  Callers(PlatformScene* scene, std::string method, std::string path,
          milliseconds pause = milliseconds(50))
      : scene_(scene),
        method_(std::move(method)),
        path_(std::move(path)),
        pause_(pause) {
    for (std::size_t n = 0; n < scene_->further.size() + 1; ++n) {
      for (int caller = 0; caller < 2; ++caller) {
        threads_.emplace_back([this, n] { Send(n); });
      }
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
  int refused() const { return refused_; }

 private:
  void Send(std::size_t entry) {
    const std::string address =
        entry == 0 ? scene_->callers_address
                   : scene_->further[entry - 1].callers_address;
    while (!stopping_) {
      const std::string id = "r-" + std::to_string(++next_id_);
      const int status =
          scene_->SendTo(address, method_, path_, id, /*deadline_ms=*/1500)
              .status;
      served_ += status == 200 ? 1 : 0;
      refused_ += status == 503 ? 1 : 0;
      std::this_thread::sleep_for(pause_);
    }
  }

  PlatformScene* scene_;
  std::string method_;
  std::string path_;
  milliseconds pause_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> next_id_{0};
  std::atomic<int> served_{0};
  std::atomic<int> refused_{0};
  std::vector<std::thread> threads_;
};

/// Guards against an overloaded target that still gets its full share of the
/// requests.
TEST_CASE("A target that announces a limit gets no more from four entries",
          "[limit]") {
  PlatformScene scene;
  for (int n = 2; n <= 4; ++n) {
    scene.AddEntry("front-" + std::to_string(n));
  }
  REQUIRE(WaitUntil([&] { return scene.AllReady(); }));
  ModelWorker& target = scene.worker("a0");

  SECTION("a plain target, whose requests go to the other one") {
    Callers callers(&scene, "GET", "/desk/1");
    std::this_thread::sleep_for(seconds(8));
    target.SetAdvertisedLimit(kLimit);
    const Time advertised_at = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(seconds(12));
    callers.Stop();
    CHECK(MaxInSpan(target.arrivals(), advertised_at + kLimitGracePeriod) <=
          MaxAllowedInSpan(kLimit));
    // The limit is used, and callers are not affected.
    CHECK(MaxInSpan(target.arrivals(), advertised_at + kLimitGracePeriod) >= 4);
    CHECK(callers.refused() == 0);
  }
  SECTION("a plain target, counting requests before the announcement") {
    // Twice the limit: requests in the last second before the limit count.
    Callers callers(&scene, "GET", "/desk/1", milliseconds(400));
    std::this_thread::sleep_for(seconds(8));
    target.SetAdvertisedLimit(kLimit);
    const Time advertised_at = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(seconds(8));
    callers.Stop();
    CHECK(
        MaxInSpanEnding(target.arrivals(), advertised_at + kLimitGracePeriod) <=
        MaxAllowedInSpan(kLimit));
    CHECK(callers.refused() == 0);
  }
  SECTION("engines, counting prefill calls") {
    REQUIRE(WaitUntil([&] { return scene.EnginesInStage("prefill") == 3; }));
    scene.RegisterStages();
    std::this_thread::sleep_for(seconds(1));
    Callers callers(&scene, "POST", "/audit/1");
    std::this_thread::sleep_for(seconds(8));
    for (ModelWorker& it : scene.workers) {
      it.SetAdvertisedLimit(kLimit);
    }
    const Time advertised_at = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(seconds(12));
    callers.Stop();
    for (ModelWorker& it : scene.workers) {
      CHECK(MaxInSpan(it.arrivals(), advertised_at + kLimitGracePeriod) <=
            MaxAllowedInSpan(kLimit));
    }
    CHECK(callers.served() > 0);
  }
  SECTION("while entries start, stop, freeze and crash") {
    Callers callers(&scene, "GET", "/desk/1");
    std::this_thread::sleep_for(seconds(8));
    target.SetAdvertisedLimit(kLimit);
    const Time advertised_at = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(seconds(2));
    scene.further[0].process->Kill();
    scene.further[0].Start();
    scene.further[1].process->Pause();
    std::this_thread::sleep_for(seconds(2));
    scene.further[1].process->Resume();
    scene.further[2].process->Terminate();
    for (int n = 5; n <= 8; ++n) {
      scene.AddEntry("front-" + std::to_string(n));
    }
    Callers more(&scene, "GET", "/desk/1");
    std::this_thread::sleep_for(seconds(12));
    more.Stop();
    callers.Stop();
    CHECK(MaxInSpan(target.arrivals(), advertised_at + kLimitGracePeriod) <=
          MaxAllowedInSpan(kLimit));
  }
}

/// Guards against callers that wait in vain when every target has a limit.
TEST_CASE("Callers beyond the limits of all targets get a Retry-After") {
  PlatformScene scene;
  std::this_thread::sleep_for(seconds(8));
  scene.worker("a0").SetAdvertisedLimit(kLimit);
  scene.worker("a1").SetAdvertisedLimit(kLimit);
  int served = 0;
  int refused = 0;
  for (int n = 0; n < 100; ++n) {
    const Time sent_at = std::chrono::steady_clock::now();
    const HttpAnswer answer =
        scene.Send("GET", "/desk/1", "r-" + std::to_string(n));
    INFO(answer.status << " " << answer.body);
    if (answer.status == 200) {
      ++served;
      continue;
    }
    ++refused;
    REQUIRE(answer.status == 503);
    CHECK(std::chrono::steady_clock::now() - sent_at < milliseconds(150));
    CHECK(std::stod("0" + answer.Header("Retry-After")) > 0);
    CHECK(scene.Runs("r-" + std::to_string(n)) == 0);
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(served > 0);
  CHECK(refused > 0);
}

/// Guards against entries that learn of a limit only from their own requests.
TEST_CASE("Entries without requests learn of a target's limit and of its end") {
  PlatformScene scene;
  scene.AddEntry("front-2");
  REQUIRE(WaitUntil([&] { return scene.AllReady(); }));
  const auto limited_at_other = [&] {
    return HttpCall(scene.further[0].metrics_address, "GET", "/metrics")
               .body.find("\nindigolead_targets_limited 1\n") !=
           std::string::npos;
  };
  scene.worker("a0").SetAdvertisedLimit(kLimit);
  scene.worker("a1").SetBehaviour(ModelWorker::Behaviour::kRefuses);
  scene.Send("GET", "/desk/1", "r-1");
  CHECK(WaitUntil(limited_at_other, seconds(2)));
  CHECK(scene.store.Get("servers", "a0").contains("address"));

  scene.worker("a0").SetAdvertisedLimit(std::nullopt);
  std::this_thread::sleep_for(seconds(8));
  CHECK(WaitUntil(
      [&] {
        scene.Send("GET", "/desk/1", "r-2");
        return !limited_at_other();
      },
      seconds(8)));
}

TEST_CASE("An entry reports a target's limit to the operator") {
  PlatformScene scene;
  scene.worker("a0").SetAdvertisedLimit(kLimit);
  scene.worker("a1").SetAdvertisedLimit(kLimit);
  scene.Send("GET", "/desk/1", "r-1");
  CHECK(scene.Metric("indigolead_targets_limited") == "1");
  CHECK(WaitUntil([&] {
    const std::string& log = scene.entry->output();
    const auto at = log.find("target-limit-changed");
    return at != std::string::npos &&
           log.find("limit_per_s=5.0", at) != std::string::npos;
  }));
}

/// Guards against a limit that stays in effect after the target has recovered.
TEST_CASE("A target that no longer announces a limit gets its share again",
          "[limit]") {
  PlatformScene scene;
  ModelWorker& target = scene.worker("a0");
  target.SetAdvertisedLimit(kLimit);
  Callers callers(&scene, "GET", "/desk/1");
  std::this_thread::sleep_for(seconds(10));
  target.SetAdvertisedLimit(std::nullopt);
  std::this_thread::sleep_for(seconds(3));
  const std::size_t before = target.arrivals().size();
  std::this_thread::sleep_for(seconds(4));
  callers.Stop();
  CHECK(target.arrivals().size() - before > MaxAllowedInSpan(kLimit));
}

}  // namespace
}  // namespace indigolead::testing
