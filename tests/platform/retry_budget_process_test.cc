// Tests of the operator's retry bound as targets see it: the arrivals at a
// service after the first of each request, from all entries together.

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <regex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "core/base/random.h"
#include "tests/platform/support/platform_scene.h"
#include "tests/platform/support/repeats.h"
#include "tests/support/retry_rule.h"

namespace indigolead::testing {
namespace {

using Behaviour = ModelWorker::Behaviour;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 4;

/// Four entries with two plain targets and six engines.
class Fleet {
 public:
  Fleet() : platform({.retry_slack = rule.slack}) {
    for (int n = 2; n <= kEntries; ++n) {
      platform.AddEntry("front-" + std::to_string(n));
    }
    REQUIRE(WaitUntil([this] { return platform.AllReady(); }));
  }

  void ForEachProcess(const std::function<void(Process*)>& act) {
    act(&*platform.entry);
    for (PlatformScene::FurtherEntry& it : platform.further) {
      act(&*it.process);
    }
  }

  void KillAll() {
    ForEachProcess([](Process* it) { it->Kill(); });
  }

  void StartAll() {
    platform.StartEntry();
    for (PlatformScene::FurtherEntry& it : platform.further) {
      it.Start();
    }
  }

  RetryRule rule;
  PlatformScene platform;
};

/// Stops the callers, whose requests go to `service`, and returns the window
/// that uses the largest part of what the rule allows.
RetryWindow WorstWindow(Fleet* fleet, SteadyCallers* callers,
                        const std::string& service) {
  const auto sent = callers->Stop();
  return WorstRetryWindow(fleet->rule, sent,
                          FurtherArrivals(&fleet->platform, service));
}

/// Guards against a retry budget that each process gets at its start.
TEST_CASE("Entries that are killed repeatedly keep the retry bound",
          "[retry]") {
  Fleet fleet;
  SteadyCallers callers(&fleet.platform, {"GET", "/desk/1"});
  std::this_thread::sleep_for(seconds(12));  // All earn a full budget.
  fleet.platform.SetBehaviour(Behaviour::kRefuses);
  std::this_thread::sleep_for(seconds(1));
  for (int n = 0; n < 6; ++n) {
    fleet.KillAll();
    fleet.StartAll();
    std::this_thread::sleep_for(milliseconds(2100));
  }
  const RetryWindow worst = WorstWindow(&fleet, &callers, "app");
  INFO(worst);
  CHECK(worst.further <= worst.allowed);
  CHECK(worst.further > 0);
}

/// Guards against shares of the retry budget that are computed from incomplete
/// lists of entries.
TEST_CASE("Entries that stop and start together keep the retry bound",
          "[retry]") {
  Fleet fleet;
  SteadyCallers callers(&fleet.platform, {"GET", "/desk/1", 6});
  std::this_thread::sleep_for(seconds(20));
  fleet.platform.SetBehaviour(Behaviour::kRefuses);
  std::this_thread::sleep_for(seconds(1));
  for (int n = 0; n < 3; ++n) {
    fleet.ForEachProcess([](Process* it) { it->Terminate(); });
    fleet.ForEachProcess([](Process* it) { it->WaitForExit(seconds(12)); });
    fleet.StartAll();
    std::this_thread::sleep_for(milliseconds(900));
  }
  const RetryWindow worst = WorstWindow(&fleet, &callers, "app");
  INFO(worst);
  CHECK(worst.further <= worst.allowed);
  CHECK(worst.further > 0);
}

/// Reads the entry's log for one second, since unread lines are dropped.
void DrainLog(Process* entry) {
  for (int n = 0; n < 50; ++n) {
    entry->output();
    std::this_thread::sleep_for(milliseconds(20));
  }
}

/// Returns the arrivals charged for each request according to the log.
std::map<std::string, int> ChargedByRequest(const std::string& log) {
  std::map<std::string, int> charged;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    std::smatch match;
    static const std::regex kGranted(
        "retry-charged request=(\\S+) .*arrivals=(\\d+) .*outcome=granted");
    if (std::regex_search(line, match, kGranted)) {
      charged[match[1]] += std::stoi(match[2]);
    }
  }
  return charged;
}

/// Guards against further arrivals at targets that were not charged to the
/// retry budget.
TEST_CASE("Targets see no more retries than their entry has charged",
          "[retry]") {
  const std::uint64_t seed = GENERATE(1, 2);
  INFO("seed " << seed);
  constexpr Behaviour kBehaviours[] = {
      Behaviour::kHealthy,     Behaviour::kRefuses,     Behaviour::kFails,
      Behaviour::kResets,      Behaviour::kSilent,      Behaviour::kFrozen,
      Behaviour::kLate,        Behaviour::kGarbled,     Behaviour::kWrongLength,
      Behaviour::kExtraAnswer, Behaviour::kBreaksMidway};
  const RandomSource random = MakeSeededRandom(seed);
  PlatformScene scene({.retry_slack = 2000});
  SteadyCallers desk(&scene, {"GET", "/desk/1", 10});
  SteadyCallers menu(&scene, {"POST", "/menu/1", 8});
  SteadyCallers audit(&scene, {.method = "POST",
                               .path = "/audit/1",
                               .per_second = 8,
                               .has_prompt = true});
  SteadyCallers resume(&scene, {.method = "POST",
                                .path = "/resume/1",
                                .per_second = 10,
                                .has_prompt = true});
  SteadyCallers without_prompt(&scene, {"POST", "/audit/2", 8});
  for (int n = 0; n < 100; ++n) {
    ModelWorker& worker = scene.workers[random() % scene.workers.size()];
    worker.SetBehaviour(kBehaviours[random() % std::size(kBehaviours)]);
    scene.Register();  // With the stages that the entry has ordered.
    scene.entry->output();
    std::this_thread::sleep_for(milliseconds(150));
  }
  scene.SetBehaviour(Behaviour::kHealthy);
  const auto callers = {&desk, &menu, &audit, &resume, &without_prompt};
  for (SteadyCallers* it : callers) {
    it->RequestStop();
  }
  DrainLog(&*scene.entry);
  for (SteadyCallers* it : callers) {
    it->Stop();
  }
  DrainLog(&*scene.entry);
  const std::map<std::string, int> charged =
      ChargedByRequest(scene.entry->output());
  std::size_t further = 0;
  for (const std::string service : {"app", "llm"}) {
    for (const auto& [id, n] : FurtherArrivalsByRequest(&scene, service)) {
      further += n;
      const auto it = charged.find(id);
      INFO(id << " of " << service);
      CHECK(static_cast<int>(n) <= (it == charged.end() ? 0 : it->second));
    }
  }
  CHECK(further > 20);
}

}  // namespace
}  // namespace indigolead::testing
