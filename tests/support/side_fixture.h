#ifndef INDIGOLEAD_TESTS_SUPPORT_SIDE_FIXTURE_H_
#define INDIGOLEAD_TESTS_SUPPORT_SIDE_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "runtime/clock.h"
#include "side/side_process.h"
#include "wire/links.h"

namespace indigolead {

/// Fake entry: accepts links from sides and records their messages.
class FakeEntry {
 public:
  explicit FakeEntry(std::uint64_t run = 1,
                     const std::string& bind_address = "127.0.0.1:0")
      : incarnation_{Id128{run, run}} {
    Links::Options options;
    options.bind_address = bind_address;
    options.heartbeat_interval = std::chrono::milliseconds(100);
    options.silence_timeout = std::chrono::milliseconds(1500);
    Links::Hooks hooks;
    hooks.make_hello = [this] {
      wire::Hello hello;
      hello.set_protocol(1);
      hello.set_kind(wire::PROCESS_ENTRY);
      hello.set_instance("entry-1");
      hello.set_incarnation(ToBytes(incarnation_.value));
      return hello;
    };
    hooks.on_up = [this](LinkId link, const wire::Hello& hello) {
      link_ = link;
      hello_ = hello;
    };
    hooks.on_down = [this](LinkId link, const Error&) {
      if (link_ == link) {
        link_.reset();
      }
    };
    hooks.on_message = [this](LinkId, wire::Envelope&& message) {
      if (message.has_heartbeat()) {
        heartbeat_ = message.heartbeat();
      } else if (message.has_drain()) {
        drains_.push_back(message.drain());
      } else {
        messages_.push_back(std::move(message));
      }
    };
    links_ = std::make_unique<Links>(&io_, options, hooks, BootTimeNow,
                                     RandomId, MakeNullEventLog(), &metrics_);
    REQUIRE(IsOk(links_->Start()));
  }

  std::string address() const { return links_->bound_address(); }

  /// Runs the event loop until `done` returns true. Fails the test after 30 s.
  void RunUntil(const std::function<bool()>& done, const char* what) {
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!done() && std::chrono::steady_clock::now() < limit) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(2));
    }
    INFO("waited 30 s for: " << what);
    REQUIRE(done());
  }

  void WaitForSide() {
    RunUntil([this] { return link_.has_value(); }, "a link from the side");
  }

  void Send(const wire::Envelope& message) {
    REQUIRE(link_.has_value());
    REQUIRE(links_->Send(*link_, message));
  }

  /// Sends a start of attempt `n` and returns its id.
  std::string Start(std::uint64_t n, const std::string& body,
                    const std::string& deployment = "tarifa-llm") {
    wire::Envelope message;
    auto* start = message.mutable_start();
    start->set_attempt_id(ToBytes(Id128{id_prefix_, n}));
    start->set_request_id(ToBytes(Id128{id_prefix_, n}));
    start->set_start_sequence(n);
    start->set_deployment(deployment);
    start->set_start_within_us(10'000'000);
    start->set_finish_within_us(60'000'000);
    start->set_method("POST");
    start->set_path("/v1/completions");
    start->set_body(body);
    start->set_initial_credit_bytes(1U << 20);
    Send(message);
    return start->attempt_id();
  }

  /// Returns the end of attempt `id`, or null if none has arrived.
  const wire::ResponseEnd* EndOf(const std::string& id) const {
    for (const auto& it : messages_) {
      if (it.has_end() && it.end().attempt_id() == id) {
        return &it.end();
      }
    }
    return nullptr;
  }

  const wire::AttemptRefused* RefusalOf(const std::string& id) const {
    for (const auto& it : messages_) {
      if (it.has_refused() && it.refused().attempt_id() == id) {
        return &it.refused();
      }
    }
    return nullptr;
  }

  std::string BodyOf(const std::string& id) const {
    std::string body;
    for (const auto& it : messages_) {
      if (it.has_chunk() && it.chunk().attempt_id() == id) {
        body += it.chunk().data();
      }
    }
    return body;
  }

  Incarnation incarnation_;
  std::uint64_t id_prefix_ = 77;
  std::optional<LinkId> link_;
  wire::Hello hello_;
  wire::Heartbeat heartbeat_;
  std::vector<wire::DrainNotice> drains_;
  std::vector<wire::Envelope> messages_;
  boost::asio::io_context io_;
  MetricsRegistry metrics_;
  std::unique_ptr<Links> links_;
};

/// Runs a side process on its own thread until destroyed.
class RunningSide {
 public:
  explicit RunningSide(const Settings& settings)
      : process_(settings, MakeNullEventLog()),
        thread_([this] { exit_status_ = process_.Run(); }) {}
  ~RunningSide() { Stop(); }

  /// Requests a planned stop and returns the exit status.
  int Stop() {
    process_.RequestStop();
    return Join();
  }
  int Join() {
    if (thread_.joinable()) {
      thread_.join();
    }
    return exit_status_;
  }
  void RequestStop() { process_.RequestStop(); }

  static Settings MakeSettings(const std::string& entry,
                               const std::string& target) {
    Settings settings;
    settings.instance.name = "bilbao-a-1";
    settings.instance.failure_domain = "bilbao-a";
    settings.instance.region = "norte";
    settings.links.heartbeat_interval = std::chrono::milliseconds(100);
    settings.links.seeds = {entry};
    settings.side.deployment = "tarifa-llm";
    settings.side.target_address = target;
    settings.side.load_poll_interval = std::chrono::milliseconds(50);
    return settings;
  }

 private:
  SideProcess process_;
  int exit_status_ = -1;
  std::thread thread_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_TESTS_SUPPORT_SIDE_FIXTURE_H_
