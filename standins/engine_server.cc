#include "standins/engine_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "core/base/ids.h"
#include "runtime/clock.h"
#include "standins/engine_run.h"

namespace indigolead::standins {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr char kStreamPath[] = "/v1/streams/";
constexpr std::size_t kMaxStreams = 4096;
constexpr std::size_t kMaxEventsPerWrite = 256;
constexpr milliseconds kWaitStep{200};

std::string ErrorJson(const std::string& message) {
  return Json{{"error", {{"message", message}}}}.dump();
}

}  // namespace

EngineServer::EngineServer(EngineOptions options)
    : options_(std::move(options)),
      boot_id_(ToHex(RandomId())),
      cache_(options_.cache_blocks) {
  state_ = State{
      options_.role, options_.model, options_.version, options_.adapters, 0, 0};
  if (!options_.on_poison) {
    options_.on_poison = [this] { CrashOnServerThread(); };
  }
  server_ = std::make_unique<HttpServer>(
      options_.port,
      [this](HttpExchange& exchange) { return Handle(exchange); });
  slots_changed_ = std::make_unique<Notifier>(&server_->io());
  server_->Start();
}

void EngineServer::Crash() {
  server_->Invoke([this] { CrashOnServerThread(); });
}

void EngineServer::CrashOnServerThread() {
  ++boot_;
  crashed_ = true;
  AbortRuns();
  ResetState();
  server_->SetDownOnServerThread(true);
}

void EngineServer::ResetState() {
  streams_.clear();
  stream_order_.clear();
  cache_ = PrefixCache(options_.cache_blocks);
  cache_events_.clear();
  changing_ = false;
  state_ = State{
      options_.role, options_.model, options_.version, options_.adapters, 0, 0};
  load_json_.clear();
}

void EngineServer::Restart() {
  server_->Invoke([this] {
    boot_id_ = ToHex(RandomId());
    crashed_ = false;
    server_->SetDownOnServerThread(false);
  });
}

std::vector<RunRecord> EngineServer::runs() {
  std::vector<RunRecord> records;
  server_->Invoke([&] { records = log_.records(); });
  return records;
}

std::vector<OrderRecord> EngineServer::orders() {
  std::vector<OrderRecord> orders;
  server_->Invoke([&] { orders = orders_; });
  return orders;
}

void EngineServer::Change(const std::function<void(EngineOptions*)>& change) {
  server_->Invoke([&] { change(&options_); });
}

Task EngineServer::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.path == "/v1/completions") {
    co_await HandleCompletion(exchange, false);
  } else if (request.path == "/v1/chat/completions") {
    co_await HandleCompletion(exchange, true);
  } else if (request.path.starts_with(kStreamPath)) {
    co_await HandleStream(exchange);
  } else if (request.path == "/order") {
    co_await HandleOrder(exchange);
  } else if (request.path == "/cache-events") {
    co_await HandleCacheEvents(exchange);
  } else if (request.path.starts_with("/kv/")) {
    co_await HandleKv(exchange);
  } else {
    co_await HandleReports(exchange);
  }
}

Task EngineServer::HandleReports(HttpExchange& exchange) {
  const std::string& path = exchange.request().path;
  int status = 200;
  std::string body = "{}";
  if (path == "/health") {
    status = changing_ ? 503 : 200;
  } else if (path == "/load") {
    body = LoadJson();
  } else if (path == "/state") {
    body = StateJson();
  } else if (path == "/v1/models") {
    body = Json{{"object", "list"},
                {"data", Json::array({{{"id", state_.model},
                                       {"object", "model"},
                                       {"version", state_.version}}})}}
               .dump();
  } else if (path == "/standin/runs") {
    body = log_.ToJson();
  } else if (path == "/standin/orders") {
    body = OrdersJson();
  } else {
    status = 404;
  }
  co_await exchange.Reply(status, body, {});
}

