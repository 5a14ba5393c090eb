// Tests of several entry processes with a caller that repeats a request which
// crashes every target that runs it.

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "tests/platform/support/platform_scene.h"
#include "tests/platform/support/repeats.h"
#include "tests/support/crash_rule.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = std::chrono::steady_clock::time_point;

/// Caller that repeatedly requests one path from each entry in turn, with a new
/// request id each time.
class RepeatingCaller {
 public:
  RepeatingCaller(std::vector<std::string> entries, std::string method,
                  std::string path, milliseconds pause)
      : entries_(std::move(entries)),
        method_(std::move(method)),
        path_(std::move(path)),
        pause_(pause),
        thread_([this] { Send(); }) {}
  ~RepeatingCaller() { Stop(); }
  RepeatingCaller(const RepeatingCaller&) = delete;
  RepeatingCaller& operator=(const RepeatingCaller&) = delete;

  void Stop() {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  int sent_count() const { return sent_count_; }
  int served() const { return served_; }

 private:
  void Send() {
    while (!stopping_) {
      const int n = sent_count_++;
      const std::string& entry =
          entries_[static_cast<std::size_t>(n) % entries_.size()];
      const HttpAnswer answer = PlatformScene::SendTo(
          entry, method_, path_, path_ + "#" + std::to_string(n), 3000);
      served_ += answer.status == 200 ? 1 : 0;
      std::this_thread::sleep_for(pause_);
    }
  }

  std::vector<std::string> entries_;
  std::string method_;
  std::string path_;
  milliseconds pause_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> sent_count_{0};
  std::atomic<int> served_{0};
  std::thread thread_;
};

std::vector<Time> ArrivalsOf(PlatformScene* scene, const std::string& path) {
  std::vector<Time> arrivals;
  for (ModelWorker& worker : scene->workers) {
    for (const ModelWorker::Arrival& it : worker.request_arrivals()) {
      if (it.path == path) {
        arrivals.push_back(it.at);
      }
    }
  }
  return arrivals;
}

std::vector<Time> CrashesOf(PlatformScene* scene) {
  std::vector<Time> crashes;
  for (ModelWorker& worker : scene->workers) {
    const std::vector<Time> of_worker = worker.crashes();
    crashes.insert(crashes.end(), of_worker.begin(), of_worker.end());
  }
  return crashes;
}

/// Waits for `length` while the targets keep their registrations up to date.
void WaitWhileRegistering(PlatformScene* scene, seconds length) {
  const Time end = std::chrono::steady_clock::now() + length;
  while (std::chrono::steady_clock::now() < end) {
    scene->Register();
    std::this_thread::sleep_for(milliseconds(250));
  }
}

/// Guards against a request that crashes one target after another because the
/// entries forward its caller's repeats like any other request.
TEST_CASE("A request that crashes its targets is quarantined", "[crash]") {
  PlatformScene scene;
  REQUIRE(WaitUntil([&] { return scene.EnginesInStage("prefill") == 3; }));
  scene.AddEntry("front-2");
  scene.AddEntry("front-3");
  REQUIRE(WaitUntil([&] { return scene.AllReady(); }, seconds(30)));
  const std::vector<std::string> entries = {scene.callers_address,
                                            scene.further[0].callers_address,
                                            scene.further[1].callers_address};
  const auto [method, crashing, innocent] =
      GENERATE(table<std::string, std::string, std::string>(
          {{"GET", "/desk/crash", "/desk/1"},
           {"POST", "/menu/crash", "/menu/1"},
           {"POST", "/audit/crash", "/audit/1"},
           {"POST", "/resume/crash", "/resume/1"}}));
  INFO(crashing);
  for (ModelWorker& it : scene.workers) {
    it.SetCrashesOn(crashing);
  }
  scene.Register();
  RepeatingCaller bad(entries, method, crashing, milliseconds(150));
  RepeatingCaller good(entries, method, innocent, milliseconds(20));
  WaitWhileRegistering(&scene, seconds(7));
  const int served = good.served();
  WaitWhileRegistering(&scene, seconds(2));
  CHECK(good.served() > served + 20);

  // Restarted processes have no memory of the earlier crashes.
  scene.entry->Kill();
  scene.StartEntry();
  scene.further[0].process->Kill();
  scene.further[0].Start();
  WaitWhileRegistering(&scene, seconds(5));
  bad.Stop();
  good.Stop();
  const std::vector<Time> crashes = CrashesOf(&scene);
  CHECK(crashes.size() >= kCrashesToBlock);
  CHECK(bad.sent_count() > 20);
  CHECK(CountForwardedAfterCrashes(crashes, ArrivalsOf(&scene, crashing)) <=
        kMaxForwardedAfterCrashes);
  const HttpAnswer refused = scene.Send(method, crashing, "last");
  CHECK(refused.status == 503);
  CHECK_FALSE(refused.Header("Retry-After").empty());
}

/// Returns the prompt of a request that shares no part with others.
std::string OwnPart(const std::string& id) {
  return std::to_string(std::hash<std::string>()(id) % 1'000'000'007) + ":10";
}

struct CrashCase {
  const char* description;
  ModelWorker::CrashForm form;
  bool body_by_close = false;           ///< Answers end with their connection.
  milliseconds patience = seconds(10);  ///< Of the caller of the request.
};

using Address = ModelWorker::CrashForm::Address;

std::vector<CrashCase> CrashCases() {
  return {
      {"the address resets connections", {.address = Address::kResets}},
      {"the address is silent", {.address = Address::kSilent}},
      {"streams are closed between events",
       {.closes_in_order = true, .events_before = 2},
       /*body_by_close=*/true},
      {"streams without a length are reset between events",
       {.events_before = 2, .after = milliseconds(0)},
       /*body_by_close=*/true},
      {"the caller has left",
       {.events_before = 1, .after = milliseconds(200)},
       /*body_by_close=*/false,
       /*patience=*/milliseconds(100)},
  };
}

/// Like `WaitWhileRegistering`; the platform removes the registrations of
/// targets that have been silent for `kRegistrationExpiry`.
void WaitWhileRegistrationsExpire(PlatformScene* scene, seconds length) {
  constexpr milliseconds kRegistrationExpiry{3600};
  const Time end = std::chrono::steady_clock::now() + length;
  while (std::chrono::steady_clock::now() < end) {
    scene->Register();
    for (ModelWorker& it : scene->workers) {
      const bool expired =
          it.down() && std::chrono::steady_clock::now() - it.crashes().back() >=
                           kRegistrationExpiry;
      if (expired && !scene->store.Get("servers", it.id()).is_null()) {
        scene->Deregister(it);
      }
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
}

/// Sends sound requests and one that crashes its targets in the given form, and
/// checks how often the latter is forwarded.
void CheckForwardedAfterCrashes(const CrashCase& crash_case,
                                milliseconds down_for) {
  INFO(crash_case.description);
  PlatformScene::Options options;
  options.engines = 12;
  PlatformScene scene(options);
  REQUIRE(WaitUntil([&] { return scene.EnginesInStage("prefill") >= 3; }));
  scene.AddEntry("front-2");
  scene.AddEntry("front-3");
  REQUIRE(WaitUntil([&] { return scene.AllReady(); }, seconds(30)));
  ModelWorker::CrashForm form = crash_case.form;
  form.down_for = down_for;
  form.takes_new_id = true;
  for (ModelWorker& it : scene.workers) {
    it.SetCrashesOn("/audit/crash", form);
    it.SetBodyEnd({crash_case.body_by_close, std::nullopt});
  }
  scene.Register();
  SteadyCallers::Load sound_load{"POST", "/audit/1", 30};
  sound_load.make_parts = OwnPart;
  SteadyCallers sound(&scene, sound_load);
  SteadyCallers::Load bad_load{"POST", "/audit/crash", 4};
  bad_load.patience = crash_case.patience;
  SteadyCallers bad(&scene, bad_load);
  WaitWhileRegistrationsExpire(&scene, seconds(8));
  const int served = sound.served();
  WaitWhileRegistrationsExpire(&scene, seconds(2));
  CHECK(sound.served() > served + 20);
  bad.Stop();
  sound.Stop();
  const std::vector<Time> crashes = CrashesOf(&scene);
  INFO(crashes.size() << " crashes");
  CHECK(crashes.size() >= kCrashesToBlock);
  CHECK(
      CountForwardedAfterCrashes(crashes, ArrivalsOf(&scene, "/audit/crash")) <=
      kMaxForwardedAfterCrashes);
}

/// Guards against crashes that count against no request because of what they
/// do to the target's connections.
TEST_CASE("A crash is counted whatever it does to connections", "[crash]") {
  CheckForwardedAfterCrashes(GENERATE(from_range(CrashCases())), seconds(2));
}

/// Guards against crashes that are counted too late, because only the return of
/// the target shows them.
TEST_CASE("A crash is counted in time if its address serves nothing for long",
          "[crash]") {
  const std::vector<CrashCase> cases = CrashCases();
  const std::size_t n = GENERATE(0U, 1U);
  CheckForwardedAfterCrashes(cases[n], seconds(5));
}

}  // namespace
}  // namespace indigolead::testing
