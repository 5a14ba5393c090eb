#include "entry/roster_keeper.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/fake_object_store.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Entries that register in one store, with a manual clock.
class Fixture {
 public:
  struct Entry {
    Entry(Fixture* fixture, const std::string& name)
        : store(&fixture->io, &fixture->platform, seconds(3)),
          keeper(
              &store, Options(name), Hooks(),
              [fixture] { return fixture->now; }, MakeNullEventLog()) {}

    static RosterKeeper::Options Options(const std::string& name) {
      RosterKeeper::Options options;
      options.roster.own_name = name;
      options.prefix = "entries/";
      options.incarnation = "1";
      options.relay = {name, "bilbao", "10.0.0.1:7380", 0.5};
      return options;
    }

    RosterKeeper::Hooks Hooks() {
      RosterKeeper::Hooks hooks;
      hooks.on_count = [this](std::size_t n) { counts.push_back(n); };
      hooks.on_view = [this](const EntryView& it) { view = it; };
      hooks.on_relays = [this](const std::vector<RelayCandidate>& it) {
        relays = it;
      };
      hooks.jitter = [] { return 0.5; };
      return hooks;
    }

    std::vector<std::size_t> counts;
    EntryView view;
    std::vector<RelayCandidate> relays;
    FakeObjectStore store;
    RosterKeeper keeper;
  };

  Entry& Add(const std::string& name) {
    entries.push_back(std::make_unique<Entry>(this, name));
    return *entries.back();
  }

  void Run(Duration length) {
    const TimePoint end = now + length;
    while (now < end) {
      now += milliseconds(200);
      for (const auto& it : entries) {
        it->keeper.Tick();
      }
      io.restart();
      io.poll();
    }
  }

  std::uint64_t Calls(const std::string& kind) const {
    const auto it = platform.calls().find(kind);
    return it == platform.calls().end() ? 0 : it->second;
  }

  boost::asio::io_context io;
  FakePlatform platform{&io};
  TimePoint now{seconds(1000)};
  std::vector<std::unique_ptr<Entry>> entries;
};

TEST_CASE("Entries count each other") {
  Fixture fixture;
  Fixture::Entry& first = fixture.Add("front-1");
  fixture.Add("front-2");
  fixture.Run(seconds(5));
  CHECK(first.counts == std::vector<std::size_t>{2});

  SECTION("they learn how to ask each other for the store's changes") {
    CHECK(first.relays == std::vector<RelayCandidate>{
                              {"front-1", "bilbao", "10.0.0.1:7380", 0.5},
                              {"front-2", "bilbao", "10.0.0.1:7380", 0.5}});
  }
  SECTION("an entry that starts later is counted within the list interval") {
    fixture.Add("front-3");
    fixture.Run(seconds(25));
    CHECK(first.counts.back() == 3);
  }
  SECTION("an entry that stops is gone from the next list on") {
    fixture.entries[1]->keeper.Stop();
    fixture.Run(seconds(25));
    CHECK(first.counts.back() == 1);
  }
  SECTION("a killed entry expires, and its registration is deleted") {
    fixture.entries.pop_back();
    fixture.Run(seconds(100));
    CHECK(first.counts.back() == 2);
    fixture.Run(seconds(100));
    CHECK(first.counts.back() == 1);
    CHECK_FALSE(fixture.platform.Peek("entries/front-2"));
  }
  SECTION("a process of the same name takes over the registration") {
    fixture.entries.pop_back();
    fixture.Add("front-2");
    fixture.Run(seconds(400));
    CHECK(first.counts.back() == 2);
    CHECK(fixture.platform.Peek("entries/front-2"));
  }
  SECTION("the number of calls is bounded") {
    const auto puts = fixture.Calls("put");
    const auto lists = fixture.Calls("list");
    fixture.Run(seconds(600));
    CHECK(fixture.Calls("put") - puts <= 2 * 600 / 30);
    CHECK(fixture.Calls("list") - lists <= 2 * 600 / 10);
  }
}

/// Guards against renewals that grow with the fleet; each renewal is a write.
TEST_CASE("A large fleet renews no more often than one of 200 entries") {
  // The rate of 200 entries, each renewed after half to all of the interval.
  constexpr double kMostWrites = 200 / 30.0;
  for (const std::size_t entries : {30, 100, 200, 300}) {
    INFO(entries << " entries");
    Fixture fixture;
    for (std::size_t n = 0; n < entries; ++n) {
      fixture.Add("front-" + std::to_string(n));
    }
    fixture.Run(seconds(20));
    const auto puts = fixture.Calls("put");
    const auto lists = fixture.Calls("list");
    fixture.Run(seconds(240));
    const auto n = static_cast<double>(entries);
    CHECK(static_cast<double>(fixture.Calls("put") - puts) <=
          240 * kMostWrites);
    CHECK(static_cast<double>(fixture.Calls("list") - lists) <= n * 240 / 10);
    for (const auto& it : fixture.entries) {
      CHECK(it->counts == std::vector<std::size_t>{entries});
    }
  }
}

