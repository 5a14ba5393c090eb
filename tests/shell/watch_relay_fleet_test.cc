#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "entry/watch_relay.h"
#include "store/listing_changes.h"
#include "store/relayed_store.h"
#include "tests/support/watch_world.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDomains = 5;
constexpr Duration kMessageTime = milliseconds(1);
/// Every entry must have applied a change within this time.
constexpr Duration kBound = seconds(5);
constexpr Duration kDirectWait = seconds(5);
constexpr Duration kLeastGap = kBound / 5;
constexpr Duration kAnswerWithin = kBound * 3 / 10;
constexpr char kPrefix[] = "targets/";

/// Entries of several failure domains that watch one list and relay it to each
/// other.
class RelayFleet {
 public:
  /// Simulated fault of one entry.
  enum class Fault {
    kNone,
    kDead,      ///< Killed: sends no requests and no answers.
    kMute,      ///< Its messages from and to other entries are lost.
    kTimedOut,  ///< Its store calls time out.
    kRefused,   ///< Its store calls are refused.
  };

  /// Each entry learns of the others `listed_after` its start.
  explicit RelayFleet(std::size_t entries, Duration listed_after = {}) {
    store.Change();  // A real store is never at version 0.
    std::vector<RelayCandidate> listed;
    for (std::size_t it = 0; it < entries; ++it) {
      nodes_.push_back(std::make_unique<Node>());
      listed.push_back(CandidateOf(it));
    }
    for (std::size_t it = 0; it < entries; ++it) {
      Build(it);
      // Starts are staggered, like those of real processes.
      const Duration start = milliseconds(it % 300);
      timeline.After(start, [this, it] { Start(it); });
      timeline.After(start + listed_after, [this, it, listed] {
        nodes_[it]->relay->OnEntries(listed);
      });
    }
    timeline.RunFor(seconds(10));
  }

  void SetFault(std::size_t entry, Fault entry_fault) {
    nodes_[entry]->entry_fault = entry_fault;
    if (entry_fault == Fault::kDead) {
      nodes_[entry]->watch.reset();
    }
  }

  /// Makes the store refuse list calls of the entry, but no other calls.
  void RefuseLists(std::size_t entry) { nodes_[entry]->lists_refused = true; }

