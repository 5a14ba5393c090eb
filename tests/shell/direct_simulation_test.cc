#include "tests/support/direct_simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

namespace indigolead::testing {
namespace {

/// Returns the number in the environment variable, or `otherwise` if unset.
std::uint64_t NumberFrom(const char* variable, std::uint64_t otherwise) {
  const char* text = std::getenv(variable);
  return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

// Guarantees to callers and operators for any order of failures:
// - A request that must not repeat runs at most once. If it ran or still runs,
//   it is not reported as not run or as never going to run. If it was not sent,
//   it is not reported as possibly run.
// - An answer belongs to its request and is complete. The events of a stream
//   arrive in order, each once, and a stream that ends as complete is complete.
// - Each caller gets exactly one final answer, by its deadline.
// - Nothing is sent to a target that the entry knows to be leaving, or for a
//   caller that has disconnected, and no target keeps working for such a
//   caller.
// - Attempts stay within the route's maximum and the retry budget.
// - A target with a limit gets no more calls of any kind than that from the
//   entries that know the limit.
// - No resources are left behind.
// INDIGOLEAD_FIRST_WORLD and INDIGOLEAD_WORLDS select other simulations.
TEST_CASE("The direct path keeps its guarantees in random simulations") {
  const std::uint64_t first = NumberFrom("INDIGOLEAD_FIRST_WORLD", 1);
  const std::uint64_t count = NumberFrom("INDIGOLEAD_WORLDS", 150);
  DirectSimulationReport total;
  int failed_runs = 0;
  for (std::uint64_t seed = first; seed < first + count && failed_runs < 10;
       ++seed) {
    const DirectSimulationReport report = RunDirectSimulation(seed);
    INFO("simulation seed " << seed);
    for (const std::string& it : report.violations) {
      UNSCOPED_INFO(it);
    }
    CHECK(report.violations.empty());
    failed_runs += report.violations.empty() ? 0 : 1;
    total.requests += report.requests;
    total.answered += report.answered;
    total.refused += report.refused;
    total.unknown += report.unknown;
    total.cut += report.cut;
    total.retries += report.retries;
    total.resumed += report.resumed;
  }
  INFO(total.requests << " requests: " << total.answered << " answered, "
                      << total.refused << " refused, " << total.unknown
                      << " unknown, " << total.cut << " cut; " << total.retries
                      << " retries, " << total.resumed << " resumed");
  // The simulations must serve enough requests and reach every outcome.
  CHECK(total.answered > total.requests / 3);
  CHECK(total.refused > 0);
  CHECK(total.unknown > 0);
  CHECK(total.retries > 0);
  CHECK(total.resumed > 0);
}

/// Guards against requests for a removed target that reach the limited target
/// which now has its address, and exceed that target's limit.
TEST_CASE("Calls for a former target at an address count against its limit") {
  for (const std::uint64_t seed :
       {1049, 1255, 1363, 2458, 2583, 2808, 3214, 3537, 3636, 3644}) {
    INFO("simulation seed " << seed);
    const DirectSimulationReport report = RunDirectSimulation(seed);
    for (const std::string& it : report.violations) {
      UNSCOPED_INFO(it);
    }
    CHECK(report.violations.empty());
  }
}

}  // namespace
}  // namespace indigolead::testing