/// Guards against entries that count too few others, because the others still
/// renew at the slower rate of the larger fleet.
TEST_CASE("A shrinking fleet still counts every live entry") {
  Fixture fixture;
  for (int n = 0; n < 400; ++n) {
    fixture.Add("front-" + std::to_string(n));
  }
  fixture.Run(seconds(130));
  while (fixture.entries.size() > 10) {
    fixture.entries.back()->keeper.Stop();
    fixture.Run(milliseconds(200));
    fixture.entries.pop_back();
  }
  std::size_t least = 400;
  for (int n = 0; n < 600; ++n) {
    fixture.Run(seconds(1));
    for (const auto& it : fixture.entries) {
      least = std::min(least, it->counts.back());
    }
  }
  CHECK(least == 10);
}

/// Guards against every entry listing all entries each second for as long as a
/// start lasts.
TEST_CASE("Entries that start together list each other a few times") {
  constexpr std::size_t kEntries = 100;
  Fixture fixture;
  for (std::size_t n = 0; n < kEntries; ++n) {
    fixture.Add("front-" + std::to_string(n));
  }
  fixture.Run(seconds(10));
  CHECK(fixture.Calls("list") <= 4 * kEntries);

  SECTION("they find an entry that starts a little later") {
    fixture.Add("front-late");
    fixture.Run(seconds(20));
    for (const auto& it : fixture.entries) {
      CHECK(it->counts.back() == kEntries + 1);
    }
  }
}

// The store performs a renewal but its answer is lost, or the store is
// unreachable for a while. The entry must keep renewing, and no other may treat
// it as gone.
TEST_CASE("A registration survives lost answers and a store outage") {
  Fixture fixture;
  Fixture::Entry& first = fixture.Add("front-1");
  fixture.Add("front-2");
  fixture.Run(seconds(5));
  standins::PlatformFaults faults;

  SECTION("answers lost") {
    faults.lose_answers = 3;
    fixture.platform.SetFaults(faults);
    fixture.Run(seconds(400));
    CHECK(first.counts == std::vector<std::size_t>{2});
  }
  SECTION("an outage longer than a registration's lifetime") {
    fixture.platform.SetDown(true);
    fixture.Run(seconds(300));
    fixture.platform.SetDown(false);
    fixture.Run(seconds(60));
    CHECK(first.counts.back() == 2);
    CHECK(fixture.platform.Peek("entries/front-1"));
    CHECK(fixture.platform.Peek("entries/front-2"));
  }
}

TEST_CASE("Frequent listing keeps the list of entries current") {
  Fixture fixture;
  Fixture::Entry& first = fixture.Add("front-1");
  fixture.Run(seconds(30));
  CHECK(first.view.names == std::vector<std::string>{"front-1"});
  CHECK(first.view.registered_at);

  SECTION("a new entry is listed within two seconds and a call") {
    first.keeper.SetFrequentListing(true);
    fixture.Add("front-2");
    fixture.Run(milliseconds(2600));
    CHECK(first.view.names.size() == 2);
  }
  SECTION("the entries are listed at once when frequent listing starts") {
    const TimePoint before = fixture.now;
    first.keeper.SetFrequentListing(true);
    fixture.Run(milliseconds(600));
    CHECK(first.view.listed_at >= before);
  }
  SECTION("a planned stop withdraws the entry") {
    first.keeper.Stop();
    CHECK_FALSE(first.view.registered_at);
  }
  SECTION("the number of calls is bounded once frequent listing ends") {
    first.keeper.SetFrequentListing(true);
    fixture.Run(seconds(10));
    first.keeper.SetFrequentListing(false);
    fixture.Run(seconds(20));
    const auto lists = fixture.Calls("list");
    fixture.Run(seconds(600));
    CHECK(fixture.Calls("list") - lists <= 600 / 10);
  }
}

/// Guards against an entry that keeps using its share of a divided resource
/// after the others treat it as gone.
TEST_CASE(
    "An entry whose registration is not renewed leaves before it expires") {
  Fixture fixture;
  Fixture::Entry& entry = fixture.Add("a");
  fixture.Run(seconds(90));
  const auto registered_at = entry.view.registered_at;
  REQUIRE(registered_at);
  standins::PlatformFaults faults;
  faults.refuse = true;
  fixture.platform.SetFaults(faults);
  fixture.Run(RosterPace().ExpireAfter(1));
  CHECK_FALSE(entry.view.registered_at);

  SECTION("it rejoins once it is renewed") {
    fixture.platform.SetFaults({});
    fixture.Run(seconds(10));
    REQUIRE(entry.view.registered_at);
    CHECK(*entry.view.registered_at > *registered_at);
  }
}

}  // namespace
}  // namespace indigolead::testing
