#include "tests/platform/support/usage_receiver.h"

#include <algorithm>
#include <utility>

namespace indigolead::testing {
namespace {

using Json = nlohmann::json;
using standins::HttpExchange;
using standins::HttpRequest;
using standins::Task;

constexpr std::chrono::milliseconds kStep{20};

}  // namespace

UsageReceiver::UsageReceiver()
    : server_(0, [this](HttpExchange& exchange) { return Handle(exchange); }) {
  server_.Start();
}

void UsageReceiver::SetBehaviour(Behaviour behaviour) {
  server_.Invoke([&] { behaviour_ = behaviour; });
}

std::uint64_t UsageReceiver::Requests(const std::string& account) {
  std::uint64_t sum = 0;
  server_.Invoke([&] {
    for (const auto& [window, counts] : counts_) {
      sum += counts.value(account, std::uint64_t{0});
    }
  });
  return sum;
}

std::size_t UsageReceiver::windows() {
  std::size_t n = 0;
  server_.Invoke([&] { n = counts_.size(); });
  return n;
}

std::vector<std::string> UsageReceiver::errors() {
  std::vector<std::string> errors;
  server_.Invoke([&] { errors = errors_; });
  return errors;
}

Task UsageReceiver::Handle(HttpExchange& exchange) {
  if (exchange.request().path != "/usage" ||
      exchange.request().method != "POST") {
    co_await exchange.Reply(404, "", {});
    co_return;
  }
  if (behaviour_ == Behaviour::kBusy) {
    co_await exchange.Reply(503, "", {});
    co_return;
  }
  Record(exchange.request());
  if (behaviour_ == Behaviour::kResets) {
    exchange.Abort();
    co_return;
  }
  if (behaviour_ == Behaviour::kSlow) {
    co_await exchange.Sleep(kSlowness);
  }
  while (behaviour_ == Behaviour::kSilent && exchange.open()) {
    co_await exchange.Sleep(kStep);
  }
  co_await exchange.Reply(200, "", {});
}

void UsageReceiver::Record(const HttpRequest& request) {
  const Json report = Json::parse(request.body, nullptr, false);
  const std::string fence = request.Header("X-Fencing-Token");
  const bool readable = report.is_object() && report.contains("window") &&
                        report.at("window").is_number_integer() &&
                        report.contains("counts") &&
                        report.at("counts").is_object() && !fence.empty() &&
                        !request.Header("X-Lease-Holder").empty();
  if (!readable) {
    errors_.push_back("usage report cannot be parsed");
    return;
  }
  const std::uint64_t number = std::stoull(fence);
  if (number < highest_) {
    errors_.push_back("fencing number decreased");
  }
  highest_ = std::max(highest_, number);
  const auto [it, first] = counts_.emplace(
      report.at("window").get<std::int64_t>(), report.at("counts"));
  if (!first && it->second != report.at("counts")) {
    errors_.push_back("different reports for one window");
  }
}

}  // namespace indigolead::testing
