// Tests that a fleet stays within the operator's retry limit while entries
// restart, join or lose contact, however outdated their view of each other is.
// INDIGOLEAD_FIRST_WORLD and INDIGOLEAD_WORLDS set the first seed and the
// number of random scenarios.

#include "tests/support/retry_fleet.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>

#include "core/base/random.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void CheckRetryLimit(const RetryFleet& fleet) {
  const RetryWindow worst = fleet.Worst();
  INFO(worst);
  CHECK(worst.further <= worst.allowed);
}

/// Guards against entries that gain extra retry allowance by restarting.
TEST_CASE("A fleet that is killed repeatedly stays within the retry limit") {
  RetryFleet::Options options;
  options.entries = GENERATE(1, 4, 5, 30);
  RetryFleet fleet(options);
  fleet.Run(seconds(120));
  fleet.SetFailing(true);
  fleet.Run(seconds(1));
  for (int n = 0; n < 12; ++n) {
    fleet.KillAll();
    fleet.StartAll();
    fleet.Run(milliseconds(2100));
  }
  CheckRetryLimit(fleet);
  CHECK(fleet.granted() > 0);
}

/// Guards against entries that compute their share of the retry allowance from
/// a list that lacks other entries, and so take too much.
TEST_CASE(
    "A fleet that starts with a stale list stays within the retry limit") {
  RetryFleet::Options options;
  options.entries = GENERATE(4, 5, 30, 100);
  RetryFleet fleet(options);
  fleet.Run(seconds(120));
  fleet.SetFailing(true);
  for (std::size_t n = 0; n < fleet.size(); ++n) {
    fleet.Stop(n);
  }
  fleet.Run(seconds(3));
  // Reads return the state in which no entry was registered.
  standins::PlatformFaults faults;
  faults.stale_reads = true;
  fleet.platform().SetFaults(faults);
  fleet.StartAll();
  fleet.Run(seconds(5));
  fleet.platform().SetFaults({});
  fleet.Run(seconds(20));
  CheckRetryLimit(fleet);
  CHECK(fleet.granted() > 0);
}

/// Applies random faults to a fleet. The seed determines the kinds of fault and
/// the load, which can be as low as one request per second.
class FaultScenario {
 public:
  explicit FaultScenario(std::uint64_t seed)
      : random_(MakeSeededRandom(seed)), fleet_(DrawOptions(seed)) {}

  const RetryFleet& Execute() {
    constexpr int kSteps = 60;
    fleet_.Run(seconds(5 + RandomBelow(60)));
    for (int n = 0; n < kSteps; ++n) {
      fleet_.SetFailing(RandomBelow(3) != 0);
      InjectRandomFault();
      fleet_.Run(milliseconds(200 + RandomBelow(3000)));
    }
    return fleet_;
  }

 private:
  std::uint64_t RandomBelow(std::uint64_t n) { return random_() % n; }

  RetryFleet::Options DrawOptions(std::uint64_t seed) {
    RetryFleet::Options options;
    options.seed = seed;
    options.entries = 1 + RandomBelow(6);
    options.requests_per_second = static_cast<double>(1 + RandomBelow(12));
    options.arrivals_of_attempt = static_cast<double>(1 + RandomBelow(2));
    options.retries_per_failure = static_cast<int>(1 + RandomBelow(8));
    enabled_faults_ = 1 + RandomBelow(255);
    return options;
  }

  void InjectRandomFault() {
    const std::size_t entry = RandomBelow(fleet_.size());
    const std::uint64_t kind = RandomBelow(8);
    if (((enabled_faults_ >> kind) & 1) == 0) {
      return;
    }
    switch (kind) {
      case 0:
        fleet_.Kill(entry);
        fleet_.Run(milliseconds(RandomBelow(1000)));
        fleet_.Start(entry);
        break;
      case 1:
        fleet_.KillAll();
        fleet_.Run(milliseconds(RandomBelow(1000)));
        fleet_.StartAll();
        break;
      case 2:
        fleet_.Stop(entry);
        fleet_.Run(milliseconds(2700 + RandomBelow(500)));
        fleet_.Start(entry);
        break;
      case 3:
        for (std::size_t n = 0; n < fleet_.size(); ++n) {
          fleet_.Stop(n);
        }
        fleet_.Run(milliseconds(2700 + RandomBelow(500)));
        fleet_.StartAll();
        break;
      case 4: {
        standins::PlatformFaults faults;
        faults.stale_reads = true;
        fleet_.platform().SetFaults(faults);
        fleet_.Run(milliseconds(RandomBelow(5000)));
        fleet_.platform().SetFaults({});
        break;
      }
      case 5:
        fleet_.SetDisconnected(entry, RandomBelow(2) == 0);
        break;
      case 6:
        fleet_.SetFrozen(entry, RandomBelow(2) == 0);
        break;
      default:
        if (fleet_.size() < 12) {
          fleet_.Add();
        }
    }
  }

  RandomSource random_;
  std::uint64_t enabled_faults_ = 0;  ///< One bit per kind of fault.
  RetryFleet fleet_;
};

std::uint64_t NumberFromEnvironment(const char* variable,
                                    std::uint64_t default_value) {
  const char* text = std::getenv(variable);
  return text ? std::strtoull(text, nullptr, 10) : default_value;
}

/// Guards against sequences of restarts, lost connections and stale lists that
/// let a fleet retry more than its operator allows.
TEST_CASE("Fleets stay within the retry limit under random faults") {
  const std::uint64_t first =
      NumberFromEnvironment("INDIGOLEAD_FIRST_WORLD", 1);
  const std::uint64_t count = NumberFromEnvironment("INDIGOLEAD_WORLDS", 100);
  int granted = 0;
  int violations = 0;
  for (std::uint64_t seed = first; seed < first + count && violations < 10;
       ++seed) {
    INFO("scenario seed " << seed);
    FaultScenario scenario(seed);
    const RetryFleet& fleet = scenario.Execute();
    CheckRetryLimit(fleet);
    const RetryWindow worst = fleet.Worst();
    violations += worst.further > worst.allowed ? 1 : 0;
    granted += fleet.granted();
  }
  CHECK(granted > 0);
}

/// Regression test with the seeds that once exceeded the limit.
TEST_CASE(
    "Fleets stay within the retry limit for seeds that once exceeded it") {
  for (const std::uint64_t seed :
       {223, 240, 346, 468, 482, 506, 508, 656, 788, 817}) {
    INFO("scenario seed " << seed);
    FaultScenario scenario(seed);
    CheckRetryLimit(scenario.Execute());
  }
}

}  // namespace
}  // namespace indigolead::testing
