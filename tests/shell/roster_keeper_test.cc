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
class Scene {
 public:
  struct Entry {
    Entry(Scene* scene, const std::string& name)
        : store(&scene->io, &scene->platform, seconds(3)),
          keeper(
              &store, Options(name), Hooks(), [scene] { return scene->now; },
              MakeNullEventLog()) {}

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
  Scene scene;
  Scene::Entry& first = scene.Add("front-1");
  scene.Add("front-2");
  scene.Run(seconds(5));
  CHECK(first.counts == std::vector<std::size_t>{2});

  SECTION("they learn how to ask each other for the store's changes") {
    CHECK(first.relays == std::vector<RelayCandidate>{
                              {"front-1", "bilbao", "10.0.0.1:7380", 0.5},
                              {"front-2", "bilbao", "10.0.0.1:7380", 0.5}});
  }
  SECTION("an entry that starts later is counted within the list interval") {
    scene.Add("front-3");
    scene.Run(seconds(25));
    CHECK(first.counts.back() == 3);
  }
  SECTION("an entry that stops is gone from the next list on") {
    scene.entries[1]->keeper.Stop();
    scene.Run(seconds(25));
    CHECK(first.counts.back() == 1);
  }
  SECTION("a killed entry expires, and its registration is deleted") {
    scene.entries.pop_back();
    scene.Run(seconds(100));
    CHECK(first.counts.back() == 2);
    scene.Run(seconds(100));
    CHECK(first.counts.back() == 1);
    CHECK_FALSE(scene.platform.Peek("entries/front-2"));
  }
  SECTION("a process of the same name takes over the registration") {
    scene.entries.pop_back();
    scene.Add("front-2");
    scene.Run(seconds(400));
    CHECK(first.counts.back() == 2);
    CHECK(scene.platform.Peek("entries/front-2"));
  }
  SECTION("the number of calls is bounded") {
    const auto puts = scene.Calls("put");
    const auto lists = scene.Calls("list");
    scene.Run(seconds(600));
    CHECK(scene.Calls("put") - puts <= 2 * 600 / 30);
    CHECK(scene.Calls("list") - lists <= 2 * 600 / 10);
  }
}

/// Guards against renewals that grow with the fleet; each renewal is a write.
TEST_CASE("A large fleet renews no more often than one of 200 entries") {
  // The rate of 200 entries, each renewed after half to all of the interval.
  constexpr double kMostWrites = 200 / 30.0;
  for (const std::size_t entries : {30, 100, 200, 300}) {
    INFO(entries << " entries");
    Scene scene;
    for (std::size_t n = 0; n < entries; ++n) {
      scene.Add("front-" + std::to_string(n));
    }
    scene.Run(seconds(20));
    const auto puts = scene.Calls("put");
    const auto lists = scene.Calls("list");
    scene.Run(seconds(240));
    const auto n = static_cast<double>(entries);
    CHECK(static_cast<double>(scene.Calls("put") - puts) <= 240 * kMostWrites);
    CHECK(static_cast<double>(scene.Calls("list") - lists) <= n * 240 / 10);
    for (const auto& it : scene.entries) {
      CHECK(it->counts == std::vector<std::size_t>{entries});
    }
  }
}

/// Guards against entries that count too few others, because the others still
/// renew at the slower rate of the larger fleet.
TEST_CASE("A shrinking fleet still counts every live entry") {
  Scene scene;
  for (int n = 0; n < 400; ++n) {
    scene.Add("front-" + std::to_string(n));
  }
  scene.Run(seconds(130));
  while (scene.entries.size() > 10) {
    scene.entries.back()->keeper.Stop();
    scene.Run(milliseconds(200));
    scene.entries.pop_back();
  }
  std::size_t least = 400;
  for (int n = 0; n < 600; ++n) {
    scene.Run(seconds(1));
    for (const auto& it : scene.entries) {
      least = std::min(least, it->counts.back());
    }
  }
  CHECK(least == 10);
}

/// Guards against every entry listing all entries each second for as long as a
/// start lasts.
TEST_CASE("Entries that start together list each other a few times") {
  constexpr std::size_t kEntries = 100;
  Scene scene;
  for (std::size_t n = 0; n < kEntries; ++n) {
    scene.Add("front-" + std::to_string(n));
  }
  scene.Run(seconds(10));
  CHECK(scene.Calls("list") <= 4 * kEntries);

  SECTION("they find an entry that starts a little later") {
    scene.Add("front-late");
    scene.Run(seconds(20));
    for (const auto& it : scene.entries) {
      CHECK(it->counts.back() == kEntries + 1);
    }
  }
}

// The store performs a renewal but its answer is lost, or the store is
// unreachable for a while. The entry must keep renewing, and no other may treat
// it as gone.
TEST_CASE("A registration survives lost answers and a store outage") {
  Scene scene;
  Scene::Entry& first = scene.Add("front-1");
  scene.Add("front-2");
  scene.Run(seconds(5));
  standins::PlatformFaults faults;

  SECTION("answers lost") {
    faults.lose_answers = 3;
    scene.platform.SetFaults(faults);
    scene.Run(seconds(400));
    CHECK(first.counts == std::vector<std::size_t>{2});
  }
  SECTION("an outage longer than a registration's lifetime") {
    scene.platform.SetDown(true);
    scene.Run(seconds(300));
    scene.platform.SetDown(false);
    scene.Run(seconds(60));
    CHECK(first.counts.back() == 2);
    CHECK(scene.platform.Peek("entries/front-1"));
    CHECK(scene.platform.Peek("entries/front-2"));
  }
}

TEST_CASE("Frequent listing keeps the list of entries current") {
  Scene scene;
  Scene::Entry& first = scene.Add("front-1");
  scene.Run(seconds(30));
  CHECK(first.view.names == std::vector<std::string>{"front-1"});
  CHECK(first.view.registered_at);

  SECTION("a new entry is listed within two seconds and a call") {
    first.keeper.ListClosely(true);
    scene.Add("front-2");
    scene.Run(milliseconds(2600));
    CHECK(first.view.names.size() == 2);
  }
  SECTION("the first list is read at once") {
    const TimePoint before = scene.now;
    first.keeper.ListClosely(true);
    scene.Run(milliseconds(600));
    CHECK(first.view.listed_at >= before);
  }
  SECTION("a planned stop withdraws the entry") {
    first.keeper.Stop();
    CHECK_FALSE(first.view.registered_at);
  }
  SECTION("the number of calls is bounded once frequent listing ends") {
    first.keeper.ListClosely(true);
    scene.Run(seconds(10));
    first.keeper.ListClosely(false);
    scene.Run(seconds(20));
    const auto lists = scene.Calls("list");
    scene.Run(seconds(600));
    CHECK(scene.Calls("list") - lists <= 600 / 10);
  }
}

/// Guards against an entry that keeps using its share of a divided resource
/// after the others treat it as gone.
TEST_CASE(
    "An entry whose registration is not renewed leaves before it expires") {
  Scene scene;
  Scene::Entry& entry = scene.Add("a");
  scene.Run(seconds(90));
  const auto registered_at = entry.view.registered_at;
  REQUIRE(registered_at);
  standins::PlatformFaults faults;
  faults.refuse = true;
  scene.platform.SetFaults(faults);
  scene.Run(RosterPace().ExpireAfter(1));
  CHECK_FALSE(entry.view.registered_at);

  SECTION("it rejoins once it is renewed") {
    scene.platform.SetFaults({});
    scene.Run(seconds(10));
    REQUIRE(entry.view.registered_at);
    CHECK(*entry.view.registered_at > *registered_at);
  }
}

}  // namespace
}  // namespace indigolead::testing
