#include "standins/service_server.h"

#include <nlohmann/json.hpp>

namespace indigolead::standins {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHoldStep{5};

std::string Echo(const HttpRequest& request) {
  nlohmann::json headers = nlohmann::json::array();
  for (const auto& [name, value] : request.headers) {
    headers.push_back({name, value});
  }
  const nlohmann::json json{{"method", request.method},
                            {"path", request.path},
                            {"query", request.query},
                            {"headers", headers},
                            {"body", request.body}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

ServiceServer::ServiceServer(Options options) : options_(std::move(options)) {
  if (!options_.on_poison) {
    options_.on_poison = [this] { server_->SetDownOnServerThread(true); };
  }
  server_ = std::make_unique<HttpServer>(
      options_.port,
      [this](HttpExchange& exchange) { return Handle(exchange); });
  server_->Start();
}

void ServiceServer::SetDelay(std::uint32_t delay_ms) {
  server_->Invoke([&] { options_.delay_ms = delay_ms; });
}

void ServiceServer::SetHold(bool hold) {
  server_->Invoke([&] { hold_ = hold; });
}

std::vector<RunRecord> ServiceServer::runs() {
  std::vector<RunRecord> records;
  server_->Invoke([&] { records = log_.records(); });
  return records;
}

Task ServiceServer::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.path == "/standin/runs") {
    const std::string body = log_.ToJson();
    co_await exchange.Reply(200, body, {});
    co_return;
  }
  if (request.path == "/standin/hold") {
    hold_ = request.body == "on";
    co_await exchange.Reply(200, "{}", {});
    co_return;
  }
  if (request.path == "/health") {
    co_await exchange.Reply(200, "{\"status\":\"ok\"}", {});
    co_return;
  }
  const std::size_t run = log_.Start(request);
  if (!options_.poison.empty() &&
      (request.body + request.path).find(options_.poison) !=
          std::string::npos) {
    log_.Cut(run);
    options_.on_poison();
    co_return;
  }
  if (options_.delay_ms > 0) {
    co_await exchange.Sleep(milliseconds(options_.delay_ms));
  }
  while (hold_ && exchange.open()) {
    co_await exchange.Sleep(kHoldStep);
  }
  const std::string body = Echo(request);
  const std::uint64_t chunks = request.QueryNumber("chunks", 0);
  const int status = static_cast<int>(request.QueryNumber("status", 200));
  if (chunks > 0) {
    co_await Stream(exchange, body, chunks);
  } else {
    co_await exchange.Reply(status, body, {});
  }
  log_.Finish(run);
}

Task ServiceServer::Stream(HttpExchange& exchange, std::string body,
                           std::uint64_t chunks) {
  const milliseconds delay(exchange.request().QueryNumber("delay_ms", 0));
  co_await exchange.StartChunks(200, "application/json");
  const std::size_t step = body.size() / chunks + 1;
  for (std::size_t at = 0; at < body.size(); at += step) {
    if (at > 0 && delay.count() > 0) {
      co_await exchange.Sleep(delay);
    }
    const std::string part = body.substr(at, step);
    co_await exchange.WriteChunk(part);
  }
  co_await exchange.EndChunks();
}

}  // namespace indigolead::standins
