#include "standins/platform_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "standins/platform_json.h"
#include "store/base64.h"

namespace indigolead::standins {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr char kObjectPath[] = "/v1/objects/";
constexpr std::size_t kMaxValueBytes = 1U << 20;
constexpr char kGarbage[] = "{\"items\":[{\"meta";
constexpr milliseconds kIdleInterval{1000};
constexpr milliseconds kPollInterval{100};

/// Counts a watch as open for the lifetime of its coroutine.
class WatchCount {
 public:
  explicit WatchCount(int* count) : count_(count) { ++*count_; }
  ~WatchCount() { --*count_; }
  WatchCount(const WatchCount&) = delete;
  WatchCount& operator=(const WatchCount&) = delete;

 private:
  int* count_;
};

HttpHeaders VersionHeader(std::uint64_t version) {
  return {{"X-Version", std::to_string(version)}};
}

}  // namespace

PlatformServer::PlatformServer(Options options)
    : options_(options), table_(options.max_events) {
  server_ = std::make_unique<HttpServer>(
      options.port,
      [this](HttpExchange& exchange) { return Handle(exchange); });
  changed_ = std::make_unique<Notifier>(&server_->io());
  server_->Start();
}

PlatformFaults PlatformServer::faults() {
  PlatformFaults faults;
  server_->Invoke([&] { faults = faults_; });
  return faults;
}

void PlatformServer::SetFaults(const PlatformFaults& faults) {
  server_->Invoke([&] { ApplyFaults(faults); });
}

void PlatformServer::ApplyFaults(const PlatformFaults& faults) {
  if (faults.stale_reads && !faults_.stale_reads) {
    stale_table_ = table_;
  }
  faults_ = faults;
}

void PlatformServer::DropWatches() {
  server_->Invoke([this] {
    ++watch_epoch_;
    changed_->NotifyAll();
  });
}

void PlatformServer::PutInstance(const InstanceRecord& record) {
  server_->Invoke([&] { instances_.Put(record, ShownAt()); });
}

void PlatformServer::RemoveInstance(const std::string& name) {
  server_->Invoke([&] { instances_.Remove(name, ShownAt()); });
}

std::optional<StoredObject> PlatformServer::Peek(const std::string& key) {
  std::optional<StoredObject> object;
  server_->Invoke([&] { object = table_.Get(key); });
  return object;
}

std::uint64_t PlatformServer::Poke(const std::string& key,
                                   const std::string& value,
                                   ExpectedVersion expected) {
  ObjectTable::WriteOutcome outcome;
  server_->Invoke([&] {
    outcome = table_.Put(key, value, expected);
    changed_->NotifyAll();
  });
  return outcome.done ? outcome.version : 0;
}

std::map<std::string, std::uint64_t> PlatformServer::calls() {
  std::map<std::string, std::uint64_t> calls;
  server_->Invoke([&] { calls = calls_; });
  return calls;
}

int PlatformServer::waiting_watches() {
  int count = 0;
  server_->Invoke([&] { count = waiting_watches_; });
  return count;
}

InstanceTable::SteadyTime PlatformServer::ShownAt() const {
  return std::chrono::steady_clock::now() + options_.instance_lag;
}

bool PlatformServer::Affects(const std::string& key) const {
  return key.starts_with(faults_.only_prefix);
}

const ObjectTable& PlatformServer::ReadTable(const std::string& key) const {
  return faults_.stale_reads && Affects(key) ? stale_table_ : table_;
}

Task PlatformServer::Handle(HttpExchange& exchange) {
  const std::string& path = exchange.request().path;
  if (path == "/v1/objects") {
    co_await HandleObjects(exchange);
  } else if (path.starts_with(kObjectPath)) {
    co_await HandleObject(exchange, path.substr(sizeof(kObjectPath) - 1));
  } else if (path == "/v1/watch") {
    co_await HandleWatch(exchange);
  } else if (path == "/v1/instances") {
    co_await HandleInstances(exchange);
  } else {
    co_await HandleStandin(exchange);
  }
}

