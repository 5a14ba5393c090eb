#include "wire/links.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "runtime/clock.h"

namespace indigolead {
namespace {

using namespace std::chrono_literals;

/// Links of one process; records the calls of its hooks.
class Peer {
 public:
  Peer(boost::asio::io_context* io, std::string name, std::uint64_t run,
       const std::function<void(Links::Options*)>& adjust = nullptr)
      : name_(std::move(name)), incarnation_{Id128{run, run}} {
    Links::Options options;
    options.bind_address = "127.0.0.1:0";
    options.heartbeat_interval = 50ms;
    options.silence_timeout = 500ms;
    if (adjust) {
      adjust(&options);
    }
    Links::Hooks hooks;
    hooks.make_hello = [this] { return MakeHello(); };
    hooks.on_up = [this](LinkId id, const wire::Hello& hello) {
      up[id] = hello.instance();
      incarnations[id] = hello.incarnation();
    };
    hooks.on_down = [this](LinkId id, const Error& error) {
      up.erase(id);
      down_errors.push_back(error);
    };
    hooks.on_message = [this](LinkId id, wire::Envelope&& message) {
      if (message.has_heartbeat()) {
        ++heartbeats;
        return;
      }
      messages.push_back(std::move(message));
      if (on_message) {
        on_message(id, messages.back());
      }
    };
    links = std::make_unique<Links>(io, options, hooks, BootTimeNow, RandomId,
                                    MakeNullEventLog(), &metrics);
    started = links->Start();
  }

  wire::Hello MakeHello() const {
    wire::Hello hello;
    hello.set_protocol(1);
    hello.set_kind(wire::PROCESS_ENTRY);
    hello.set_instance(name_);
    hello.set_incarnation(ToBytes(incarnation_.value));
    return hello;
  }

  LinkId OnlyLink() const {
    REQUIRE(up.size() == 1);
    return up.begin()->first;
  }

  std::uint64_t CounterValue(const std::string& line_start) const {
    const std::string text = metrics.ToPrometheusText();
    const std::size_t at = text.find("\n" + line_start + " ");
    if (at == std::string::npos) {
      return 0;
    }
    return std::stoull(text.substr(at + line_start.size() + 2));
  }

  MetricsRegistry metrics;
  std::map<LinkId, std::string> up;
  std::map<LinkId, std::string> incarnations;
  std::vector<Error> down_errors;
  std::vector<wire::Envelope> messages;
  std::function<void(LinkId, const wire::Envelope&)> on_message;
  int heartbeats = 0;
  Status started;
  std::unique_ptr<Links> links;

