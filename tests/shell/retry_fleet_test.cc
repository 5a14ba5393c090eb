// The operator's bound on repeats over fleets that change, whatever the entries
// know of each other. More worlds by hand: INDIGOLEAD_FIRST_WORLD and
// INDIGOLEAD_WORLDS.

#include "tests/support/retry_fleet.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>

#include "core/base/random.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void CheckRule(const RetryFleet& fleet) {
  const RetryWindow worst = fleet.Worst();
  INFO(worst);
  CHECK(worst.further <= worst.allowed);
}

/// Guards against a process that is allowed repeats for having started.
TEST_CASE("A fleet that is killed again and again keeps the bound on repeats") {
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
  CheckRule(fleet);
  CHECK(fleet.granted() > 0);
}

/// Guards against parts of the allowance by a list which lacks entries.
TEST_CASE("A fleet that starts together on an old list keeps the bound") {
  RetryFleet::Options options;
  options.entries = GENERATE(4, 5, 30, 100);
  RetryFleet fleet(options);
  fleet.Run(seconds(120));
  fleet.SetFailing(true);
  for (std::size_t n = 0; n < fleet.size(); ++n) {
    fleet.Stop(n);
  }
  fleet.Run(seconds(3));
  // Lists are of the moment in which nobody was registered.
  standins::PlatformFaults faults;
  faults.stale_reads = true;
  fleet.platform().SetFaults(faults);
  fleet.StartAll();
  fleet.Run(seconds(5));
  fleet.platform().SetFaults({});
  fleet.Run(seconds(20));
  CheckRule(fleet);
  CHECK(fleet.granted() > 0);
}

/// Draws what happens to a fleet. Which kinds of trouble there are differs by
/// the seed, and so does the load, down to a request a second.
class World {
 public:
  explicit World(std::uint64_t seed)
      : random_(MakeSeededRandom(seed)), fleet_(Draw(seed)) {}

  const RetryFleet& Play() {
    constexpr int kSteps = 60;
    fleet_.Run(seconds(5 + Below(60)));
    for (int n = 0; n < kSteps; ++n) {
      fleet_.SetFailing(Below(3) != 0);
      Next();
      fleet_.Run(milliseconds(200 + Below(3000)));
    }
    return fleet_;
  }

 private:
  std::uint64_t Below(std::uint64_t n) { return random_() % n; }

  RetryFleet::Options Draw(std::uint64_t seed) {
    RetryFleet::Options options;
    options.seed = seed;
    options.entries = 1 + Below(6);
    options.requests_per_second = static_cast<double>(1 + Below(12));
    options.arrivals_of_attempt = static_cast<double>(1 + Below(2));
    options.wishes = static_cast<int>(1 + Below(8));
    kinds_ = 1 + Below(255);
    return options;
  }

  void Next() {
    const std::size_t entry = Below(fleet_.size());
    const std::uint64_t kind = Below(8);
    if (((kinds_ >> kind) & 1) == 0) {
      return;
    }
    switch (kind) {
      case 0:
        fleet_.Kill(entry);
        fleet_.Run(milliseconds(Below(1000)));
        fleet_.Start(entry);
        break;
      case 1:
        fleet_.KillAll();
        fleet_.Run(milliseconds(Below(1000)));
        fleet_.StartAll();
        break;
      case 2:
        fleet_.Stop(entry);
        fleet_.Run(milliseconds(2700 + Below(500)));
        fleet_.Start(entry);
        break;
      case 3:
        for (std::size_t n = 0; n < fleet_.size(); ++n) {
          fleet_.Stop(n);
        }
        fleet_.Run(milliseconds(2700 + Below(500)));
        fleet_.StartAll();
        break;
      case 4: {
        standins::PlatformFaults faults;
        faults.stale_reads = true;
        fleet_.platform().SetFaults(faults);
        fleet_.Run(milliseconds(Below(5000)));
        fleet_.platform().SetFaults({});
        break;
      }
      case 5:
        fleet_.SetCut(entry, Below(2) == 0);
        break;
      case 6:
        fleet_.SetFrozen(entry, Below(2) == 0);
        break;
      default:
        if (fleet_.size() < 12) {
          fleet_.Add();
        }
    }
  }

  RandomSource random_;
  std::uint64_t kinds_ = 0;  ///< A bit for each kind of trouble.
  RetryFleet fleet_;
};

std::uint64_t NumberFrom(const char* variable, std::uint64_t otherwise) {
  const char* text = std::getenv(variable);
  return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

/// Guards against any series of restarts, cuts and old lists that lets a fleet
/// repeat more than its operator allows.
TEST_CASE("Fleets in random worlds keep the bound on repeats") {
  const std::uint64_t first = NumberFrom("INDIGOLEAD_FIRST_WORLD", 1);
  const std::uint64_t count = NumberFrom("INDIGOLEAD_WORLDS", 100);
  int granted = 0;
  int broken = 0;
  for (std::uint64_t seed = first; seed < first + count && broken < 10;
       ++seed) {
    INFO("world " << seed);
    World world(seed);
    const RetryFleet& fleet = world.Play();
    CheckRule(fleet);
    const RetryWindow worst = fleet.Worst();
    broken += worst.further > worst.allowed ? 1 : 0;
    granted += fleet.granted();
  }
  CHECK(granted > 0);
}

/// Guards against the same in worlds in which it was seen.
TEST_CASE("Fleets in worlds that broke the bound on repeats keep it") {
  for (const std::uint64_t seed :
       {223, 240, 346, 468, 482, 506, 508, 656, 788, 817}) {
    INFO("world " << seed);
    World world(seed);
    CheckRule(world.Play());
  }
}

}  // namespace
}  // namespace indigolead::testing
