#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "platform/object_store.h"
#include "runtime/clock.h"
#include "store/list_watcher.h"
#include "tests/platform/support/metadata_store.h"

namespace indigolead::testing {
namespace {

// The store charges a tenth for reads that may be old, and does not count them
// in its rate. Every page of such a list must say so.
TEST_CASE("A list that may be old says so on each page") {
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

/// Guards against entries that all start at once and serve nobody until each
/// has read thousands of targets.
TEST_CASE("The first targets of a long list are told before the rest is read") {
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
  std::vector<std::size_t> told;
  ListWatcher::Hooks hooks;
  hooks.on_part = [&](const ListWatcher::State& it) {
    told.push_back(it.size());
  };
  hooks.on_state = [&](const ListWatcher::State& it, std::uint64_t) {
    told.push_back(it.size());
    io.stop();
  };
  hooks.jitter = [] { return 0.5; };
  ListWatcher watcher(&client, options, hooks, BootTimeNow, MakeRunAfter(&io),
                      MakeNullEventLog());
  watcher.Start();
  io.run_for(std::chrono::seconds(10));
  REQUIRE_FALSE(told.empty());
  CHECK(told.front() == std::min(kPage, targets));
  CHECK(told.back() == targets);
  CHECK(std::is_sorted(told.begin(), told.end()));
}

/// Guards against a list that may be old where one is to be the newest: after
/// the first one, and in a process that starts while callers come.
TEST_CASE("Only the first list of a watcher may be old, if any") {
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

}  // namespace
}  // namespace indigolead::testing
