#include "tests/platform/support/model_worker.h"

#include <utility>

namespace indigolead::testing {
namespace {

using Json = nlohmann::json;
using standins::HttpExchange;
using standins::HttpHeaders;
using standins::HttpRequest;
using standins::Task;

}  // namespace

ModelWorker::ModelWorker(Options options)
    : options_(std::move(options)),
      server_(0, [this](HttpExchange& exchange) { return Handle(exchange); }) {
  server_.Start();
}

Json ModelWorker::Registration() {
  Json registration = {{"service", options_.service},
                       {"address", server_.address()},
                       {"zone", options_.failure_domain},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", "ready"}};
  if (options_.is_engine) {
    registration["stage"] = stage();
  }
  return registration;
}

std::string ModelWorker::stage() {
  std::string stage;
  server_.Invoke([&] { stage = stage_; });
  return stage;
}

int ModelWorker::runs(const std::string& request_id) {
  int n = 0;
  server_.Invoke([&] { n = runs_[request_id]; });
  return n;
}

int ModelWorker::prefills() {
  int n = 0;
  server_.Invoke([&] { n = prefills_; });
  return n;
}

void ModelWorker::SetResetting(bool resetting) {
  server_.Invoke([&] { resetting_ = resetting; });
}

Task ModelWorker::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string expected = request.Header("X-Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    co_await exchange.Reply(421, "", {});
  } else if (request.path == "/api/report") {
    const Json report = {{"stage", stage_}, {"seq", orders_}, {"busy", false}};
    std::string body = report.dump();
    co_await exchange.Reply(200, std::move(body), {});
  } else if (request.path == "/api/order") {
    co_await Order(exchange);
  } else if (request.Header("X-Stage") == "prefill") {
    co_await Prefill(exchange);
  } else {
    co_await Run(exchange);
  }
}

Task ModelWorker::Order(HttpExchange& exchange) {
  const Json order = Json::parse(exchange.request().body, nullptr, false);
  if (order.is_discarded() || !order.contains("fence")) {
    co_await exchange.Reply(400, "", {});
  } else if (order.value("expect", orders_) != orders_) {
    co_await exchange.Reply(409, "", {});
  } else {
    ++orders_;
    stage_ = order.at("stage").get<std::string>();
    co_await exchange.Reply(202, "", {});
  }
}

Task ModelWorker::Prefill(HttpExchange& exchange) {
  if (stage_ != "prefill") {
    co_await exchange.Reply(421, "", {});
    co_return;
  }
  ++prefills_;
  const Json reply = {{"kv-handle", "h" + std::to_string(prefills_)},
                      {"tokens", 100}};
  std::string body = reply.dump();
  co_await exchange.Reply(200, std::move(body), {});
}

Task ModelWorker::Run(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string id = request.Header("X-Request-Id");
  if (options_.is_engine && stage_ != "decode") {
    co_await exchange.Reply(421, "", {});
    co_return;
  }
  ++runs_[id];
  if (resetting_) {
    exchange.Abort();
    co_return;
  }
  if (!options_.is_engine) {
    HttpHeaders headers = {{"X-Request-Id", id},
                           {"X-Response-Signature", "sig-" + options_.id}};
    std::string body = "menu of " + options_.id;
    co_await exchange.Reply(200, std::move(body), std::move(headers));
    co_return;
  }
  co_await exchange.StartChunks(200, "text/event-stream");
  for (int n = 1; n <= options_.events && exchange.open(); ++n) {
    std::string event = "id: " + std::to_string(n) + "\ndata: token" +
                        std::to_string(n) + "\n\n";
    co_await exchange.WriteChunk(std::move(event));
    co_await exchange.Sleep(options_.event_gap);
  }
  co_await exchange.EndChunks();
}

}  // namespace indigolead::testing