  /// Returns the entry that relays changes to `follower`.
  std::size_t RelayOf(std::size_t follower) const {
    return nodes_[follower]->asked;
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

  /// Returns the store calls per second of all entries while `load` runs.
  double CallRate(const std::function<void()>& load) {
    const std::uint64_t calls = store.calls;
    const TimePoint start = timeline.now;
    load();
    return static_cast<double>(store.calls - calls) /
           std::chrono::duration<double>(timeline.now - start).count();
  }

  /// Returns the number of running entries that lack a change.
  std::size_t CountLagging() const {
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [this](const auto& it) {
          return it->watch && (it->version < store.changed_at.size() ||
                               it->objects != store.objects);
        }));
  }

  /// Returns the longest time since an entry without a fault got an answer.
  Duration LongestSilence() const {
    return LongestSince(&ObjectStore::Watch::heard_at);
  }

  /// Returns the greatest age of the state that an entry without a fault can
  /// prove to know.
  Duration GreatestStateAge() const {
    return LongestSince(&ObjectStore::Watch::known_until);
  }

  Timeline timeline;
  ListStore store{&timeline};
  Duration longest_delay{0};  ///< Over the entries without a fault.
  std::size_t ended = 0;
  std::size_t failures = 0;  ///< Failed requests to relays.

 private:
  struct Node {
    std::unique_ptr<WatchRelay> relay;
    std::unique_ptr<RelayedStore> relayed;
    std::unique_ptr<ObjectStore::Watch> watch;
    Fault entry_fault = Fault::kNone;
    bool lists_refused = false;
    std::uint64_t version = 0;
    std::map<std::string, std::string> objects;  ///< As reported.
    std::size_t asked = 0;  ///< Entry that got the last request.
  };

  using TimeOfWatch = TimePoint (ObjectStore::Watch::*)(TimePoint now) const;

  Duration LongestSince(TimeOfWatch time) const {
    Duration longest{0};
    for (const auto& it : nodes_) {
      if (it->entry_fault == Fault::kNone) {
        const TimePoint since = (it->watch.get()->*time)(timeline.now);
        longest = std::max<Duration>(longest, timeline.now - since);
      }
    }
    return longest;
  }

  static std::string NameOf(std::size_t entry) {
    return "entry-" + std::to_string(entry);
  }
  static RelayCandidate CandidateOf(std::size_t entry) {
    return {NameOf(entry), "domain-" + std::to_string(entry % kDomains),
            std::to_string(entry), entry < 2 * kDomains ? 1.0 : 0.1};
  }
  RunAfter After() {
    return [this](Duration delay, std::function<void()> task) {
      timeline.After(delay, std::move(task));
    };
  }
  Clock Now() {
    return [this] { return timeline.now; };
  }

  void Call(std::size_t entry, std::uint64_t from, Duration wait,
            PolledWatch::PollDone done) {
    const Fault entry_fault = nodes_[entry]->entry_fault;
    if (entry_fault == Fault::kTimedOut || entry_fault == Fault::kRefused) {
      ++store.calls;
      const Duration after = entry_fault == Fault::kTimedOut
                                 ? wait + milliseconds(700)
                                 : kMessageTime;
      timeline.After(after, [done = std::move(done)] {
        done(Error{ErrorCode::kUnavailable, "store.watch", "store", "away"});
      });
      return;
    }
    store.Poll(from, wait, std::move(done));
  }

  void List(std::size_t entry,
            ObjectStore::Callback<ObjectStore::Listing> done) {
    const Node& node = *nodes_[entry];
    if (node.lists_refused || node.entry_fault == Fault::kRefused ||
        node.entry_fault == Fault::kTimedOut) {
      ++store.calls;
      timeline.After(milliseconds(700), [done = std::move(done)] {
        done(Error{ErrorCode::kUnavailable, "store.list", "store", "away"});
      });
      return;
    }
    store.List(std::move(done));
  }

  /// Returns the list as known to the entry.
  ObjectStore::Listing Known(std::size_t entry) const {
    const Node& node = *nodes_[entry];
    ObjectStore::Listing known;
    known.version = std::max(node.version, node.watch->reported_version());
    for (const auto& [key, value] : node.objects) {
      known.objects.push_back({key, value, known.version});
    }
    return known;
  }

  bool IsDelivered(std::size_t from, std::size_t to) const {
    const auto can_send = [this](std::size_t entry) {
      const Fault entry_fault = nodes_[entry]->entry_fault;
      return entry_fault != Fault::kDead && entry_fault != Fault::kMute;
    };
    return can_send(from) && can_send(to);
  }

  void Build(std::size_t entry) {
    WatchRelay::Options options;
    options.choice.own_name = NameOf(entry);
    options.choice.failure_domain = CandidateOf(entry).failure_domain;
    options.feed.min_interval = kLeastGap;
    options.feed.answer_within = kAnswerWithin;
    options.feed.overdue_after = kBound / 20;
    options.prefixes = {kPrefix};
    WatchRelay::Hooks hooks;
    hooks.call = [this, entry](const std::string&, std::uint64_t from,
                               Duration wait, PolledWatch::PollDone done) {
      Call(entry, from, wait, std::move(done));
    };
    hooks.list = [this, entry](
                     const std::string&,
                     ObjectStore::Callback<ObjectStore::Listing> done) {
      List(entry, std::move(done));
    };
    hooks.known = [this, entry](const std::string&) { return Known(entry); };
    hooks.ask = [this, entry](const std::string& address, std::uint64_t number,
                              const std::string& prefix, std::uint64_t from) {
      const std::size_t to = std::stoul(address);
      nodes_[entry]->asked = to;
      timeline.After(kMessageTime, [this, entry, to, number, prefix, from] {
        if (IsDelivered(entry, to)) {
          nodes_[to]->relay->OnQuery(std::to_string(entry), number, prefix,
                                     from);
        }
      });
      return true;
    };
    hooks.answer = [this, entry](const std::string& asker, std::uint64_t number,
                                 const Result<WatchBatch>& answer) {
      const std::size_t to = std::stoul(asker);
      timeline.After(kMessageTime, [this, entry, to, number, answer] {
        if (IsDelivered(entry, to)) {
          nodes_[to]->relay->OnAnswer(number, answer);
        }
      });
    };
    Node& node = *nodes_[entry];
    node.asked = entry;
    node.relay =
        std::make_unique<WatchRelay>(options, std::move(hooks), Now(), After(),
                                     MakeNullEventLog(), &metrics_);
    RelayedStore::Options store_options;
    store_options.watch_pace.max_interval = kBound / 2;
    store_options.answer_within = kAnswerWithin + kBound / 10;
    RelayedStore::Hooks store_hooks;
    store_hooks.ask = [&node](const std::string& prefix, std::uint64_t from,
                              PolledWatch::PollDone done) {
      return node.relay->Ask(prefix, from, std::move(done));
    };
    store_hooks.call = [this, entry](const std::string&, std::uint64_t from,
                                     WaitMode wait,
                                     PolledWatch::PollDone done) {
      Call(entry, from, wait == WaitMode::kWait ? kDirectWait : Duration{0},
           std::move(done));
    };
    store_hooks.on_failed = [this, &node](const std::string& relay,
                                          const Error& error) {
      ++failures;
      node.relay->OnFailed(relay, error);
    };
    node.relayed = std::make_unique<RelayedStore>(
        nullptr, store_options, std::move(store_hooks), Now(), After());
  }

  void Start(std::size_t entry) {
    Node& node = *nodes_[entry];
    node.version = store.changed_at.size();
    node.objects = store.objects;
    node.watch = node.relayed->StartWatch(
        kPrefix, node.version,
        [this, &node](const std::vector<WatchEvent>& events) {
          const std::uint64_t known = node.version;
          for (const WatchEvent& it : events) {
            if (it.version > known) {
              Take(&node, it);
            }
          }
        },
        [this](const Error&) { ++ended; });
  }

  void Take(Node* node, const WatchEvent& event) {
    const TimePoint changed_at = store.changed_at[event.version - 1];
    if (node->entry_fault == Fault::kNone) {
      longest_delay = std::max(longest_delay, timeline.now - changed_at);
    }
    node->version = event.version;
    if (event.value) {
      node->objects[event.key] = *event.value;
    } else {
      node->objects.erase(event.key);
    }
  }

  MetricsRegistry metrics_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::mt19937 random_{20261203};
};