Task EngineServer::HandleCompletion(HttpExchange& exchange, bool chat) {
  const HttpRequest& http = exchange.request();
  const auto request = ParseCompletion(chat, http.body);
  int refusal = 0;
  std::string reason;
  if (!request) {
    refusal = 400;
    reason = "not a JSON object";
  } else if (changing_) {
    refusal = 503;
    reason = "a change is in progress";
  } else if (request->model != state_.model) {
    refusal = 404;
    reason = "model not loaded";
  }
  if (refusal != 0) {
    const std::string body = ErrorJson(reason);
    co_await exchange.Reply(refusal, body, {});
    co_return;
  }
  std::string id = http.Header("X-Request-Id");
  if (id.empty()) {
    id = "standin-" + std::to_string(++next_id_);
  }
  const std::size_t cached_bytes =
      cache_.CachedBytes(request->model, request->prompt);
  const std::uint32_t cached =
      CountTokens(request->prompt.substr(0, cached_bytes));
  const RunPtr run = std::make_shared<Run>(
      &server_->io(), *request, CompletionResponse(*request, id, cached));
  run->id = id;
  run->boot = boot_;
  run->priority = std::atoi(http.Header("X-Priority").c_str());
  run->uncached_tokens = run->completion.prompt_tokens() -
                         std::min(cached, run->completion.prompt_tokens());
  run->log_number = log_.Start(http);
  streams_[id] = run;
  stream_order_.push_back(id);
  if (stream_order_.size() > kMaxStreams) {
    streams_.erase(stream_order_.front());
    stream_order_.pop_front();
  }
  boost::asio::co_spawn(
      server_->io(), [this, run]() -> Task { co_await Generate(run); },
      boost::asio::detached);
  if (request->stream) {
    co_await SendEvents(exchange, run, 0);
    co_return;
  }
  while (!run->ended && exchange.open()) {
    co_await run->changed.Wait(kWaitStep);
  }
  if (run->cut) {
    exchange.Abort();
    co_return;
  }
  const std::string body = run->completion.FullJson();
  co_await exchange.Reply(200, body, {});
}

Task EngineServer::HandleStream(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const auto it = streams_.find(request.path.substr(sizeof(kStreamPath) - 1));
  if (it == streams_.end()) {
    co_await exchange.Reply(404, "{}", {});
    co_return;
  }
  const RunPtr run = it->second;
  if (request.method == "DELETE") {
    EndRun(run, true);
    co_await exchange.Reply(200, "{}", {});
    co_return;
  }
  co_await SendEvents(exchange, run, request.QueryNumber("from", 0));
}

Task EngineServer::SendEvents(HttpExchange& exchange, RunPtr run,
                              std::size_t from) {
  co_await exchange.StartChunks(200, "text/event-stream");
  while (exchange.open()) {
    std::string text;
    const std::size_t end =
        std::min(run->events.size(), from + kMaxEventsPerWrite);
    for (; from < end; ++from) {
      text += "data: " + run->events[from] + "\n\n";
    }
    if (!text.empty()) {
      co_await exchange.WriteChunk(text);
    } else if (run->cut) {
      exchange.Abort();
    } else if (run->ended) {
      co_await exchange.EndChunks();
      co_return;
    } else {
      co_await run->changed.Wait(kWaitStep);
    }
  }
}

Task EngineServer::HandleKv(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const Json json = Json::parse(request.body, nullptr, false);
  const std::string id =
      json.is_object() ? json.value("request_id", std::string()) : "";
  const auto it = streams_.find(id);
  if (request.path == "/kv/import") {
    co_await exchange.Reply(200, "{\"imported\":true}", {});
  } else if (it == streams_.end()) {
    co_await exchange.Reply(404, "{}", {});
  } else {
    const std::uint64_t bytes =
        it->second->completion.prompt_tokens() * options_.kv_bytes_per_token;
    const std::string body =
        Json{{"request_id", id}, {"kv_bytes", bytes}}.dump();
    co_await exchange.Reply(200, body, {});
  }
}

}  // namespace indigolead::standins
