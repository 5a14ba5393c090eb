#include "wire/relay_links.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A relaying entry and an entry that sends requests to it.
class RelayFixture {
 public:
  RelayFixture() {
    StartRelay("127.0.0.1:0");
    RelayLinks::Hooks requester;
    requester.on_answer = [this](std::uint64_t number,
                                 const Result<WatchBatch>& answer) {
      answers.emplace(number, answer);
    };
    requester_ = Make("", std::move(requester));
  }

  void Ask(std::uint64_t number) {
    REQUIRE(requester_->Ask(address(), number, "servers/", 40 + number));
  }

  /// Runs until `done` returns true; fails the test after 10 s.
  void RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + seconds(10);
    while (!done() && std::chrono::steady_clock::now() < end) {
      io_.restart();
      io_.run_for(milliseconds(5));
    }
    REQUIRE(done());
  }

  void RestartRelay() {
    const std::string address = this->address();
    relay_.reset();
    StartRelay(address);
  }

  RelayLinks& relay() { return *relay_; }
  const std::string& address() const { return relay_->bound_address(); }

  std::vector<RelayRequest> received_requests;
  std::map<std::uint64_t, Result<WatchBatch>> answers;

 private:
  std::unique_ptr<RelayLinks> Make(const std::string& address,
                                   RelayLinks::Hooks hooks) {
    RelayLinks::Options options;
    options.bind_address = address;
    return std::make_unique<RelayLinks>(&io_, options, std::move(hooks),
                                        MakeNullEventLog());
  }

  void StartRelay(const std::string& address) {
    RelayLinks::Hooks hooks;
    hooks.on_request = [this](const RelayRequest& it) {
      received_requests.push_back(it);
    };
    relay_ = Make(address, std::move(hooks));
    REQUIRE(IsOk(relay_->Listen()));
  }

  boost::asio::io_context io_;
  std::unique_ptr<RelayLinks> relay_;
  std::unique_ptr<RelayLinks> requester_;
};

TEST_CASE("A watch request reaches the relay, and its answer comes back") {
  RelayFixture fixture;
  fixture.Ask(1);
  fixture.RunUntil(
      [&fixture] { return fixture.received_requests.size() == 1; });
  const RelayRequest request = fixture.received_requests.front();
  CHECK(request.number == 1);
  CHECK(request.prefix == "servers/");
  CHECK(request.from == 41);

  SECTION("an answer keeps each change, binary values included") {
    const WatchBatch batch{{{"servers/a", std::string("\xff\0x", 3), 42},
                            {"servers/b", std::nullopt, 43}},
                           43,
                           /*relayed=*/true};
    fixture.relay().Answer(request.requester, 1, batch);
    fixture.RunUntil([&fixture] { return fixture.answers.count(1) == 1; });
    CHECK(ValueOf(fixture.answers.at(1)) == batch);
  }
  SECTION("an error arrives as not found or unavailable, with the relay") {
    fixture.relay().Answer(
        request.requester, 1,
        Error{ErrorCode::kNotFound, "store.watch", "store", "status 410"});
    fixture.Ask(2);
    fixture.RunUntil(
        [&fixture] { return fixture.received_requests.size() == 2; });
    fixture.relay().Answer(
        fixture.received_requests.back().requester, 2,
        Error{ErrorCode::kTimeout, "store.watch", "store", "no answer"});
    fixture.RunUntil([&fixture] { return fixture.answers.size() == 2; });
    CHECK(ErrorOf(fixture.answers.at(1)).code == ErrorCode::kNotFound);
    CHECK(ErrorOf(fixture.answers.at(2)).code == ErrorCode::kUnavailable);
    CHECK(ErrorOf(fixture.answers.at(2)).peer == fixture.address());
  }
  SECTION("requests succeed after a restart of the relay") {
    fixture.RestartRelay();
    fixture.Ask(2);
    fixture.RunUntil(
        [&fixture] { return fixture.received_requests.size() == 2; });
    fixture.relay().Answer(fixture.received_requests.back().requester, 2,
                           WatchBatch{{}, 50});
    fixture.RunUntil([&fixture] { return fixture.answers.count(2) == 1; });
    CHECK(ValueOf(fixture.answers.at(2)).version == 50);
  }
}

TEST_CASE("The error for an address in use contains the address") {
  RelayFixture fixture;
  boost::asio::io_context io;
  RelayLinks::Options options;
  options.bind_address = fixture.address();
  RelayLinks second(&io, options, {}, MakeNullEventLog());
  const Status status = second.Listen();
  REQUIRE_FALSE(IsOk(status));
  CHECK(ErrorOf(status).peer == fixture.address());
}

}  // namespace
}  // namespace indigolead::testing