using Fault = RelayFleet::Fault;

// Guards against overload of the store by a large fleet in which each entry
// watches every registration, and against changes reported too late.
TEST_CASE("Store calls grow with the failure domains, not with the entries") {
  for (const std::size_t entries : {50, 100, 300, 1000}) {
    INFO(entries << " entries");
    RelayFleet fleet(entries);
    const double busy =
        fleet.CallRate([&fleet] { fleet.MakeChanges(8, seconds(30)); });
    const double most = kDomains * (seconds(1) / kLeastGap);
    CHECK(busy <= most + 0.5);
    fleet.timeline.RunFor(seconds(10));
    const double idle =
        fleet.CallRate([&fleet] { fleet.timeline.RunFor(seconds(60)); });
    CHECK(idle <= most);
    CHECK(fleet.longest_delay <= kLeastGap + milliseconds(20));
    CHECK(fleet.LongestSilence() <= kAnswerWithin + milliseconds(20));
    // An answer proves the state at the time of the request, minus the lag of
    // the relay.
    CHECK(fleet.GreatestStateAge() <= 2 * kAnswerWithin + milliseconds(320));
    CHECK(fleet.CountLagging() == 0);
    CHECK(fleet.ended == 0);
  }
}

// Guards against hundreds of store calls in the first second, when no entry
// knows the others yet.
TEST_CASE("Entries that start together do not all call the store") {
  RelayFleet fleet(300, milliseconds(200));
  CHECK(fleet.store.calls <= 10 * kDomains);
  fleet.MakeChanges(2, seconds(5));
  fleet.timeline.RunFor(seconds(2));
  CHECK(fleet.CountLagging() == 0);

  SECTION("but do so if they do not learn of the others") {
    RelayFleet alone(20, seconds(60));
    CHECK(alone.store.calls >= 20);
    alone.store.Change();
    alone.timeline.RunFor(seconds(1));
    CHECK(alone.CountLagging() == 0);
  }
}

TEST_CASE("The entries of a small failure domain watch the store directly") {
  RelayFleet fleet(7 * kDomains);
  const double idle =
      fleet.CallRate([&fleet] { fleet.timeline.RunFor(seconds(60)); });
  CHECK(idle > 6);
  CHECK(fleet.RelayOf(20) == 20);
}

TEST_CASE("Changes arrive in time although the relaying entry fails") {
  const Fault entry_fault =
      GENERATE(Fault::kDead, Fault::kMute, Fault::kTimedOut, Fault::kRefused);
  constexpr std::size_t kFollower = 42;
  RelayFleet fleet(100);
  fleet.MakeChanges(2, seconds(10));
  const std::size_t relay = fleet.RelayOf(kFollower);
  REQUIRE(relay != kFollower);
  INFO("fault " << static_cast<int>(entry_fault) << " of entry " << relay);
  fleet.SetFault(relay, entry_fault);
  fleet.MakeChanges(2, seconds(20));
  // The faulty entry gets changes from others once its own calls have failed.
  fleet.timeline.RunFor(seconds(10));

  CHECK(fleet.longest_delay <= kBound);
  CHECK(fleet.GreatestStateAge() < kBound);
  CHECK(fleet.CountLagging() == 0);
  CHECK(fleet.ended == 0);
  CHECK(fleet.RelayOf(kFollower) != relay);

  SECTION("and store calls are few again") {
    const double calls =
        fleet.CallRate([&fleet] { fleet.MakeChanges(2, seconds(20)); });
    CHECK(calls <= 2 * kDomains);
  }
  SECTION("also if the next relay fails as well") {
    fleet.SetFault(fleet.RelayOf(kFollower), entry_fault);
    fleet.MakeChanges(2, seconds(10));
    fleet.timeline.RunFor(seconds(10));
    CHECK(fleet.longest_delay <= kBound);
    CHECK(fleet.CountLagging() <= 2);  // The two faulty entries.
  }
}

