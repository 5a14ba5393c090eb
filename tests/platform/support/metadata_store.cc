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
constexpr std::size_t kPage = 4;  // Small, so that tests read several pages.
constexpr milliseconds kStallStep{50};
/// Start of the string that stands for a spec that was written as text.
constexpr char kTextMark[] = "spec-as-text-";

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

void MetadataStore::PutText(const std::string& kind, const std::string& name,
                            const std::string& text) {
  server_.Invoke([&] {
    texts_.push_back(text);
    Store(kind, name, kTextMark + std::to_string(texts_.size() - 1));
  });
}

std::string MetadataStore::TextOf(const Json& reply) const {
  std::string text = reply.dump();
  const std::string mark = std::string("\"") + kTextMark;
  for (auto at = text.find(mark); at != std::string::npos;
       at = text.find(mark, at)) {
    const std::size_t end = text.find('"', at + 1);
    const std::size_t number = std::stoul(text.substr(at + mark.size(), end));
    text.replace(at, end + 1 - at, texts_.at(number));
    at += texts_.at(number).size();
  }
  return text;
}

void MetadataStore::Remove(const std::string& kind, const std::string& name) {
  server_.Invoke([&] { Erase(kind, name); });
}

void MetadataStore::Erase(const std::string& kind, const std::string& name) {
  const Json object = JsonOf(name, kinds_[kind][name]);
  kinds_[kind].erase(name);
  history_.push_back({++revision_, kind, name, object, true});
  changed_->NotifyAll();
}

Json MetadataStore::Get(const std::string& kind, const std::string& name) {
  Json spec;
  server_.Invoke([&] {
    const auto it = kinds_[kind].find(name);
    spec = it == kinds_[kind].end() ? Json() : it->second.spec;
  });
  return spec;
}

std::uint64_t MetadataStore::RevisionOf(const std::string& kind,
                                        const std::string& name) {
  std::uint64_t revision = 0;
  server_.Invoke([&] {
    const auto it = kinds_[kind].find(name);
    revision = it == kinds_[kind].end() ? 0 : it->second.revision;
  });
  return revision;
}

void MetadataStore::SetFaults(const standins::PlatformFaults& faults) {
  server_.Invoke([&] {
    if (faults.stale_reads && !faults_.stale_reads) {
      stale_kinds_ = kinds_;
    }
    faults_ = faults;
  });
}

int MetadataStore::stale_lists() {
  int n = 0;
  server_.Invoke([&] { n = stale_lists_; });
  return n;
}

int MetadataStore::watch_calls() {
  int n = 0;
  server_.Invoke([&] { n = watch_calls_; });
  return n;
}

void MetadataStore::DropWatches() {
  server_.Invoke([&] {
    ++watch_epoch_;
    drop_next_watch_ = waiting_watches_ == 0;
    changed_->NotifyAll();
  });
}

MetadataStore::Objects& MetadataStore::VisibleObjects(const std::string& kind) {
  return faults_.stale_reads ? stale_kinds_[kind] : kinds_[kind];
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
  Announce(kind, name, &object);
}

void MetadataStore::Announce(const std::string& kind, const std::string& name,
                             Object* object) {
  object->revision = ++revision_;
  history_.push_back({revision_, kind, name, JsonOf(name, *object), false});
  changed_->NotifyAll();
}

