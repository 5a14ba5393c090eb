// Tests of several entry processes with requests that share a prompt part which
// crashes every target that begins to answer them.

#include <algorithm>
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

constexpr char kCrashingPart[] = "bad";
constexpr char kSharedPart[] = "5c";

/// Returns the prompt of a sound request: the shared part, one of a few others,
/// and one of its own.
std::string SoundParts(const std::string& id) {
  const std::size_t n = std::hash<std::string>()(id);
  return std::string(kSharedPart) + ":80,a" + std::to_string(n % 5) + ":20," +
         std::to_string(n % 1'000'000'007) + ":10";
}

/// Returns the prompt of a request that crashes its target, and shares its
/// other parts with sound ones.
std::string CrashingParts(const std::string& id) {
  const std::size_t n = std::hash<std::string>()(id);
  return std::string(kSharedPart) + ":80," + kCrashingPart + ":20,a" +
         std::to_string(n % 5) + ":20," + std::to_string(n % 1'000'000'007) +
         ":10";
}

/// The same with the part at fault in the first place.
std::string CrashingFirst(const std::string& id) {
  const std::string parts = CrashingParts(id);
  return std::string(kCrashingPart) + ":20," + parts;
}

/// Waits for `length` while the targets keep their registrations up to date.
void WaitWhileRegistering(PlatformScene* scene, milliseconds length) {
  const Time end = std::chrono::steady_clock::now() + length;
  while (std::chrono::steady_clock::now() < end) {
    scene->Register();
    std::this_thread::sleep_for(milliseconds(100));
  }
}

std::vector<Time> CrashesOf(PlatformScene* scene) {
  std::vector<Time> crashes;
  for (ModelWorker& worker : scene->workers) {
    const std::vector<Time> of_worker = worker.crashes();
    crashes.insert(crashes.end(), of_worker.begin(), of_worker.end());
  }
  return crashes;
}

/// Returns the arrivals at targets, prefills included, of the requests whose
/// ids begin with `prefix`.
std::vector<Time> ArrivalsOf(PlatformScene* scene, const std::string& prefix) {
  std::vector<Time> arrivals;
  for (ModelWorker& worker : scene->workers) {
    for (const ModelWorker::Arrival& it : worker.request_arrivals()) {
      if (it.request_id.rfind(prefix, 0) == 0) {
        arrivals.push_back(it.at);
      }
    }
  }
  return arrivals;
}

/// Returns the share of the requests sent from `from` to `to` that were served.
double ServedShare(const std::vector<SteadyCallers::Outcome>& outcomes,
                   Time from, Time to) {
  int sent = 0;
  int served = 0;
  for (const SteadyCallers::Outcome& it : outcomes) {
    if (it.sent_at >= from && it.sent_at < to) {
      ++sent;
      served += it.status == 200 ? 1 : 0;
    }
  }
  return sent == 0 ? 0 : static_cast<double>(served) / sent;
}

class CrashingPartScene {
 public:
  explicit CrashingPartScene(const ModelWorker::CrashForm& form) {
    PlatformScene::Options options;
    options.engines = 12;
    scene_.emplace(options);
    REQUIRE(WaitUntil([&] { return scene_->EnginesInStage("prefill") >= 3; }));
    scene_->AddEntry("front-2");
    scene_->AddEntry("front-3");
    REQUIRE(WaitUntil([&] { return scene_->AllReady(); }, seconds(30)));
    for (ModelWorker& it : scene_->workers) {
      it.SetCrashesOnPart(kCrashingPart, form);
      it.SetBodyEnd({/*by_close=*/form.closes_in_order, std::nullopt});
    }
    scene_->Register();
  }

  PlatformScene& operator*() { return *scene_; }
  PlatformScene* operator->() { return &*scene_; }

 private:
  std::optional<PlatformScene> scene_;
};

/// Guards against crashes that are counted only against whole requests, of
/// which no two are alike, and against a block that hits the neighbors.
TEST_CASE("A prompt part that crashes targets is blocked, its neighbors not",
          "[crash]") {
  using MakeParts = std::string (*)(const std::string&);
  const ModelWorker::CrashForm reset = {.down_for = seconds(2)};
  const ModelWorker::CrashForm closed = {
      .closes_in_order = true, .events_before = 2, .down_for = seconds(2)};
  const auto [what, make_parts, crashing_per_second, kills_entry, form] =
      GENERATE_COPY(table<std::string, MakeParts, double, bool,
                          ModelWorker::CrashForm>(
          {{"in second place, four a second", CrashingParts, 4.0, false, reset},
           {"in first place, four a second", CrashingFirst, 4.0, false, reset},
           {"in second place, one a second", CrashingParts, 1.0, false, reset},
           {"and an entry is killed", CrashingParts, 4.0, true, reset},
           {"and crashes close streams between events", CrashingParts, 4.0,
            false, closed}}));
  INFO("the part at fault comes " << what);
  CrashingPartScene scene(form);
  SteadyCallers::Load sound_load{"POST", "/audit/1"};
  sound_load.per_second = 30;
  sound_load.make_parts = SoundParts;
  SteadyCallers sound(&*scene, sound_load);
  const Time begun_at = std::chrono::steady_clock::now();
  WaitWhileRegistering(&*scene, seconds(4));

  const Time crashing_from = std::chrono::steady_clock::now();
  SteadyCallers::Load crashing_load{"POST", "/audit/crash"};
  crashing_load.per_second = crashing_per_second;
  crashing_load.make_parts = make_parts;
  SteadyCallers crashing(&*scene, crashing_load);
  if (kills_entry) {
    CHECK(WaitUntil([&] { return CrashesOf(&*scene).size() >= 4; }));
    scene->further[0].process->Kill();
    scene->further[0].Start();
  }
  WaitWhileRegistering(&*scene, seconds(18));
  const Time ended_at = std::chrono::steady_clock::now();
  crashing.Stop();
  sound.Stop();

  const std::vector<Time> crashes = CrashesOf(&*scene);
  REQUIRE_FALSE(crashes.empty());
  INFO(crashes.size() << " crashes");
  CHECK(CountForwardedAfterCrashes(crashes, ArrivalsOf(&*scene, "audit-crash"),
                                   kPartCrashesToBlock) <=
        kMaxForwardedAfterCrashes);
  const double calm =
      ServedShare(sound.outcomes(), begun_at + seconds(1), crashing_from);
  const double beside =
      ServedShare(sound.outcomes(), NeighborsServedFrom(crashes), ended_at);
  CHECK(calm > 0.9);
  CHECK(beside >= kMinNeighborsServed * calm);
}

}  // namespace
}  // namespace indigolead::testing