TEST_CASE("Entries detect a store outage through their relay") {
  RelayFleet fleet(100);
  fleet.store.down = true;
  fleet.timeline.RunFor(seconds(10));
  CHECK(fleet.ended == 100);
}

// Guards against calls that wait at a store which has compacted the changes
// they ask for: changes stayed unseen until the wait of such a call ended.
TEST_CASE("Entries detect at once that the store has compacted its changes") {
  RelayFleet fleet(100);
  fleet.timeline.RunFor(milliseconds(700));

  SECTION("and get the changes that they missed") {
    fleet.store.Compact();
    fleet.timeline.RunFor(kAnswerWithin + milliseconds(500));
    CHECK(fleet.CountLagging() == 0);
    CHECK(fleet.ended == 0);
  }
  SECTION("or their watches end if the relays cannot list") {
    for (std::size_t it = 0; it < 100; ++it) {
      fleet.RefuseLists(it);
    }
    fleet.store.Compact();
    fleet.timeline.RunFor(kAnswerWithin + milliseconds(500));
    CHECK(fleet.ended == 100);  // The owner of an ended watch lists again.
  }
}

/// One way in which a store compacts its changes.
struct Compaction {
  ListStore::Cut cut = ListStore::Cut::kBroken;
  /// Times before and after compaction in which calls get no answer.
  Duration mute_before{0};
  Duration mute_after{0};
  /// Entries change their relay once, since it cannot learn of the compaction
  /// in time.
  bool relay_changes = false;
};

// Guards against hundreds of full list calls at once when the store compacts
// its changes.
TEST_CASE("After compaction the store is listed once per failure domain") {
  const auto compaction_case = GENERATE(
      Compaction{ListStore::Cut::kBroken, {}, {}, false},
      Compaction{ListStore::Cut::kSilent, {}, {}, false},
      Compaction{ListStore::Cut::kBroken, {}, milliseconds(100), false},
      Compaction{ListStore::Cut::kBroken, seconds(1), {}, true},
      Compaction{ListStore::Cut::kSilent, seconds(1), {}, true});
  INFO("cut off silently: " << (compaction_case.cut == ListStore::Cut::kSilent)
                            << ", mute before and after, ns: "
                            << compaction_case.mute_before.count() << ", "
                            << compaction_case.mute_after.count());
  for (const std::size_t entries : {50, 100, 300, 1000}) {
    INFO(entries << " entries");
    const std::size_t relays =
        kDomains * (compaction_case.relay_changes ? 2 : 1);
    const std::size_t lone_calls = compaction_case.relay_changes ? entries : 0;
    RelayFleet fleet(entries);
    for (const int unseen : {1, 40, 0}) {
      INFO(unseen << " changes unseen");
      fleet.MakeChanges(8, seconds(5));
      fleet.timeline.RunFor(milliseconds(1500));  // Calls are waiting by then.
      const std::uint64_t lists = fleet.store.lists;
      const std::uint64_t calls = fleet.store.calls;
      fleet.longest_delay = Duration{0};
      fleet.store.mute = compaction_case.mute_before > Duration{0};
      fleet.timeline.RunFor(compaction_case.mute_before);
      fleet.store.Compact(unseen, compaction_case.cut);
      fleet.store.mute = compaction_case.mute_after > Duration{0};
      fleet.timeline.RunFor(compaction_case.mute_after);
      fleet.store.mute = false;
      fleet.timeline.RunFor(kAnswerWithin + milliseconds(500));
      CHECK(fleet.CountLagging() == 0);
      CHECK(fleet.longest_delay <= kAnswerWithin + milliseconds(500));
      CHECK(fleet.store.lists - lists <= relays);
      CHECK(fleet.store.calls - calls <= 6 * relays + lone_calls);
    }
    fleet.MakeChanges(8, seconds(5));
    fleet.timeline.RunFor(seconds(2));
    CHECK(fleet.CountLagging() == 0);
    CHECK(fleet.ended == 0);
  }
}

