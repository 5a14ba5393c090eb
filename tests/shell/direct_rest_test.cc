// Simulations with random faults in which targets ask for a cooldown or
// announce that they are leaving.

#include <catch2/catch.hpp>

#include "tests/support/direct_simulation.h"

namespace indigolead::testing {
namespace {

constexpr std::uint64_t kSimulations = 150;

/// Runs the simulations and checks that none violates a guarantee. Returns the
/// summed counts.
DirectSimulationReport RunSimulations(const DirectSimulationOptions& options) {
  DirectSimulationReport total;
  int failed_runs = 0;
  for (std::uint64_t seed = 1; seed <= kSimulations && failed_runs < 10;
       ++seed) {
    const DirectSimulationReport report = RunDirectSimulation(seed, options);
    INFO("simulation seed " << seed);
    for (const std::string& it : report.violations) {
      UNSCOPED_INFO(it);
    }
    CHECK(report.violations.empty());
    failed_runs += report.violations.empty() ? 0 : 1;
    total.requests += report.requests;
    total.answered += report.answered;
    total.cooldowns += report.cooldowns;
    total.leaving += report.leaving;
  }
  return total;
}

/// Guards against calls of any kind to a target that has asked the entry for
/// a cooldown, whether they were decided before or after it asked.
TEST_CASE("A target at rest gets no calls in random simulations") {
  const DirectSimulationReport total = RunSimulations({.cooldowns = true});
  CHECK(total.cooldowns > 300);
  CHECK(total.answered > total.requests / 4);
}

/// Guards against requests to a target that has announced in an answer that it
/// is leaving, whatever the list of targets says.
TEST_CASE(
    "A target that announces leaving gets no requests in random simulations") {
  const DirectSimulationReport total = RunSimulations({.leaving = true});
  CHECK(total.leaving > 300);
  CHECK(total.answered > total.requests / 4);
}

}  // namespace
}  // namespace indigolead::testing
