#include "tests/support/direct_simulation.h"

#include "tests/support/direct_simulation/simulation.h"

namespace indigolead::testing {
namespace direct_simulation {

using std::chrono::milliseconds;

DirectSimulationReport Simulation::Execute() {
  const int readers = 1 + static_cast<int>(RandomBelow(3));
  const int runners = 1 + static_cast<int>(RandomBelow(3));
  const int plain = 1 + static_cast<int>(RandomBelow(3));
  for (int n = 0; n < readers; ++n) {
    AddTarget("llm", EngineRole::kPrefill, "");
  }
  for (int n = 0; n < runners; ++n) {
    AddTarget("llm", EngineRole::kDecode, "");
  }
  for (int n = 0; n < plain; ++n) {
    AddTarget("app", EngineRole::kMixed, "");
  }
  const int entries = 1 + static_cast<int>(RandomBelow(3));
  for (int n = 0; n < entries; ++n) {
    StartEntry(n);
    TickEntry(n);
  }
  const TimePoint start = time_.now();
  for (Duration at{0}; at < kTrafficPeriod;
       at += RandomBetween(Duration{0}, milliseconds(80))) {
    time_.After(at, [this] { NextRequest(); });
  }
  for (Duration at{0}; at < kTrafficPeriod;
       at += RandomBetween(milliseconds(100), milliseconds(1500))) {
    time_.After(at, [this] { InjectFault(); });
  }
  for (Duration at{0}; at < kTrafficPeriod; at += milliseconds(700)) {
    time_.After(at, [this] { StartLimit(); });
  }
  for (Duration at{0}; at < kTrafficPeriod; at += milliseconds(900)) {
    time_.After(at, [this] { StartNotice(); });
  }
  for (Duration at{0}; at < kTrafficPeriod + kQuietPeriod;
       at += milliseconds(100)) {
    for (int n = 0; n < entries; ++n) {
      time_.After(at + RandomBetween(Duration{0}, milliseconds(600)),
                  [this, n] {
                    RunOnEntry(n, entries_[n].process_number,
                               [this, n] { SendTargets(n); });
                  });
    }
  }
  time_.RunUntil(start + kTrafficPeriod + kQuietPeriod);
  for (auto& [number, entry] : entries_) {
    CheckBudget(entry);
    if (entry.dispatcher->open_requests() > 0 ||
        entry.dispatcher->transport().running() > 0) {
      AddViolation("leak: requests or attempts are open at the end");
    }
  }
  for (const auto& [id, observation] : observations_) {
    const bool left = observation.cut || observation.disconnected_at;
    report_.cut += observation.cut ? 1 : 0;
    if (!left && observation.finals != 1) {
      AddViolation("unanswered: " + id);
    }
  }
  entries_.clear();
  return report_;
}

}  // namespace direct_simulation

DirectSimulationReport RunDirectSimulation(
    std::uint64_t seed, const DirectSimulationOptions& options) {
  return direct_simulation::Simulation(seed, options).Execute();
}

}  // namespace indigolead::testing
