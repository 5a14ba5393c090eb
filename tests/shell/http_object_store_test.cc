#include "store/http_object_store.h"

#include <catch2/catch.hpp>

#include "runtime/clock.h"
#include "standins/platform_server.h"

namespace indigolead {
namespace {

using standins::PlatformFaults;
using standins::PlatformServer;

constexpr std::chrono::seconds kBound{30};

/// Client whose queue and connection pool are small enough to fill up.
class Client {
 public:
  explicit Client(const std::string& address) {
    HttpObjectStore::Options options;
    options.address = address;
    options.max_connections = 2;
    options.max_queued_calls = 3;
    store_ = std::make_unique<HttpObjectStore>(&io_, options, BootTimeNow,
                                               &metrics_);
  }

  /// Starts a read and appends its outcome to `outcomes()`.
  void Get(CallPriority priority, Duration deadline) {
    store_->Get(
        "a", {priority, deadline}, [this, priority](const auto& result) {
          outcomes_.emplace_back(
              priority, IsOk(result)
                            ? std::string("ok")
                            : std::string(ErrorCodeName(ErrorOf(result).code)));
        });
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + kBound;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(5));
    }
    return condition();
  }

  std::vector<std::pair<CallPriority, std::string>>& outcomes() {
    return outcomes_;
  }
  std::unique_ptr<HttpObjectStore>& store() { return store_; }
  MetricsRegistry& metrics() { return metrics_; }

 private:
  MetricsRegistry metrics_;
  boost::asio::io_context io_{1};
  std::vector<std::pair<CallPriority, std::string>> outcomes_;
  std::unique_ptr<HttpObjectStore> store_;
};

TEST_CASE("HttpObjectStore reserves a connection for lease calls") {
  // All connections but one are blocked by a silent store. Another kind of call
  // waits in the queue until its deadline and fails without effect, while a
  // lease call is sent at once.
  PlatformServer platform;
  PlatformFaults faults;
  faults.stall = true;
  platform.SetFaults(faults);
  Client client(platform.address());
  client.Get(CallPriority::kOrder, std::chrono::seconds(3));
  client.Get(CallPriority::kOrder, std::chrono::milliseconds(500));
  REQUIRE(client.RunUntil([&] { return platform.calls()["get"] == 1; }));
  client.Get(CallPriority::kLease, std::chrono::seconds(3));
  CHECK(client.RunUntil([&] { return platform.calls()["get"] == 2; }));
  REQUIRE(client.RunUntil([&] { return !client.outcomes().empty(); }));
  CHECK(client.outcomes()[0] ==
        std::pair(CallPriority::kOrder, std::string("overloaded")));
}

TEST_CASE("HttpObjectStore bounds its queue") {
  PlatformServer platform;
  Client client(platform.address());
  for (int i = 0; i < 5; ++i) {
    client.Get(CallPriority::kAudit, kBound);
  }
  REQUIRE(client.RunUntil([&] { return client.outcomes().size() == 5; }));
  const auto refused =
      std::count(client.outcomes().begin(), client.outcomes().end(),
                 std::pair(CallPriority::kAudit, std::string("overloaded")));
  CHECK(refused == 2);
}

TEST_CASE("HttpObjectStore counts its calls by kind") {
  PlatformServer platform;
  Client client(platform.address());
  client.Get(CallPriority::kOrder, kBound);
  const auto watch = client.store()->StartWatch(
      "a", 0, [](const std::vector<WatchEvent>&) {}, [](const Error&) {});
  const auto text = [&] { return client.metrics().ToPrometheusText(); };
  const auto has = [&](const std::string& line) {
    return text().find(line) != std::string::npos;
  };
  CHECK(client.RunUntil(
      [&] { return has("indigolead_store_watches_waiting 1"); }));
  CHECK(client.RunUntil(
      [&] { return has("indigolead_store_calls_total{kind=\"get\"} 1"); }));
  CHECK(has("indigolead_store_calls_total{kind=\"watch\"} 1"));
}

TEST_CASE("HttpObjectStore calls no callback after its destruction") {
  PlatformServer platform;
  PlatformFaults faults;
  faults.slow_ms = 50;
  platform.SetFaults(faults);
  Client client(platform.address());
  client.Get(CallPriority::kOrder, kBound);
  const auto watch = client.store()->StartWatch(
      "a", 0,
      [](const std::vector<WatchEvent>&) {
        FAIL("watch event after the store was destroyed");
      },
      [](const Error&) { FAIL("end of watch after the store was destroyed"); });
  REQUIRE(client.RunUntil([&] { return platform.calls()["get"] == 1; }));
  client.store().reset();
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(150);
  client.RunUntil([&] { return std::chrono::steady_clock::now() > until; });
  CHECK(client.outcomes().empty());
}

}  // namespace
}  // namespace indigolead