Task PlatformServer::Stall(HttpExchange& exchange) {
  // A suspended handler does not notice that the caller has closed the
  // connection, so it waits until the fault is disabled and then resets it.
  while (exchange.open() && (faults_.stall || faults_.lose_by_silence)) {
    co_await exchange.Sleep(kPollInterval);
  }
  exchange.Abort();
}

Task PlatformServer::InjectFaults(HttpExchange& exchange, std::string key,
                                  bool* served) {
  *served = true;
  if (!Affects(key)) {
    co_return;
  }
  if (faults_.slow_ms > 0) {
    co_await exchange.Sleep(milliseconds(faults_.slow_ms));
  }
  if (faults_.stall) {
    *served = false;
    co_await Stall(exchange);
  } else if (faults_.reset) {
    *served = false;
    exchange.Abort();
  } else if (faults_.garble) {
    *served = false;
    co_await exchange.Reply(200, kGarbage, {});
  } else if (faults_.refuse) {
    *served = false;
    co_await exchange.Reply(503, "", {});
  }
}

Task PlatformServer::HandleObjects(HttpExchange& exchange) {
  ++calls_["list"];
  const std::string prefix = exchange.request().Query("prefix");
  bool served = false;
  co_await InjectFaults(exchange, prefix, &served);
  if (served) {
    const std::string body = ListingToJson(ReadTable(prefix).List(prefix));
    co_await exchange.Reply(200, body, {});
  }
}

Task PlatformServer::HandleObject(HttpExchange& exchange, std::string key) {
  const std::string method = exchange.request().method;
  ++calls_[method == "GET" ? "get" : method == "PUT" ? "put" : "delete"];
  if (!IsValidKey(key)) {
    co_await exchange.Reply(400, "{\"error\":\"invalid key\"}", {});
    co_return;
  }
  bool served = false;
  co_await InjectFaults(exchange, key, &served);
  if (!served) {
    co_return;
  }
  if (method != "GET") {
    co_await Write(exchange, key);
    co_return;
  }
  const auto object = ReadTable(key).Get(key);
  if (!object) {
    co_await exchange.Reply(404, "", {});
    co_return;
  }
  HttpHeaders headers = VersionHeader(object->version);
  headers.emplace_back("Content-Type", "application/octet-stream");
  co_await exchange.Reply(200, object->value, headers);
}

Task PlatformServer::Write(HttpExchange& exchange, std::string key) {
  const HttpRequest& request = exchange.request();
  const std::string expected_text = request.Header("X-Expected-Version");
  if (expected_text.empty() || request.body.size() > kMaxValueBytes) {
    co_await exchange.Reply(expected_text.empty() ? 400 : 413, "", {});
    co_return;
  }
  const std::uint64_t expected = std::stoull(expected_text);
  const auto outcome = request.method == "PUT"
                           ? table_.Put(key, request.body, expected)
                           : table_.Delete(key, expected);
  changed_->NotifyAll();
  if (faults_.lose_answers > 0 && Affects(key)) {
    --faults_.lose_answers;
    if (faults_.lose_by_silence) {
      co_await Stall(exchange);
    }
    exchange.Abort();
    co_return;
  }
  const HttpHeaders headers = VersionHeader(outcome.version);
  co_await exchange.Reply(outcome.done ? 200 : 409, "", headers);
}

