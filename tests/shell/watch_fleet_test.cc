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

/// How long a call waits at the store for a change.
constexpr Duration kWait = seconds(4);

/// Entries that all follow the list.
class Fleet {
 public:
  Fleet(std::size_t entries, const WatchPace::Options& pace) {
    for (std::size_t it = 0; it < entries; ++it) {
      // They start apart, as processes do.
      timeline.After(milliseconds(37 * it), [this, pace] { Start(pace); });
    }
    timeline.RunFor(milliseconds(37 * entries) + 2 * kWait);
  }

  /// Makes changes at random times, `per_second` of them on average.
  void Swarm(double per_second, Duration length) {
    const TimePoint end = timeline.now + length;
    while (timeline.now < end) {
      const double gap_s = std::exponential_distribution<>(per_second)(random_);
      timeline.RunFor(milliseconds(static_cast<int>(gap_s * 1000)));
      store.Change();
    }
  }

  /// Calls of one entry in a second while `load` runs.
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
  Duration longest_unseen{0};
  std::size_t told = 0;  ///< Changes, summed over the entries.
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
        longest_unseen = std::max(longest_unseen, timeline.now - changed_at);
        ++told;
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

// A fleet of 100 entries follows 180 engines of which a fifth crash, come back
// and take other roles: eight changes a second for half a minute. Callers gain
// by a store that is left alone; they lose if a change is learned too late.
// Calls of one entry in a second: 2.5 with a fixed gap of 400 ms, 0.6 now.
TEST_CASE("A swarm of changes costs a fleet few calls") {
  constexpr Duration kMost = seconds(2);
  WatchPace::Options pace;
  pace.max_interval = kMost;
  Fleet fleet(100, pace);
  const double rate = fleet.CallRate([&fleet] { fleet.Swarm(8, seconds(30)); });

  SECTION("less than a third of what a fixed gap of 400 ms costs") {
    Fleet fixed(100, {milliseconds(400), milliseconds(400)});
    const double before =
        fixed.CallRate([&fixed] { fixed.Swarm(8, seconds(30)); });
    CHECK(before > 2);
    CHECK(rate < before / 3);
  }
  SECTION("a lone change each second costs no call for each") {
    Fleet calm(100, pace);
    const double calls = calm.CallRate([&calm] { calm.Swarm(1, seconds(60)); });
    CHECK(calls < 0.7);
  }
  SECTION("each entry learns each change, none later than the bound") {
    fleet.timeline.RunFor(2 * kMost);
    CHECK(fleet.told == fleet.store.changed_at.size() * 100);
    CHECK(fleet.longest_unseen <= kMost + kStoreAnswerTime);
  }
  SECTION("after it a single change is learned at once") {
    fleet.timeline.RunFor(seconds(20));
    fleet.longest_unseen = Duration{0};
    fleet.store.Change();
    fleet.timeline.RunFor(seconds(1));
    CHECK(fleet.longest_unseen == kStoreAnswerTime);
    CHECK(fleet.told == fleet.store.changed_at.size() * 100);
  }
  SECTION("and a fleet at rest calls as often as its calls wait") {
    fleet.timeline.RunFor(seconds(20));
    const double idle =
        fleet.CallRate([&fleet] { fleet.timeline.RunFor(seconds(60)); });
    CHECK(idle < 0.26);
  }
}

// The store goes away while a watch rests. The watch must notice it by its next
// call, and nobody may take what it knew for the state of now.
TEST_CASE("A watch that rests does not claim to know of now") {
  Fleet fleet(1, {milliseconds(200), seconds(2)});
  Timeline& timeline = fleet.timeline;
  const PolledWatch& watch = *fleet.watches.front();

  SECTION("nor while its call waits, whose connection may bear nothing") {
    timeline.RunFor(seconds(1));
    const TimePoint heard = watch.heard_at(timeline.now);
    const TimePoint known = watch.known_until(timeline.now);
    timeline.RunFor(milliseconds(600));
    REQUIRE(watch.heard_at(timeline.now) == heard);
    CHECK(watch.known_until(timeline.now) == known);
    CHECK(known < timeline.now - milliseconds(600));
  }
  SECTION("an answer proves what was when it was asked for") {
    timeline.RunFor(2 * kWait);
    const TimePoint heard = watch.heard_at(timeline.now);
    CHECK(heard - watch.known_until(timeline.now) >= kWait);
  }
  SECTION("in a swarm it knows until its latest answer") {
    fleet.Swarm(20, seconds(10));
    fleet.store.Change();
    const TimePoint known = watch.known_until(timeline.now);
    CHECK(known < timeline.now);
    CHECK(timeline.now - known <= seconds(2) + kStoreAnswerTime);
  }
  SECTION("a store that goes away during the rest ends it") {
    fleet.Swarm(20, seconds(10));
    fleet.store.down = true;
    timeline.RunFor(seconds(2) + 2 * kStoreAnswerTime);
    CHECK(fleet.ended == 1);
  }
}

TEST_CASE("The rest of a watch follows how often things change") {
  WatchPace pace({milliseconds(200), milliseconds(1600)});

  SECTION("none after a call that waited") {
    CHECK(pace.DelayAfter(seconds(4), false) == Duration{0});
    CHECK(pace.DelayAfter(seconds(1), true) == Duration{0});
  }
  SECTION("it doubles while every call finds a change, up to its bound") {
    CHECK(pace.DelayAfter(milliseconds(4), true) == milliseconds(196));
    CHECK(pace.DelayAfter(milliseconds(4), true) == milliseconds(396));
    CHECK(pace.DelayAfter(milliseconds(4), true) == milliseconds(796));
    CHECK(pace.DelayAfter(milliseconds(4), true) == milliseconds(1596));
    CHECK(pace.DelayAfter(milliseconds(4), true) == milliseconds(1596));
    SECTION("stays there through a short lull") {
      CHECK(pace.DelayAfter(milliseconds(900), true) == milliseconds(700));
      CHECK(pace.gap() == milliseconds(1600));
    }
    SECTION("and is short again after a quiet time") {
      CHECK(pace.DelayAfter(milliseconds(1700), true) == Duration{0});
      CHECK(pace.gap() == milliseconds(200));
    }
  }
  SECTION("a store that answers at once with nothing makes no tight loop") {
    CHECK(pace.DelayAfter(milliseconds(1), false) == milliseconds(199));
  }
}

}  // namespace
}  // namespace indigolead::testing
