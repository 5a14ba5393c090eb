#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "store/polled_watch.h"
#include "store/watch_pace.h"
#include "tests/support/watch_world.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longest wait of a store call for a change.
constexpr Duration kWait = seconds(4);

/// Entries that all watch one list.
class Fleet {
 public:
  Fleet(std::size_t entries, const WatchPace::Options& pace) {
    for (std::size_t it = 0; it < entries; ++it) {
      // Starts are staggered, like those of real processes.
      timeline.After(milliseconds(37 * it), [this, pace] { Start(pace); });
    }
    timeline.RunFor(milliseconds(37 * entries) + 2 * kWait);
  }

  /// Makes changes at random times, on average `per_second` each second.
  void MakeChanges(double per_second, Duration length) {
    const TimePoint end = timeline.now + length;
    while (timeline.now < end) {
      const double gap_s = std::exponential_distribution<>(per_second)(random_);
      timeline.RunFor(milliseconds(static_cast<int>(gap_s * 1000)));
      store.Change();
    }
  }

  /// Returns the store calls per second and entry while `load` runs.
  double CallRate(const std::function<void()>& load) {
    const std::uint64_t calls = store.calls;
    const TimePoint start = timeline.now;
    load();
    const double s =
        std::chrono::duration<double>(timeline.now - start).count();
    return static_cast<double>(store.calls - calls) / s /
           static_cast<double>(watches.size());
  }

  Timeline timeline;
  ListStore store{&timeline};
  std::vector<std::unique_ptr<PolledWatch>> watches;
  Duration longest_delay{0};
  std::size_t reported_changes = 0;  ///< Sum over the entries.
  std::size_t ended = 0;

 private:
  void Start(const WatchPace::Options& pace) {
    PolledWatch::Hooks hooks;
    hooks.poll = [this](std::uint64_t from, PolledWatch::PollDone done) {
      store.Poll(from, kWait, std::move(done));
    };
    hooks.on_events = [this](const std::vector<WatchEvent>& events) {
      for (const WatchEvent& it : events) {
        const TimePoint changed_at = store.changed_at[it.version - 1];
        longest_delay = std::max(longest_delay, timeline.now - changed_at);
        ++reported_changes;
      }
    };
    hooks.on_end = [this](const Error&) { ++ended; };
    watches.push_back(std::make_unique<PolledWatch>(
        store.changed_at.size(), pace, std::move(hooks),
        [this] { return timeline.now; },
        [this](Duration delay, std::function<void()> task) {
          timeline.After(delay, std::move(task));
        }));
  }

  std::mt19937 random_{20261203};
};

// Guards against overload of the store in a burst of changes, and against
// changes reported too late. The load: 100 entries watch 180 engines, of which
// a fifth crash, restart and change roles, which makes eight changes per second
// for 30 s. Store calls per second and entry: 2.5 with a fixed gap of 400 ms,
// 0.6 with the adaptive gap.
TEST_CASE("A burst of changes causes few store calls") {
  constexpr Duration kMaxGap = seconds(2);
  WatchPace::Options pace;
  pace.max_interval = kMaxGap;
  Fleet fleet(100, pace);
  const double rate =
      fleet.CallRate([&fleet] { fleet.MakeChanges(8, seconds(30)); });

  SECTION("fewer than a third of the calls with a fixed gap of 400 ms") {
    Fleet fixed(100, {milliseconds(400), milliseconds(400)});
    const double before =
        fixed.CallRate([&fixed] { fixed.MakeChanges(8, seconds(30)); });
    CHECK(before > 2);
    CHECK(rate < before / 3);
  }
  SECTION(
      "at one change per second each entry makes less than one call per "
      "change") {
    Fleet quiet(100, pace);
    const double calls =
        quiet.CallRate([&quiet] { quiet.MakeChanges(1, seconds(60)); });
    CHECK(calls < 0.7);
  }
  SECTION("each entry learns of each change within the longest gap") {
    fleet.timeline.RunFor(2 * kMaxGap);
    CHECK(fleet.reported_changes == fleet.store.changed_at.size() * 100);
    CHECK(fleet.longest_delay <= kMaxGap + kStoreAnswerTime);
  }
  SECTION("a single change after the burst is reported at once") {
    fleet.timeline.RunFor(seconds(20));
    fleet.longest_delay = Duration{0};
    fleet.store.Change();
    fleet.timeline.RunFor(seconds(1));
    CHECK(fleet.longest_delay == kStoreAnswerTime);
    CHECK(fleet.reported_changes == fleet.store.changed_at.size() * 100);
  }
  SECTION("each idle entry makes about one call per kWait") {
    fleet.timeline.RunFor(seconds(20));
    const double idle =
        fleet.CallRate([&fleet] { fleet.timeline.RunFor(seconds(60)); });
    CHECK(idle < 0.26);
  }
}

