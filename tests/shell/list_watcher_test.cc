#include "store/list_watcher.h"

#include <catch2/catch.hpp>

#include "runtime/clock.h"
#include "tests/support/store_fixture.h"

namespace indigolead {
namespace {

using standins::PlatformFaults;
using std::chrono::milliseconds;
using testing::MakeStoreFixture;
using testing::StoreFixture;

/// Watcher that records its state and checks that versions never decrease.
class Follower {
 public:
  explicit Follower(StoreFixture* world)
      : watcher_(
            &world->store(), MakeOptions(),
            {[this](const ListWatcher::State& state, std::uint64_t version) {
               CHECK(version >= last_version_);
               last_version_ = version;
               state_ = state;
             },
             [this](const Error& error) { errors_.push_back(error); },
             [] { return 0.5; }},
            BootTimeNow, MakeRunAfter(&world->io()), MakeNullEventLog()) {
    watcher_.Start();
  }

  std::string Value(const std::string& key) const {
    const auto it = state_.find(key);
    return it == state_.end() ? "" : it->second.value;
  }
  const std::vector<Error>& errors() const { return errors_; }
  const ListWatcher& watcher() const { return watcher_; }

 private:
  static ListWatcher::Options MakeOptions() {
    ListWatcher::Options options;
    options.prefix = "deployments/";
    options.list = {CallPriority::kConfig, std::chrono::seconds(2)};
    options.min_backoff = milliseconds(20);
    options.max_backoff = milliseconds(200);
    return options;
  }

  std::uint64_t last_version_ = 0;
  ListWatcher::State state_;
  std::vector<Error> errors_;
  ListWatcher watcher_;
};

TEST_CASE("ListWatcher follows a prefix") {
  const auto world = MakeStoreFixture(GENERATE("fake", "http"));
  const auto first = world->Poke("deployments/a", "one", 0);
  Follower follower(world.get());
  REQUIRE(world->RunUntil(
      [&] { return follower.Value("deployments/a") == "one"; }));

  SECTION("applies changes and deletions") {
    const auto second = world->Poke("deployments/a", "two", first);
    world->Poke("deployments/b", "x", 0);
    REQUIRE(world->RunUntil(
        [&] { return follower.Value("deployments/b") == "x"; }));
    CHECK(follower.Value("deployments/a") == "two");
    world->Ask<Unit>([&](auto done) {
      world->store().Delete("deployments/a", second, {}, done);
    });
    CHECK(world->RunUntil(
        [&] { return follower.Value("deployments/a").empty(); }));
    CHECK(follower.watcher().following());
  }

  SECTION("reads changes made while the store was down") {
    world->SetDown(true);
    REQUIRE(world->RunUntil([&] { return follower.errors().size() >= 3; }));
    CHECK(follower.Value("deployments/a") == "one");
    world->Poke("deployments/a", "two", first);
    world->SetDown(false);
    CHECK(world->RunUntil(
        [&] { return follower.Value("deployments/a") == "two"; }));
  }

  SECTION("recovers from a silent watch") {
    PlatformFaults faults;
    faults.silence_watches = true;
    world->SetFaults(faults);
    world->Poke("deployments/a", "two", first);
    CHECK(world->RunUntil(
        [&] { return follower.Value("deployments/a") == "two"; }));
  }
}

TEST_CASE("ListWatcher ignores a stale listing") {
  // The watch breaks just after a change, and the next listing is stale and
  // lacks it. The watcher must keep the change and still receive later ones.
  const auto world = MakeStoreFixture(GENERATE("fake", "http"));
  const auto first = world->Poke("deployments/a", "one", 0);
  PlatformFaults faults;
  faults.stale_reads = true;
  world->SetFaults(faults);
  Follower follower(world.get());
  REQUIRE(world->RunUntil(
      [&] { return follower.Value("deployments/a") == "one"; }));
  const auto second = world->Poke("deployments/a", "two", first);
  REQUIRE(world->RunUntil(
      [&] { return follower.Value("deployments/a") == "two"; }));

  world->DropWatches();
  REQUIRE(world->RunUntil([&] { return !follower.errors().empty(); }));
  world->Poke("deployments/a", "three", second);
  CHECK(world->RunUntil(
      [&] { return follower.Value("deployments/a") == "three"; }));
}

TEST_CASE("ListWatcher calls no hook after its destruction") {
  const auto world = MakeStoreFixture(GENERATE("fake", "http"));
  world->Poke("deployments/a", "one", 0);
  { const Follower follower(world.get()); }
  world->Poke("deployments/b", "x", 0);
  const auto until = std::chrono::steady_clock::now() + milliseconds(100);
  CHECK(world->RunUntil(
      [&] { return std::chrono::steady_clock::now() > until; }));
}

}  // namespace
}  // namespace indigolead