Json MetadataStore::JsonOf(const std::string& name,
                           const Object& object) const {
  return {{"metadata", {{"name", name}, {"revision", object.revision}}},
          {"spec", object.spec},
          {"status", object.status}};
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

Task MetadataStore::Stall(HttpExchange& exchange) {
  while (exchange.open() && (faults_.stall || faults_.lose_by_silence)) {
    co_await exchange.Sleep(kStallStep);
  }
  exchange.Abort();
}

Task MetadataStore::Misbehave(HttpExchange& exchange, bool* served) {
  *served = false;
  if (faults_.slow_ms > 0) {
    co_await exchange.Sleep(milliseconds(faults_.slow_ms));
  }
  if (faults_.reset) {
    exchange.Abort();
  } else if (faults_.stall) {
    co_await Stall(exchange);
  } else if (faults_.garble) {
    co_await exchange.Reply(200, "{\"items\":[{\"meta", JsonType());
  } else if (faults_.refuse) {
    co_await exchange.Reply(503, "", {});
  } else {
    *served = true;
  }
}

Task MetadataStore::Handle(HttpExchange& exchange) {
  bool served = false;
  co_await Misbehave(exchange, &served);
  if (served) {
    co_await Serve(exchange);
  }
}

Task MetadataStore::Serve(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string rest = request.path.substr(sizeof(kPrefix) - 1);
  const auto slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (request.method == "DELETE") {
    co_await Delete(exchange, kind, name);
  } else if (request.method != "GET") {
    const auto end = name.find("/status");
    if (end == std::string::npos) {
      co_await Write(exchange, kind, name);
    } else {
      co_await WriteStatus(exchange, kind, name.substr(0, end));
    }
  } else if (!request.Query("watch").empty()) {
    co_await Watch(exchange, kind);
  } else if (name.empty()) {
    co_await List(exchange, kind);
  } else {
    co_await Read(exchange, kind, name);
  }
}

Task MetadataStore::Read(HttpExchange& exchange, const std::string& kind,
                         std::string name) {
  const Objects& objects = VisibleObjects(kind);
  const auto it = objects.find(name);
  if (it == objects.end()) {
    co_await exchange.Reply(404, "", {});
    co_return;
  }
  std::string body = TextOf(JsonOf(name, it->second));
  co_await exchange.Reply(200, std::move(body), JsonType());
}

Task MetadataStore::List(HttpExchange& exchange, const std::string& kind) {
  stale_lists_ += exchange.request().Query("serializable") == "1" ? 1 : 0;
  const std::string after = exchange.request().Query("after");
  Json items = Json::array();
  bool more = false;
  for (const auto& [name, object] : VisibleObjects(kind)) {
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
  std::string body = TextOf(reply);
  co_await exchange.Reply(200, std::move(body), JsonType());
}

Task MetadataStore::Watch(HttpExchange& exchange, const std::string& kind) {
  const std::uint64_t from = exchange.request().QueryNumber("watch", 0);
  const milliseconds wait(exchange.request().QueryNumber("wait-ms", 0));
  const std::uint64_t epoch = watch_epoch_;
  ++watch_calls_;
  const auto end = std::chrono::steady_clock::now() + wait;
  const auto has_nothing_to_tell = [&] {
    return from >= compacted_ && from <= revision_ && epoch == watch_epoch_ &&
           EventsSince(kind, from).empty();
  };
  ++waiting_watches_;
  while (has_nothing_to_tell() && std::chrono::steady_clock::now() < end) {
    // Changes of other kinds end this wait too.
    co_await changed_->Wait(std::chrono::ceil<milliseconds>(
        end - std::chrono::steady_clock::now()));
  }
  --waiting_watches_;
  while (faults_.silence_watches && exchange.open()) {
    co_await exchange.Sleep(kStallStep);
  }
  if (std::exchange(drop_next_watch_, false) || epoch != watch_epoch_) {
    exchange.Abort();
    co_return;
  }
  if (from < compacted_ || from > revision_) {
    co_await exchange.Reply(410, "", {});
    co_return;
  }
  const Json reply = {{"events", EventsSince(kind, from)}, {"at", revision_}};
  std::string body = TextOf(reply);
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
  const bool precondition_holds =
      request.method == "POST"
          ? !exists
          : exists && (expected == 0 || expected == held->second.revision);
  if (!precondition_holds && !exists) {
    co_await exchange.Reply(404, "", {});
    co_return;
  }
  if (!precondition_holds) {
    std::string held_now = TextOf(JsonOf(name, held->second));
    co_await exchange.Reply(409, std::move(held_now), JsonType());
    co_return;
  }
  Store(kind, name, body.at("spec"));
  std::string reply = TextOf(JsonOf(name, kinds_[kind][name]));
  co_await Confirm(exchange, std::move(reply));
}

Task MetadataStore::WriteStatus(HttpExchange& exchange, const std::string& kind,
                                std::string name) {
  const Json body = Json::parse(exchange.request().body, nullptr, false);
  const auto held = kinds_[kind].find(name);
  if (held == kinds_[kind].end()) {
    co_await exchange.Reply(404, "", {});
    co_return;
  }
  if (!body.is_object() || !body.contains("status")) {
    co_await exchange.Reply(400, "", {});
    co_return;
  }
  if (held->second.status != body.at("status")) {
    held->second.status = body.at("status");
    Announce(kind, name, &held->second);
  }
  std::string reply = TextOf(JsonOf(name, held->second));
  co_await Confirm(exchange, std::move(reply));
}

Task MetadataStore::Delete(HttpExchange& exchange, const std::string& kind,
                           std::string name) {
  const auto held = kinds_[kind].find(name);
  if (held == kinds_[kind].end()) {
    co_await exchange.Reply(404, "", {});
    co_return;
  }
  std::string object = TextOf(JsonOf(name, held->second));
  const std::uint64_t expected =
      exchange.request().QueryNumber("revision", held->second.revision);
  if (expected != held->second.revision) {
    co_await exchange.Reply(409, std::move(object), JsonType());
    co_return;
  }
  Erase(kind, name);
  co_await Confirm(exchange, std::move(object));
}

Task MetadataStore::Confirm(HttpExchange& exchange, std::string body) {
  if (faults_.lose_answers > 0) {
    --faults_.lose_answers;
    if (faults_.lose_by_silence) {
      co_await Stall(exchange);
    }
    exchange.Abort();
    co_return;
  }
  co_await exchange.Reply(200, std::move(body), JsonType());
}

}  // namespace indigolead::testing
