#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tests/platform/support/return_world.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time from the choice of a target to the request's first byte there.
constexpr Duration kUse = milliseconds(100);

/// The operator's two bounds. A target that has left gets no requests after
/// `leaving`, from an entry whose store has been reachable for `contact`.
struct Bounds {
  Duration leaving;
  Duration contact;
};

platform::PlatformSettings SettingsWith(const Bounds& bounds) {
  platform::PlatformSettings settings;
  settings.store_address = "127.0.0.1:1";
  settings.drain_deadline = bounds.leaving;
  settings.configuration_deadline = bounds.leaving;
  settings.contact_time = bounds.contact;
  return settings;
}

/// Simulates a rolling release while one entry loses the store and regains it.
class StoreOutageSimulation {
 public:
  StoreOutageSimulation(std::uint32_t seed, const Bounds& bounds)
      : bounds_(bounds), random_(seed) {
    for (int n = 0; n < kTargets; ++n) {
      table_.Put("servers/i-" + std::to_string(n), "ready");
    }
    entry_ = std::make_unique<FollowingEntry>(&timeline_, &table_,
                                              SettingsWith(bounds),
                                              [this] { return RandomShare(); });
    RunFor(seconds(2) + milliseconds(Draw(0, 2000)));
  }

  /// Makes the store unreachable for `length`. From shortly before its return,
  /// targets leave one after another: some announce it, others are just
  /// removed.
  void LoseStore(StorePath fault, Duration length) {
    entry_->path().SetPath(fault);
    // Open connections go silent at one moment; new connections work at once.
    const TimePoint back =
        timeline_.now + (fault == StorePath::kKeptSilent ? kStep : length);
    RunThrough(back);
  }

  /// As `LoseStore`, but the store also drops live targets. Each of them is
  /// registered again within two seconds of the return of the store.
  void LoseStoreAndLiveTargets(StorePath fault, Duration length) {
    entry_->path().SetPath(fault);
    for (int n = kTargets / 2; n < kTargets; ++n) {
      const std::string key = "servers/i-" + std::to_string(n);
      timeline_.After(length / 2, [this, key] { table_.Remove(key); });
      timeline_.After(length + milliseconds(Draw(0, 1900)),
                      [this, key] { table_.Put(key, "ready"); });
    }
    RunThrough(timeline_.now + length);
  }

  Duration longest_late() const { return longest_late_; }
  int late() const { return late_; }
  int live_dropped() const { return live_dropped_; }
  int left() const { return static_cast<int>(left_at_.size()); }

  Duration DrawLength() { return milliseconds(Draw(300, 9000)); }

 private:
  static constexpr int kTargets = 40;
  static constexpr Duration kStep = milliseconds(5);

  int Draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }
  double RandomShare() {
    return std::uniform_real_distribution<>(0, 1)(random_);
  }

  void RunThrough(TimePoint back) {
    const TimePoint end = back + seconds(6);
    contact_due_at_ = back + bounds_.contact;
    TimePoint next = back - milliseconds(Draw(0, 4000));
    while (timeline_.now < end) {
      const bool was_lost = timeline_.now < back;
      if (timeline_.now >= next) {
        TargetLeaves();
        next = timeline_.now + milliseconds(Draw(300, 1500));
      }
      RunFor(kStep);
      if (was_lost && timeline_.now >= back) {
        entry_->path().SetPath(StorePath::kHealthy);
      }
    }
  }

  void TargetLeaves() {
    const int n = next_target_++;
    if (n >= kTargets / 2) {
      return;  // The other half stays.
    }
    const std::string key = "servers/i-" + std::to_string(n);
    left_at_[key] = timeline_.now;
    if (Draw(0, 1) == 0) {
      table_.Remove(key);
      return;
    }
    table_.Put(key, "leaving");
    timeline_.After(milliseconds(Draw(100, 3000)),
                    [this, key] { table_.Remove(key); });
  }

  void RunFor(Duration length) {
    const TimePoint end = timeline_.now + length;
    while (timeline_.now < end) {
      timeline_.RunFor(kStep);
      Check();
    }
  }

  /// Checks the usable targets. A request that is placed now reaches its target
  /// after `kUse`.
  void Check() {
    const TimePoint reached = timeline_.now + kUse;
    for (const auto& [key, left_at] : left_at_) {
      const bool bound =
          reached > left_at + bounds_.leaving && reached > contact_due_at_;
      if (bound && entry_->usable().count(key) > 0) {
        ++late_;
        longest_late_ = std::max<Duration>(longest_late_, reached - left_at);
      }
    }
    for (int n = kTargets / 2; n < kTargets && entry_; ++n) {
      const std::string key = "servers/i-" + std::to_string(n);
      const bool usable = entry_->usable().count(key) > 0;
      live_dropped_ += started_ && !usable ? 1 : 0;
    }
    started_ = entry_ && !entry_->usable().empty();
  }

  Bounds bounds_;
  std::mt19937 random_;
  Timeline timeline_;
  RegistrationTable table_;
  std::unique_ptr<FollowingEntry> entry_;
  std::map<std::string, TimePoint> left_at_;
  TimePoint contact_due_at_{};  ///< End of the time `contact`.
  int next_target_ = 0;
  int late_ = 0;
  int live_dropped_ = 0;
  bool started_ = false;
  Duration longest_late_{0};
};

Bounds GenerateBounds() {
  return GENERATE(Bounds{seconds(2), seconds(3)},
                  Bounds{seconds(3), seconds(4)},
                  Bounds{seconds(4), seconds(5)});
}

std::string TextOf(Duration length) {
  return std::to_string(
             std::chrono::duration_cast<milliseconds>(length).count()) +
         " ms";
}

/// Guards against requests to targets that left while an entry could not read
/// the store or soon after. Each delay in the chain was within its own limit,
/// but their sum exceeded the operator's bound.
TEST_CASE("A target that left is not used after any kind of store outage") {
  const Bounds bounds = GenerateBounds();
  const StorePath fault =
      GENERATE(StorePath::kRefused, StorePath::kReset, StorePath::kSilent,
               StorePath::kOneWay, StorePath::kSlow, StorePath::kKeptSilent);
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    StoreOutageSimulation simulation(seed, bounds);
    simulation.LoseStore(fault, simulation.DrawLength());
    INFO("seed " << seed << ", fault " << static_cast<int>(fault) << ", bounds "
                 << TextOf(bounds.leaving) << " and " << TextOf(bounds.contact)
                 << ", used after " << TextOf(simulation.longest_late()));
    CHECK(simulation.left() > 0);
    CHECK(simulation.late() == 0);
    CHECK(simulation.live_dropped() == 0);
  }
}

/// Guards against refused callers because live targets that the store dropped
/// during an outage are assumed to be gone.
TEST_CASE("Live targets that the store dropped in an outage stay in use") {
  const StorePath fault = GENERATE(StorePath::kRefused, StorePath::kReset,
                                   StorePath::kSilent, StorePath::kOneWay);
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    StoreOutageSimulation simulation(seed, {seconds(2), seconds(3)});
    simulation.LoseStoreAndLiveTargets(
        fault, seconds(5) + simulation.DrawLength() / 4);
    INFO("seed " << seed << ", fault " << static_cast<int>(fault)
                 << ", used after " << TextOf(simulation.longest_late()));
    CHECK(simulation.live_dropped() == 0);
    CHECK(simulation.late() == 0);
  }
}

}  // namespace
}  // namespace indigolead::testing