// Guards against hundreds of store calls when the calls of relays fail: each
// entry would call the store itself.
TEST_CASE("Only the relay repeats its failed store call") {
  RelayFleet fleet(300);
  fleet.timeline.RunFor(milliseconds(700));
  const std::uint64_t calls = fleet.store.calls;
  fleet.store.FailWaiting();
  fleet.timeline.RunFor(milliseconds(500));
  CHECK(fleet.store.calls - calls <= 2 * kDomains);
  fleet.store.Change();
  fleet.timeline.RunFor(seconds(2));
  CHECK(fleet.CountLagging() == 0);
  CHECK(fleet.ended == 0);
}

// Guards against a relay that answers all renewed requests with an error, since
// the store compacted changes while the relay got no requests.
TEST_CASE("A relay that was idle resumes from the requested version") {
  RelayFleet fleet(100);
  constexpr std::size_t kFollower = 42;
  fleet.MakeChanges(2, seconds(5));
  const std::size_t relay = fleet.RelayOf(kFollower);
  fleet.SetFault(relay, Fault::kTimedOut);
  fleet.timeline.RunFor(seconds(3));
  fleet.SetFault(relay, Fault::kNone);
  REQUIRE(fleet.RelayOf(kFollower) != relay);
  fleet.store.Compact();
  fleet.MakeChanges(2, seconds(5));
  const std::uint64_t lists = fleet.store.lists;
  const std::uint64_t calls = fleet.store.calls;
  fleet.failures = 0;
  fleet.MakeChanges(2, seconds(15));
  CHECK(fleet.failures == 0);
  CHECK(fleet.RelayOf(kFollower) == relay);
  CHECK(fleet.store.lists == lists);
  CHECK(fleet.store.calls - calls <= kDomains * (seconds(15) / kLeastGap + 1));
  CHECK(fleet.ended <= 1);  // The entry that was cut off.
}

// Guards against a late entry that makes the relay discard the changes which
// other entries need.
TEST_CASE("Entries that lag get all changes that they lack") {
  Timeline timeline;
  ListStore store(&timeline);
  for (int n = 0; n < 50; ++n) {
    store.Change();
  }
  ObjectStore::Listing known = store.CurrentListing();
  WatchFeed::Hooks hooks;
  hooks.poll = [&store](std::uint64_t from, Duration wait,
                        PolledWatch::PollDone done) {
    store.Poll(from, wait, std::move(done));
  };
  hooks.list = [&store](ObjectStore::Callback<ObjectStore::Listing> done) {
    store.List(std::move(done));
  };
  hooks.known = [&known] { return known; };
  WatchFeed feed(
      {kLeastGap, kAnswerWithin, kBound / 20, 4096}, std::move(hooks),
      [&timeline] { return timeline.now; },
      [&timeline](Duration delay, std::function<void()> task) {
        timeline.After(delay, std::move(task));
      });
  std::vector<std::size_t> told;
  const auto ask = [&](std::uint64_t from) {
    feed.Ask(from, [&told](const Result<WatchBatch>& answer) {
      REQUIRE(IsOk(answer));
      CHECK(ValueOf(answer).version == 50);
      told.push_back(ValueOf(answer).events.size());
    });
  };
  ask(45);
  timeline.RunFor(seconds(3));
  CHECK(told == std::vector<std::size_t>{5});
  ask(20);
  ask(48);
  timeline.RunFor(seconds(3));
  CHECK(told == std::vector<std::size_t>{5, 30, 2});

  SECTION("an entry that is up to date gets no changes") {
    ask(50);
    timeline.RunFor(seconds(3));
    CHECK(told.back() == 0);
  }
  SECTION("but compacted changes are known only by their outcome") {
    for (int n = 0; n < 5; ++n) {
      store.Change();
    }
    store.Compact();
    std::vector<std::string> answers;
    const auto ask_from = [&](std::uint64_t from) {
      feed.Ask(from, [&answers](const Result<WatchBatch>& answer) {
        answers.push_back(IsOk(answer)
                              ? std::to_string(ValueOf(answer).events.size())
                              : ToString(ErrorOf(answer)));
      });
    };
    ask_from(50);
    ask_from(53);  // An entry that read the store itself.
    timeline.RunFor(seconds(3));
    REQUIRE(answers.size() == 2);
    const auto changes = DiffListings(known, store.CurrentListing());
    CHECK(answers[0] == std::to_string(changes.size()));
    CHECK_THAT(answers[1],
               Catch::Matchers::Contains("known only as a net difference"));
  }
}

}  // namespace
}  // namespace indigolead::testing
