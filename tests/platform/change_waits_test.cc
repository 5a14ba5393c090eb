#include <catch2/catch.hpp>

#include "platform/documents.h"
#include "platform/entry_options.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

platform::PlatformSettings SettingsOf(Duration leaving, Duration contact) {
  platform::PlatformSettings settings;
  settings.store_address = "127.0.0.1:1";
  settings.drain_deadline = leaving;
  settings.configuration_deadline = leaving;
  settings.contact_time = contact;
  return settings;
}

/// Guards against a delay between a change and its use that grows or is added
/// without being part of the sum that the operator's bounds limit.
TEST_CASE(
    "The sum of the delays in an entry stays within the operator's bounds") {
  const Duration leaving = GENERATE(seconds(2), seconds(3), seconds(4));
  const Duration contact = leaving + seconds(1);
  const auto settings = SettingsOf(leaving, contact);
  const auto store = platform::StoreOptions(settings);
  const auto watch = platform::WatchOptions(settings, platform::kTargetsPrefix);
  const auto directory = platform::DispatcherOptions(settings).directory;
  const auto relayed = platform::RelayedStoreOptions(settings);
  const auto relay = platform::RelayOptions(settings);
  // Response time of a healthy store.
  constexpr Duration kAnswer = milliseconds(100);
  // Delay of a late thread plus the latency to a target.
  constexpr Duration kUse = milliseconds(150);

  SECTION("a change while the watch is established") {
    CHECK(store.watch_pace.max_interval + kAnswer + kUse <= leaving);
    CHECK(relay.feed.min_interval + relayed.answer_within + kAnswer + kUse <=
          leaving);
  }
  SECTION("a single lost call drops no target") {
    const Duration lost = store.watch_pace.max_interval + store.watch_wait +
                          store.watch_slack + watch.min_backoff + kAnswer;
    CHECK(lost < directory.min_outage);
    CHECK(lost + kUse <= contact);
    const Duration relay_lost =
        relayed.answer_within + store.answer_within + kAnswer;
    CHECK(relay_lost < directory.min_outage);
    CHECK(relay_lost + kUse <= contact);
  }
  SECTION("the store becomes reachable again") {
    CHECK(watch.max_backoff + kAnswer + directory.return_grace + kAnswer +
              kUse <=
          contact);
  }
}

}  // namespace
}  // namespace indigolead::testing
