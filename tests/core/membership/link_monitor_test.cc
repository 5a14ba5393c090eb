#include "core/membership/link_monitor.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace indigolead {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart = TimePoint(1000s);

TEST_CASE("LinkMonitor reports when a heartbeat or a close is due") {
  const LinkTiming timing;  // Heartbeat 500 ms, silence timeout 1500 ms.
  struct Row {
    std::string name;
    // Times since the start.
    Duration sent;       // Last work message sent.
    Duration heartbeat;  // Last heartbeat sent.
    Duration received;   // Last work message received.
    Duration now;
    LinkAction expected;
  };
  const std::vector<Row> rows = {
      {"fresh", 0s, 0s, 0s, 499ms, LinkAction::kNone},
      {"idle", 0s, 0s, 400ms, 500ms, LinkAction::kSendHeartbeat},
      {"busy", 900ms, 0s, 900ms, 1s, LinkAction::kNone},
      {"busy for long", 1999ms, 0s, 1999ms, 2s, LinkAction::kSendHeartbeat},
      {"we send, the peer does not", 1499ms, 1499ms, 0s, 1500ms,
       LinkAction::kCloseSilent},
      {"just not silent", 1499ms, 1400ms, 0s, 1499ms, LinkAction::kNone},
      {"poll earlier than the last event", 1s, 1s, 1s, 200ms,
       LinkAction::kNone},
  };
  for (const Row& row : rows) {
    DYNAMIC_SECTION(row.name) {
      LinkMonitor monitor(timing, kStart);
      monitor.OnHeartbeatSent(kStart + row.heartbeat);
      monitor.OnWorkSent(kStart + row.sent);
      monitor.OnWorkReceived(kStart + row.received);
      CHECK(monitor.Poll(kStart + row.now) == row.expected);
    }
  }
}

// An idle link uses longer intervals. If work sent on a half-open connection
// had to wait for the longer silence timeout, the caller's request would hang
// for six silence timeouts instead of one.
TEST_CASE("An idle link uses longer intervals until the first work") {
  // Idle after 60 s; then heartbeat 3 s and silence timeout 9 s.
  const LinkTiming timing;
  LinkMonitor monitor(timing, kStart);
  const TimePoint idle = kStart + 60s;
  monitor.OnHeartbeatSent(idle);
  monitor.OnHeartbeatReceived(idle);
  CHECK(monitor.Poll(idle + 2999ms) == LinkAction::kNone);
  CHECK(monitor.Poll(idle + 3s) == LinkAction::kSendHeartbeat);
  CHECK(monitor.Poll(idle + 8999ms) == LinkAction::kSendHeartbeat);
  CHECK(monitor.Poll(idle + 9s) == LinkAction::kCloseSilent);

  SECTION("the peer gets the whole busy timeout for its first answer") {
    monitor.OnWorkSent(idle + 1900ms);
    CHECK(monitor.Poll(idle + 1900ms + 1499ms) != LinkAction::kCloseSilent);
    CHECK(monitor.Poll(idle + 1900ms + 1500ms) == LinkAction::kCloseSilent);
  }
  SECTION("the end that received work sends a heartbeat at once") {
    monitor.OnWorkReceived(idle + 1900ms);
    CHECK(monitor.Poll(idle + 1900ms) == LinkAction::kSendHeartbeat);
  }
}

// This process is paused for 5 s. Messages from its peers are still unread in
// the sockets, so every peer looks silent. Closing all links at once would
// break every stream without need.
TEST_CASE("After a pause peers get one interval before links are closed") {
  LinkMonitor monitor(LinkTiming{}, kStart);
  PauseDetector pause(500ms);
  CHECK_FALSE(pause.Observe(kStart + 100ms));
  CHECK_FALSE(pause.Observe(kStart + 200ms));
  REQUIRE(pause.Observe(kStart + 5200ms));
  monitor.OnProcessPaused(kStart + 5200ms);

  SECTION("a peer that is alive keeps its link") {
    CHECK(monitor.Poll(kStart + 5200ms) == LinkAction::kSendHeartbeat);
    monitor.OnHeartbeatReceived(kStart + 5300ms);
    CHECK(monitor.Poll(kStart + 6s) != LinkAction::kCloseSilent);
  }
  SECTION("the link to a peer that is gone is closed after the interval") {
    CHECK(monitor.Poll(kStart + 5700ms) == LinkAction::kCloseSilent);
  }
}

TEST_CASE("DialMonitor opens, abandons and retries a connection") {
  const LinkTiming timing;
  DialMonitor dial(timing, 7, kStart);
  CHECK(dial.Poll(kStart) == DialAction::kOpen);
  dial.OnOpened(kStart);

  SECTION("a dial without a hello is abandoned after the dial timeout") {
    CHECK(dial.Poll(kStart + 1499ms) == DialAction::kNone);
    CHECK(dial.Poll(kStart + 1500ms) == DialAction::kGiveUp);
    dial.OnLost(kStart + 1500ms);
    CHECK(dial.is_waiting());
    CHECK(dial.Poll(kStart + 1500ms + timing.backoff_min) == DialAction::kOpen);
  }
  SECTION("a peer that accepts and drops is dialed with backoff") {
    TimePoint now = kStart;
    for (int n = 0; n < 10; ++n) {
      dial.OnUp(now);
      dial.OnLost(now);
    }
    CHECK(dial.Poll(now + timing.backoff_max / 2 - 1ns) == DialAction::kNone);
    CHECK(dial.Poll(now + timing.backoff_max) == DialAction::kOpen);
  }
  SECTION("a link that lasted resets the backoff to the minimum") {
    for (int n = 0; n < 10; ++n) {
      dial.OnLost(kStart);
    }
    dial.OnUp(kStart);
    dial.OnLost(kStart + 10s);
    CHECK(dial.Poll(kStart + 10s + timing.backoff_min) == DialAction::kOpen);
  }
  SECTION("a refusal sets the backoff to the maximum") {
    dial.OnRefused(kStart);
    CHECK(dial.Poll(kStart + timing.backoff_max / 2 - 1ns) ==
          DialAction::kNone);
  }
}

TEST_CASE("Reconnect delays differ between processes") {
  // 1,000 sides must not reconnect to a restarted entry at the same moment.
  std::vector<int> buckets(10, 0);
  for (std::uint64_t seed = 0; seed < 1000; ++seed) {
    ReconnectBackoff backoff(1s, 1s, seed);
    const auto wait = backoff.Next();
    REQUIRE(wait >= 500ms);
    REQUIRE(wait <= 1s);
    ++buckets[static_cast<std::size_t>(
        std::min<Duration::rep>(9, (wait - 500ms) / 50ms))];
  }
  for (const int n : buckets) {
    CHECK(n > 50);
    CHECK(n < 200);
  }
}

}  // namespace
}  // namespace indigolead
