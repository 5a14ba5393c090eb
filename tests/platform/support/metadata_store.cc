#include "tests/platform/support/metadata_store.h"

#include <algorithm>
#include <utility>

namespace indigolead::testing {
namespace {

using Json = nlohmann::json;
using standins::HttpExchange;
using standins::HttpRequest;
using standins::Task;
using std::chrono::milliseconds;

constexpr char kPrefix[] = "/api/objects/";
constexpr std::size_t kPage = 4;  // Small, so that tests turn pages.
constexpr milliseconds kSilence{20000};

const standins::HttpHeaders& JsonType() {
  static const standins::HttpHeaders headers = {
      {"Content-Type", "application/json"}};
  return headers;
}

}  // namespace

MetadataStore::MetadataStore()
    : server_(0, [this](HttpExchange& exchange) { return Handle(exchange); }) {
  changed_ = std::make_unique<standins::Notifier>(&server_.io());
  server_.Start();
}

MetadataStore::~MetadataStore() = default;

void MetadataStore::Put(const std::string& kind, const std::string& name,
                        const Json& spec) {
  server_.Invoke([&] { Store(kind, name, spec); });
}

void MetadataStore::Remove(const std::string& kind, const std::string& name) {
  server_.Invoke([&] {
    const Json object = JsonOf(name, kinds_[kind][name]);
    kinds_[kind].erase(name);
    history_.push_back({++revision_, kind, name, object, true});
    changed_->NotifyAll();
  });
}

Json MetadataStore::Get(const std::string& kind, const std::string& name) {
  Json spec;
  server_.Invoke([&] {
    const auto it = kinds_[kind].find(name);
    spec = it == kinds_[kind].end() ? Json() : it->second.spec;
  });
  return spec;
}

void MetadataStore::SetFault(Fault fault) {
  server_.Invoke([&] { fault_ = fault; });
}

void MetadataStore::LoseAnswers(int n) {
  server_.Invoke([&] { lose_answers_ = n; });
}

void MetadataStore::Compact() {
  server_.Invoke([&] {
    compacted_ = ++revision_;
    history_.clear();
    changed_->NotifyAll();
  });
}

void MetadataStore::Store(const std::string& kind, const std::string& name,
                          const Json& spec) {
  Object& object = kinds_[kind][name];
  object.spec = spec;
  object.revision = ++revision_;
  history_.push_back({revision_, kind, name, JsonOf(name, object), false});
  changed_->NotifyAll();
}

Json MetadataStore::JsonOf(const std::string& name,
                           const Object& object) const {
  return {{"metadata", {{"name", name}, {"revision", object.revision}}},
          {"spec", object.spec},
          {"status", nullptr}};
}

Json MetadataStore::EventsSince(const std::string& kind,
                                std::uint64_t revision) const {
  Json events = Json::array();
  for (const Event& it : history_) {
    if (it.revision > revision && it.kind == kind) {
      events.push_back({{"deleted", it.deleted}, {"object", it.object}});
    }
  }
  return events;
}

Task MetadataStore::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (fault_ == Fault::kReset) {
    exchange.Abort();
    co_return;
  }
  if (fault_ == Fault::kSilent) {
    co_await exchange.Sleep(kSilence);
    exchange.Abort();
    co_return;
  }
  if (fault_ == Fault::kRefuse) {
    co_await exchange.Reply(503, "", {});
    co_return;
  }
  std::string rest = request.path.substr(sizeof(kPrefix) - 1);
  const auto slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (request.method != "GET") {
    co_await Write(exchange, kind, name);
  } else if (!request.Query("watch").empty()) {
    co_await Watch(exchange, kind);
  } else if (name.empty()) {
    co_await List(exchange, kind);
  } else if (kinds_[kind].count(name) == 0) {
    co_await exchange.Reply(404, "", {});
  } else {
    std::string body = JsonOf(name, kinds_[kind][name]).dump();
    co_await exchange.Reply(200, std::move(body), JsonType());
  }
}

Task MetadataStore::List(HttpExchange& exchange, const std::string& kind) {
  const std::string after = exchange.request().Query("after");
  Json items = Json::array();
  bool more = false;
  for (const auto& [name, object] : kinds_[kind]) {
    if (name <= after) {
      continue;
    }
    more = items.size() == kPage;
    if (more) {
      break;
    }
    items.push_back(JsonOf(name, object));
  }
  const Json reply = {{"items", items}, {"has-more", more}, {"at", revision_}};
  std::string body = reply.dump();
  co_await exchange.Reply(200, std::move(body), JsonType());
}

Task MetadataStore::Watch(HttpExchange& exchange, const std::string& kind) {
  const std::uint64_t from = exchange.request().QueryNumber("watch", 0);
  const milliseconds wait(exchange.request().QueryNumber("wait-ms", 0));
  if (from >= compacted_ && EventsSince(kind, from).empty()) {
    // Woken by changes of other kinds too: then the watch ends empty, early.
    co_await changed_->Wait(wait);
  }
  if (from < compacted_) {
    co_await exchange.Reply(410, "", {});
    co_return;
  }
  const Json reply = {{"events", EventsSince(kind, from)}, {"at", revision_}};
  std::string body = reply.dump();
  co_await exchange.Reply(200, std::move(body), JsonType());
}

Task MetadataStore::Write(HttpExchange& exchange, const std::string& kind,
                          std::string name) {
  const HttpRequest& request = exchange.request();
  const Json body = Json::parse(request.body, nullptr, false);
  if (body.is_discarded() || !body.contains("metadata")) {
    co_await exchange.Reply(400, "", {});
    co_return;
  }
  const Json& metadata = body.at("metadata");
  name = metadata.at("name").get<std::string>();
  const auto held = kinds_[kind].find(name);
  const bool exists = held != kinds_[kind].end();
  const std::uint64_t expected = metadata.value("revision", std::uint64_t{0});
  const bool fits =
      request.method == "POST"
          ? !exists
          : exists && (expected == 0 || expected == held->second.revision);
  if (fits) {
    Store(kind, name, body.at("spec"));
    if (lose_answers_ > 0) {
      --lose_answers_;
      exchange.Abort();
      co_return;
    }
  }
  std::string reply = JsonOf(name, kinds_[kind][name]).dump();
  co_await exchange.Reply(fits ? 200 : 409, std::move(reply), JsonType());
}

}  // namespace indigolead::testing