// Guards against stale data that counts as current when the store becomes
// unreachable between two calls of a watch. The watch must detect the outage
// with its next call.
TEST_CASE("known_until of a watch does not advance without an answer") {
  Fleet fleet(1, {milliseconds(200), seconds(2)});
  Timeline& timeline = fleet.timeline;
  const PolledWatch& watch = *fleet.watches.front();

  SECTION("while a call waits, since its connection may be dead") {
    timeline.RunFor(seconds(1));
    const TimePoint heard = watch.heard_at(timeline.now);
    const TimePoint known = watch.known_until(timeline.now);
    timeline.RunFor(milliseconds(600));
    REQUIRE(watch.heard_at(timeline.now) == heard);
    CHECK(watch.known_until(timeline.now) == known);
    CHECK(known < timeline.now - milliseconds(600));
  }
  SECTION("an answer proves the state at the time of its call") {
    timeline.RunFor(2 * kWait);
    const TimePoint heard = watch.heard_at(timeline.now);
    CHECK(heard - watch.known_until(timeline.now) >= kWait);
  }
  SECTION("in a burst it knows the state up to its latest answer") {
    fleet.MakeChanges(20, seconds(10));
    fleet.store.Change();
    const TimePoint known = watch.known_until(timeline.now);
    CHECK(known < timeline.now);
    CHECK(timeline.now - known <= seconds(2) + kStoreAnswerTime);
  }
  SECTION("a store outage between calls ends the watch") {
    fleet.MakeChanges(20, seconds(10));
    fleet.store.down = true;
    timeline.RunFor(seconds(2) + 2 * kStoreAnswerTime);
    CHECK(fleet.ended == 1);
  }
}

TEST_CASE("The gap between calls adapts to the rate of changes") {
  WatchPace pace({milliseconds(200), milliseconds(1600)});

  SECTION("no delay after a call that waited") {
    CHECK(pace.DelayAfter(seconds(4), false) == Duration{0});
    CHECK(pace.DelayAfter(seconds(1), true) == Duration{0});
  }
  SECTION("the gap doubles up to its limit while every call finds a change") {
    CHECK(pace.DelayAfter(milliseconds(4), true) == milliseconds(196));
    CHECK(pace.DelayAfter(milliseconds(4), true) == milliseconds(396));
    CHECK(pace.DelayAfter(milliseconds(4), true) == milliseconds(796));
    CHECK(pace.DelayAfter(milliseconds(4), true) == milliseconds(1596));
    CHECK(pace.DelayAfter(milliseconds(4), true) == milliseconds(1596));
    SECTION("and stays there through a short pause") {
      CHECK(pace.DelayAfter(milliseconds(900), true) == milliseconds(700));
      CHECK(pace.gap() == milliseconds(1600));
    }
    SECTION("and is reset after a longer pause") {
      CHECK(pace.DelayAfter(milliseconds(1700), true) == Duration{0});
      CHECK(pace.gap() == milliseconds(200));
    }
  }
  SECTION("an immediate empty answer does not cause a tight loop") {
    CHECK(pace.DelayAfter(milliseconds(1), false) == milliseconds(199));
  }
}

}  // namespace
}  // namespace indigolead::testing