 private:
  std::string name_;
  Incarnation incarnation_;
};

wire::Envelope MakeCredit(std::uint64_t bytes) {
  wire::Envelope message;
  message.mutable_credit()->set_bytes(bytes);
  return message;
}

/// Runs `io` until `done` returns true, for 20 s at most. Returns the last
/// result of `done`.
bool RunUntil(boost::asio::io_context* io, const std::function<bool()>& done) {
  const TimePoint limit = BootTimeNow() + 20s;
  while (!done() && BootTimeNow() < limit) {
    io->run_one_for(10ms);
  }
  return done();
}

TEST_CASE("Two connected processes share a link") {
  boost::asio::io_context io;
  Peer server(&io, "entry-1", 1);
  Peer client(&io, "side-1", 2);
  REQUIRE(IsOk(server.started));
  client.links->Connect(server.links->bound_address());
  REQUIRE(RunUntil(&io, [&] { return !client.up.empty(); }));
  REQUIRE(RunUntil(&io, [&] { return !server.up.empty(); }));

  SECTION("each learns the name of the other from its hello") {
    CHECK(client.up.begin()->second == "entry-1");
    CHECK(server.up.begin()->second == "side-1");
  }

  SECTION("messages arrive intact and in order in both directions") {
    constexpr std::uint64_t kMessages = 2000;
    server.on_message = [&](LinkId id, const wire::Envelope& message) {
      CHECK(server.links->Send(id, message));
    };
    for (std::uint64_t n = 0; n < kMessages; ++n) {
      REQUIRE(client.links->Send(client.OnlyLink(), MakeCredit(n)));
    }
    REQUIRE(RunUntil(&io, [&] { return client.messages.size() >= kMessages; }));
    REQUIRE(client.messages.size() == kMessages);
    for (std::uint64_t n = 0; n < kMessages; ++n) {
      REQUIRE(client.messages[n].credit().bytes() == n);
    }
  }

  SECTION("heartbeats are sent in both directions on an idle link") {
    CHECK(RunUntil(
        &io, [&] { return client.heartbeats >= 3 && server.heartbeats >= 3; }));
    CHECK(client.down_errors.empty());
    CHECK(server.down_errors.empty());
  }

  SECTION("a goodbye closes the link, and on_down gets its reason") {
    server.links->Stop("stopping");
    REQUIRE(RunUntil(&io, [&] { return !client.down_errors.empty(); }));
    CHECK(client.down_errors[0].code == ErrorCode::kUnavailable);
    CHECK(client.down_errors[0].detail.find("stopping") != std::string::npos);
    CHECK_FALSE(client.links->Send(LinkId{1}, MakeCredit(1)));
  }

  SECTION("Disconnect closes the link at both ends") {
    client.links->Disconnect(server.links->bound_address());
    CHECK(RunUntil(&io, [&] {
      return client.up.empty() && server.up.empty() &&
             !client.down_errors.empty();
    }));
    CHECK(server.down_errors.size() == 1);
  }

  SECTION("a message over the size limit is refused, and the link stays up") {
    wire::Envelope message;
    message.mutable_chunk()->set_data(std::string(17U << 20, 'x'));
    CHECK_FALSE(client.links->Send(client.OnlyLink(), message));
    CHECK(client.links->Send(client.OnlyLink(), MakeCredit(1)));
    CHECK(RunUntil(&io, [&] { return server.messages.size() == 1; }));
  }
}

// Guards against a fault in which the planned stop of one peer silenced the
// links to all others.
TEST_CASE("The stop of one peer leaves the other links up") {
  constexpr std::uint64_t kRounds = 100;
  boost::asio::io_context io;
  Peer steady(&io, "steady", 1);
  Peer hub(&io, "hub", 2);
  hub.links->Connect(steady.links->bound_address());
  REQUIRE(RunUntil(&io, [&] { return steady.up.size() == 1; }));
  for (std::uint64_t n = 0; n < kRounds; ++n) {
    INFO("round " << n);
    Peer stopped_peer(&io, "leaver-" + std::to_string(n), 10 + n);
    hub.links->Connect(stopped_peer.links->bound_address());
    stopped_peer.links->Connect(hub.links->bound_address());
    REQUIRE(RunUntil(&io, [&] { return stopped_peer.up.size() == 2; }));
    stopped_peer.links->Stop("planned stop");
    REQUIRE(RunUntil(&io, [&] { return hub.up.size() == 1; }));
    hub.links->Disconnect(stopped_peer.links->bound_address());
    const int heartbeats = hub.heartbeats;
    REQUIRE(RunUntil(&io, [&] { return hub.heartbeats > heartbeats; }));
  }
  CHECK(hub.up.begin()->second == "steady");
  CHECK(steady.down_errors.empty());
}

// Guards against a stream that stalls because the peer was stopped (SIGSTOP, a
// hung host), so that the TCP connection stays open. The silence timeout closes
// the link at the client, which dials again. When the peer runs again, it gets
// a new link and nothing is sent on the old one.
TEST_CASE("A silent peer loses its link and gets a new one") {
  boost::asio::io_context io;
  boost::asio::io_context stopped_io;
  Peer server(&stopped_io, "entry-1", 1);
  Peer client(&io, "side-1", 2);
  client.links->Connect(server.links->bound_address());
  REQUIRE(RunUntil(&io, [&] {
    stopped_io.poll();
    return !client.up.empty() && !server.up.empty();
  }));
  const LinkId first = client.OnlyLink();

  REQUIRE(RunUntil(&io, [&] { return !client.down_errors.empty(); }));
  CHECK(client.down_errors[0].code == ErrorCode::kTimeout);
  CHECK_FALSE(client.links->Send(first, MakeCredit(1)));

  REQUIRE(RunUntil(&io, [&] {
    stopped_io.poll();
    return !client.up.empty() && server.up.size() == 1;
  }));
  CHECK(client.OnlyLink() != first);
  CHECK(client.CounterValue("indigolead_links_silent_total") >= 1);
}

// Guards against messages for a killed process that reach its restarted
// successor of the same instance. The successor might run an attempt, although
// a request that is reported as not run must not have run.
TEST_CASE("A restarted process gets a new link") {
  boost::asio::io_context io;
  Peer server(&io, "entry-1", 1);
  auto first = std::make_unique<Peer>(&io, "side-1", 2);
  first->links->Connect(server.links->bound_address());
  REQUIRE(RunUntil(&io, [&] { return !server.up.empty(); }));
  const LinkId old_link = server.OnlyLink();

  Peer second(&io, "side-1", 3);
  second.links->Connect(server.links->bound_address());

  SECTION("the newer run replaces the older, and on_down precedes on_up") {
    REQUIRE(RunUntil(&io, [&] { return !second.up.empty(); }));
    CHECK(server.OnlyLink() != old_link);
    CHECK(server.incarnations[server.OnlyLink()] == ToBytes(Id128{3, 3}));
    CHECK(server.down_errors.size() == 1);
    CHECK_FALSE(server.links->Send(old_link, MakeCredit(1)));
  }

  SECTION(
      "the older run is refused when it reconnects, and the newer stays up") {
    REQUIRE(RunUntil(&io, [&] { return !second.up.empty(); }));
    const LinkId new_link = server.OnlyLink();
    REQUIRE(RunUntil(&io, [&] {
      return server.CounterValue("indigolead_links_refused_total") >= 2;
    }));
    CHECK(server.OnlyLink() == new_link);
    CHECK(first->up.empty());
    CHECK(second.down_errors.empty());
  }

  SECTION("a peer that ends without a goodbye is detected and dialled again") {
    REQUIRE(RunUntil(&io, [&] { return !second.up.empty(); }));
    first.reset();
    const std::string address = server.links->bound_address();
    server.links.reset();
    REQUIRE(RunUntil(&io, [&] { return second.up.empty(); }));
    Peer reborn(&io, "entry-1", 4, [&](Links::Options* options) {
      options->bind_address = address;
    });
    REQUIRE(IsOk(reborn.started));
    CHECK(RunUntil(&io, [&] { return !second.up.empty(); }));
    CHECK(second.incarnations[second.OnlyLink()] == ToBytes(Id128{4, 4}));
  }
}

// Guards against streams that break repeatedly when a process is listed under
// two addresses: the hello of each dial replaces the link of the other at the
// peer, so both dials would reconnect in turn without end.
TEST_CASE("Two addresses of one process share one stable link") {
  boost::asio::io_context io;
  Peer listed(&io, "entry-2", 2);
  Peer client(&io, "side-1", 3);
  const std::string address = listed.links->bound_address();
  client.links->Connect(address);
  // The port with a leading zero makes a different address string.
  std::string respelt = address;
  respelt.insert(respelt.rfind(':') + 1, "0");
  client.links->Connect(respelt);
  REQUIRE(RunUntil(&io, [&] { return !client.up.empty(); }));
  const auto settle = BootTimeNow() + 1s;
  RunUntil(&io, [&] { return BootTimeNow() > settle; });
  const std::size_t down_errors = client.down_errors.size();
  const auto rest = BootTimeNow() + 2s;
  RunUntil(&io, [&] { return BootTimeNow() > rest; });
  CHECK(client.up.size() == 1);
  CHECK(down_errors >= 1);
  CHECK(client.down_errors.size() == down_errors);
}

TEST_CASE("Links enforce their limits") {
  boost::asio::io_context io;
  boost::asio::io_context slow_io;

  SECTION("a send to a full queue is refused at once and counted") {
    const auto small = [](Links::Options* options) {
      options->high_water_mark = 8;
      options->silence_timeout = 30s;
    };
    Peer server(&slow_io, "entry-1", 1, small);
    Peer client(&io, "side-1", 2, small);
    client.links->Connect(server.links->bound_address());
    REQUIRE(RunUntil(&io, [&] {
      slow_io.poll();
      return !client.up.empty() && !server.up.empty();
    }));
    wire::Envelope message;
    message.mutable_chunk()->set_data(std::string(1U << 20, 'x'));
    int sent = 0;
    while (sent < 1000 && client.links->Send(client.OnlyLink(), message)) {
      ++sent;
    }
    CHECK(sent < 1000);
    CHECK(client.CounterValue(
              "indigolead_link_send_failed_total{reason=\"full\"}") == 1);
    // The reader runs again and gets every accepted message.
    CHECK(RunUntil(&io, [&] {
      slow_io.poll();
      return server.messages.size() == static_cast<std::size_t>(sent);
    }));
  }

  SECTION("a peer over the limit is refused, and the others stay connected") {
    Peer server(&io, "entry-1", 1,
                [](Links::Options* options) { options->max_links = 2; });
    std::vector<std::unique_ptr<Peer>> peers;
    for (std::uint64_t n = 0; n < 3; ++n) {
      peers.push_back(
          std::make_unique<Peer>(&io, "side-" + std::to_string(n), 10 + n));
      peers.back()->links->Connect(server.links->bound_address());
    }
    REQUIRE(RunUntil(&io, [&] {
      return server.CounterValue("indigolead_links_refused_total") >= 1;
    }));
    CHECK(server.up.size() == 2);
    CHECK(server.down_errors.empty());
  }

  SECTION("a process does not link to itself") {
    Peer server(&io, "entry-1", 1);
    server.links->Connect(server.links->bound_address());
    REQUIRE(RunUntil(&io, [&] {
      return server.CounterValue("indigolead_links_refused_total") >= 1;
    }));
    CHECK(server.up.empty());
  }

  SECTION("an address outside loopback is not bound without keys") {
    Peer server(&io, "entry-1", 1, [](Links::Options* options) {
      options->bind_address = "0.0.0.0:0";
    });
    CHECK_FALSE(IsOk(server.started));
  }

  SECTION("an address outside loopback is not dialled without keys") {
    Peer client(&io, "side-1", 1);
    client.links->Connect("192.0.2.1:1");
    client.links->Connect("localhost");
    CHECK(client.CounterValue("indigolead_links_refused_total") == 2);
  }
}

}  // namespace
}  // namespace indigolead