Task PlatformServer::HandleWatch(HttpExchange& exchange) {
  ++calls_["watch"];
  const std::string prefix = exchange.request().Query("prefix");
  std::uint64_t from = exchange.request().QueryNumber("from", 0);
  bool served = false;
  co_await InjectFaults(exchange, prefix, &served);
  if (!served) {
    co_return;
  }
  if (!table_.HasChangesAfter(from)) {
    co_await exchange.Reply(410, "", {});
    co_return;
  }
  const WatchCount count(&waiting_watches_);
  const std::uint64_t epoch = watch_epoch_;
  co_await exchange.StartChunks(200, "application/x-ndjson");
  auto last_write = std::chrono::steady_clock::now() - kIdleInterval;
  while (exchange.open() && epoch == watch_epoch_) {
    const auto now = std::chrono::steady_clock::now();
    const bool silent = faults_.silence_watches && Affects(prefix);
    std::string lines;
    if (!silent && table_.version() > from) {
      lines = EventsToJsonLines(table_.EventsAfter(from, prefix));
      from = table_.version();
    }
    if (!silent && lines.empty() && now - last_write >= kIdleInterval) {
      lines = "{\"idle\":true,\"version\":" + std::to_string(from) + "}\n";
    }
    if (!lines.empty()) {
      last_write = now;
      co_await exchange.WriteChunk(lines);
      continue;  // Notifications during the write were missed.
    }
    co_await changed_->Wait(kPollInterval);
  }
  exchange.Abort();
}

Task PlatformServer::HandleInstances(HttpExchange& exchange) {
  ++calls_["instances"];
  bool served = false;
  co_await InjectFaults(exchange, "", &served);
  if (served) {
    const auto now = std::chrono::steady_clock::now();
    const std::string body = InstanceListToJson(instances_.Shown(now));
    co_await exchange.Reply(200, body, {});
  }
}

Task PlatformServer::HandleStandin(HttpExchange& exchange) {
  const std::string& path = exchange.request().path;
  if (path.starts_with("/standin/instances")) {
    co_await HandleStandinInstances(exchange);
  } else if (path == "/standin/faults") {
    co_await HandleStandinFaults(exchange);
  } else if (path == "/standin/calls") {
    Json json = calls_;
    json["waiting_watches"] = waiting_watches_;
    const std::string body = json.dump();
    co_await exchange.Reply(200, body, {});
  } else {
    co_await exchange.Reply(404, "", {});
  }
}

Task PlatformServer::HandleStandinInstances(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.method == "PUT") {
    const auto record = InstanceFromJson(request.body);
    if (!record) {
      co_await exchange.Reply(400, "{\"error\":\"invalid record\"}", {});
      co_return;
    }
    instances_.Put(*record, ShownAt());
  } else if (request.method == "DELETE") {
    instances_.Remove(request.path.substr(request.path.rfind('/') + 1),
                      ShownAt());
  }
  co_await exchange.Reply(200, "{}", {});
}

Task PlatformServer::HandleStandinFaults(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.method == "PUT") {
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
      co_await exchange.Reply(400, "{\"error\":\"not a JSON object\"}", {});
      co_return;
    }
    ApplyFaults(FaultsFromJson(request.body, faults_));
    if (json.value("drop_watches", false)) {
      ++watch_epoch_;
      changed_->NotifyAll();
    }
    if (json.contains("instance_lag_ms")) {
      options_.instance_lag = milliseconds(json.value("instance_lag_ms", 0));
    }
    if (json.value("down_ms", 0) > 0) {
      TakeDownFor(milliseconds(json.value("down_ms", 0)));
    }
  }
  const std::string body = FaultsToJson(faults_);
  co_await exchange.Reply(200, body, {});
}

void PlatformServer::TakeDownFor(milliseconds ms) {
  // The delay lets the response reach the caller before the outage starts.
  constexpr milliseconds kOutageDelay{50};
  boost::asio::co_spawn(
      server_->io(),
      [this, ms, kOutageDelay]() -> Task {
        boost::asio::steady_timer timer(server_->io(), kOutageDelay);
        co_await timer.async_wait(boost::asio::use_awaitable);
        server_->SetDownOnServerThread(true);
        timer.expires_after(ms);
        co_await timer.async_wait(boost::asio::use_awaitable);
        server_->SetDownOnServerThread(false);
      },
      boost::asio::detached);
}

}  // namespace indigolead::standins
