// What targets say of their limits, and what this entry's share of them is.

#include <utility>

#include "entry/direct_dispatcher.h"
#include "entry/event_fields.h"
#include "entry/events.h"

namespace indigolead {
namespace {

std::string_view StandingName(LimitShare::Standing standing) {
  switch (standing) {
    case LimitShare::Standing::kNotJoined:
      return "not-joined";
    case LimitShare::Standing::kStale:
      return "stale";
    case LimitShare::Standing::kFresh:
      break;
  }
  return "fresh";
}

std::string LimitText(const std::optional<double>& limit) {
  return limit ? std::to_string(*limit) : "none";
}

}  // namespace

void DirectDispatcher::OnEntries(EntryView view) {
  const LimitShare::Standing standing = limits_.standing();
  limits_.OnEntries(std::move(view), clock_());
  LogStanding(standing);
}

void DirectDispatcher::LogStanding(LimitShare::Standing before) {
  // Without limits lists are read seldom, and the standing says nothing.
  if (limits_.standing() != before && any_limited()) {
    log_(kLimitStandingChanged,
         {{"standing", std::string(StandingName(limits_.standing()))},
          {"before", std::string(StandingName(before))},
          {"targets", std::to_string(limits_.size())}});
  }
}

void DirectDispatcher::OnLimitNotice(const std::string& instance,
                                     const LimitNotice& notice) {
  const TimePoint now = clock_();
  if (const auto change = limits_.OnAnswer(instance, notice, now)) {
    NoteLimitChange(instance, *change,
                    "answer-after-ms-" + Milliseconds(now - notice.sent_at));
  }
  const TargetRecord* target = carrier_.FindTarget(instance);
  if (target && hooks_.share_limit && limits_.ShouldShare(instance, now)) {
    hooks_.share_limit(*target, limits_.LimitOf(instance));
  }
}

void DirectDispatcher::OnSharedLimit(const TargetRecord& target) {
  if (const auto change =
          limits_.OnShared(target.id, target.shared_limit, clock_())) {
    NoteLimitChange(target.id, *change, "entries");
  }
}

void DirectDispatcher::NoteLimitChange(const std::string& instance,
                                       const LimitChange& change,
                                       const std::string& source) {
  limited_targets_.Set(static_cast<std::int64_t>(limits_.size()));
  log_(kTargetLimitChanged,
       {{"target", instance},
        {"limit_per_s", LimitText(change.after)},
        {"before", LimitText(change.before)},
        {"source", source},
        {"standing", std::string(StandingName(limits_.standing()))},
        {"share_per_s", std::to_string(limits_.ShareOf(instance).per_second)}});
}

}  // namespace indigolead
