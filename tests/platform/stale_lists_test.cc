#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "platform/entry_options.h"
#include "platform/object_store.h"
#include "runtime/clock.h"
#include "standins/relay_server.h"
#include "store/list_watcher.h"
#include "tests/platform/support/metadata_store.h"

namespace indigolead::testing {
namespace {

// The store charges a tenth for reads that allow stale results and does not
// count them in its rate limit. Every page of such a list must allow them.
TEST_CASE("A list that may be stale says so on each page") {
  const bool may_be_stale = GENERATE(false, true);
  MetadataStore store;
  for (int n = 0; n < 9; ++n) {  // Three pages of four.
    store.Put("entries", "front-" + std::to_string(n), "x");
  }
  boost::asio::io_context io;
  MetricsRegistry metrics;
  platform::PlatformObjectStore client(&io, {store.address()}, BootTimeNow,
                                       &metrics);
  const CallOptions options{CallPriority::kStatus, std::chrono::seconds(10),
                            may_be_stale};
  std::size_t listed = 0;
  client.List("entries/", options,
              [&](const Result<ObjectStore::Listing>& result) {
                REQUIRE(IsOk(result));
                listed = ValueOf(result).objects.size();
                io.stop();
              });
  io.run_for(std::chrono::seconds(10));
  CHECK(listed == 9);
  CHECK(store.stale_lists() == (may_be_stale ? 3 : 0));
}

/// Guards against entries that start together and cannot serve until each has
/// read thousands of targets.
TEST_CASE(
    "The first page of a long list is reported before the others are read") {
  constexpr std::size_t kPage = 4;
  const std::size_t targets = GENERATE(3, 9, 30, 100);
  MetadataStore store;
  for (std::size_t n = 0; n < targets; ++n) {
    store.Put("servers", "i-" + std::to_string(n), "x");
  }
  boost::asio::io_context io;
  MetricsRegistry metrics;
  platform::PlatformObjectStore client(&io, {store.address()}, BootTimeNow,
                                       &metrics);
  ListWatcher::Options options;
  options.prefix = "servers/";
  options.list = {CallPriority::kConfig, std::chrono::seconds(10)};
  std::vector<std::size_t> reported_sizes;
  ListWatcher::Hooks hooks;
  hooks.on_part = [&](const ListWatcher::State& it) {
    reported_sizes.push_back(it.size());
  };
  hooks.on_state = [&](const ListWatcher::State& it, std::uint64_t) {
    reported_sizes.push_back(it.size());
    io.stop();
  };
  hooks.jitter = [] { return 0.5; };
  ListWatcher watcher(&client, options, hooks, BootTimeNow, MakeRunAfter(&io),
                      MakeNullEventLog());
  watcher.Start();
  io.run_for(std::chrono::seconds(10));
  REQUIRE_FALSE(reported_sizes.empty());
  CHECK(reported_sizes.front() == std::min(kPage, targets));
  CHECK(reported_sizes.back() == targets);
  CHECK(std::is_sorted(reported_sizes.begin(), reported_sizes.end()));
}

/// Guards against a stale list where the latest one is needed: after the first
/// list, and in a process that starts while it already has callers.
TEST_CASE("Only the first list of a watcher may be stale, if any") {
  const bool first = GENERATE(false, true);
  MetadataStore store;
  store.Put("servers", "a", "x");
  boost::asio::io_context io;
  MetricsRegistry metrics;
  platform::PlatformObjectStore client(&io, {store.address()}, BootTimeNow,
                                       &metrics);
  ListWatcher::Options options;
  options.prefix = "servers/";
  options.list = {CallPriority::kConfig, std::chrono::seconds(10)};
  options.first_may_be_stale = first;
  ListWatcher::Hooks hooks;
  hooks.on_state = [&io](const ListWatcher::State&, std::uint64_t) {
    io.stop();
  };
  hooks.jitter = [] { return 0.5; };
  ListWatcher watcher(&client, options, hooks, BootTimeNow, MakeRunAfter(&io),
                      MakeNullEventLog());
  watcher.Start();
  io.run_for(std::chrono::seconds(10));
  CHECK(watcher.state().size() == 1);
  CHECK(store.stale_lists() == (first ? 1 : 0));
}

/// Watch of the targets, configured as in an entry of a small fleet whose
/// operator requires that a leaving target gets no requests after 2 s.
class FollowedTargets {
 public:
  explicit FollowedTargets(const std::string& store_address)
      : store_(&io_, OptionsFor(store_address), BootTimeNow, &metrics_) {
    ListWatcher::Hooks hooks;
    hooks.on_state = [this](const ListWatcher::State& it, std::uint64_t) {
      seen_ = it.count("servers/" + awaited_) > 0;
    };
    hooks.jitter = [] { return 0.999; };
    watcher_.emplace(&store_, platform::WatchOptions(settings_, "servers/"),
                     hooks, BootTimeNow, MakeRunAfter(&io_),
                     MakeNullEventLog());
    watcher_->Start();
  }

