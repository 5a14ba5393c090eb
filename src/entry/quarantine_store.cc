#include "entry/quarantine_store.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "core/base/bounded_json.h"
#include "core/base/json_fields.h"
#include "core/base/json_problem.h"
#include "entry/event_fields.h"

namespace indigolead {
namespace {

constexpr char kPrefix[] = "quarantines/";
constexpr char kDecodeStep[] = "quarantine.decode";

ListWatcher::Options WatchOptions(Duration deadline) {
  ListWatcher::Options options;
  options.prefix = kPrefix;
  options.list = {CallPriority::kStatus, deadline};
  return options;
}

}  // namespace

std::string QuarantineKey(Fingerprint fingerprint) {
  return kPrefix + FingerprintText(fingerprint);
}

std::string EncodeQuarantine(const SuspicionNotice& notice) {
  nlohmann::json json;
  json["fingerprint"] = notice.fingerprint;
  json["client_account"] = notice.client_account;
  json["deployment"] = notice.deployment;
  json["reason"] = notice.reason;
  json["remaining_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(notice.remaining)
          .count();
  json["targets"] = nlohmann::json::array();
  for (const TargetDeath& it : notice.deaths) {
    json["targets"].push_back(it.instance);
  }
  return json.dump();
}

Result<SuspicionNotice> DecodeQuarantine(const std::string& text) {
  const auto parsed = ParseBoundedJson(text, kDecodeStep, "store");
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  try {
    const nlohmann::json& json = ValueOf(parsed);
    SuspicionNotice notice;
    notice.fingerprint = IntegerAt<Fingerprint>(json, "fingerprint");
    notice.client_account = json.at("client_account").get<std::string>();
    notice.deployment = json.at("deployment").get<std::string>();
    notice.reason = json.at("reason").get<std::string>();
    notice.remaining = std::chrono::milliseconds(IntegerAt<std::int64_t>(
        json, "remaining_ms", 0, kMaxFieldMilliseconds));
    for (const auto& it : json.at("targets")) {
      notice.deaths.push_back({it.get<std::string>(), {}});
    }
    notice.quarantined = true;
    return notice;
  } catch (const nlohmann::json::exception& error) {
    return Error{ErrorCode::kProtocol, kDecodeStep, "store",
                 JsonProblem(error)};
  }
}

QuarantineStore::QuarantineStore(ObjectStore* store, Options options,
                                 Hooks hooks, Clock clock, RunAfter run_after,
                                 EventLog log)
    : store_(store),
      options_(options),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      watcher_(store, WatchOptions(options.call_deadline),
               {[this](const ListWatcher::State& state, std::uint64_t) {
                  OnState(state);
                },
                [](const Error&) {}, hooks_.jitter},
               clock_, std::move(run_after), std::move(log)) {}

void QuarantineStore::OnState(const ListWatcher::State& state) {
  for (auto it = quarantines_.begin(); it != quarantines_.end();) {
    if (state.count(it->first) > 0) {
      ++it;
      continue;
    }
    hooks_.on_quarantine_lifted(it->second);
    own_expiries_.erase(it->first);
    it = quarantines_.erase(it);
  }
  for (const auto& [key, object] : state) {
    const auto notice = DecodeQuarantine(object.value);
    if (!IsOk(notice) || quarantines_.count(key) > 0 ||
        quarantines_.size() >= options_.max_quarantines) {
      continue;
    }
    quarantines_[key] = ValueOf(notice).fingerprint;
    if (own_expiries_.count(key) == 0) {
      hooks_.on_quarantine_read(ValueOf(notice));
    }
  }
}

void QuarantineStore::Persist(const SuspicionNotice& notice) {
  const std::string key = QuarantineKey(notice.fingerprint);
  if (notice.lifted) {
    Delete(key);
    return;
  }
  if (own_expiries_.size() >= options_.max_quarantines) {
    return;
  }
  own_expiries_[key] = clock_() + notice.remaining;
  // The result is ignored: a conflict means that another entry has written it.
  store_->Put(key, EncodeQuarantine(notice), 0,
              {CallPriority::kStatus, options_.call_deadline},
              [](const Result<std::uint64_t>&) {});
}

void QuarantineStore::Tick() {
  const TimePoint now = clock_();
  std::vector<std::string> expired;
  for (const auto& [key, end] : own_expiries_) {
    if (now >= end) {
      expired.push_back(key);
    }
  }
  for (const std::string& it : expired) {
    own_expiries_.erase(it);
    Delete(it);
  }
}

void QuarantineStore::Delete(const std::string& key) {
  const auto stored = watcher_.state().find(key);
  if (stored != watcher_.state().end()) {
    store_->Delete(key, stored->second.version,
                   {CallPriority::kStatus, options_.call_deadline},
                   [](const Result<Unit>&) {});
  }
}

}  // namespace indigolead