  void Await(std::string name) { awaited_ = std::move(name); }
  bool seen() const { return seen_; }
  bool following() const { return watcher_->following(); }
  void Run(std::chrono::milliseconds length) { io_.run_for(length); }
  /// Makes concurrent calls, whose connections are then kept open.
  void MakeCalls(int calls) {
    for (int n = 0; n < calls; ++n) {
      store_.List("entries/", {}, [](const Result<ObjectStore::Listing>&) {});
    }
  }

 private:
  platform::PlatformObjectStore::Options OptionsFor(
      const std::string& store_address) {
    settings_.store_address = store_address;
    settings_.drain_deadline = kBound;
    settings_.configuration_deadline = kBound;
    settings_.contact_time = std::chrono::seconds(3);
    return platform::StoreOptions(settings_);
  }

 public:
  static constexpr std::chrono::milliseconds kBound{2000};

 private:
  boost::asio::io_context io_;
  MetricsRegistry metrics_;
  platform::PlatformSettings settings_;
  platform::PlatformObjectStore store_;
  std::string awaited_;
  bool seen_ = false;
  std::optional<ListWatcher> watcher_;
};

/// Guards against requests to a target for seconds after it left because one
/// store call was not answered.
TEST_CASE("A change is seen within its bound though connections go silent") {
  const int kept = GENERATE(0, 1, 6);
  const auto into_wait = std::chrono::milliseconds(GENERATE(20, 700, 1300));
  INFO(kept << " connections kept, " << into_wait.count() << " ms into a call");
  MetadataStore store;
  store.Put("servers", "a", "x");
  standins::RelayServer path(0, store.address());
  FollowedTargets targets(path.address());
  targets.Run(std::chrono::milliseconds(300));
  REQUIRE(targets.following());
  targets.MakeCalls(kept);
  store.Put("servers", "b", "x");  // Ends the waiting call.
  targets.Run(std::chrono::milliseconds(250) + into_wait);
  path.SilenceOpenConnections();
  store.Put("servers", "leaving", "x");
  targets.Await("leaving");
  targets.Run(FollowedTargets::kBound);
  CHECK(targets.seen());
}

/// Guards against requests to a target that left, when the store answers
/// waiting calls late or never but other calls at once.
TEST_CASE("A change is seen within its bound though a waiting call is lost") {
  MetadataStore store;
  store.Put("servers", "a", "x");
  FollowedTargets targets(store.address());
  targets.Run(std::chrono::milliseconds(300));
  REQUIRE(targets.following());
  standins::PlatformFaults faults;
  faults.silence_watches = true;
  store.SetFaults(faults);
  targets.Run(std::chrono::milliseconds(100));
  store.Put("servers", "leaving", "x");
  targets.Await("leaving");
  targets.Run(FollowedTargets::kBound);
  CHECK(targets.seen());
}

}  // namespace
}  // namespace indigolead::testing
