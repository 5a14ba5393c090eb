// Rate limits of targets, and this entry's share of them.

#include <algorithm>
#include <utility>

#include "entry/direct_dispatcher.h"
#include "entry/event_fields.h"
#include "entry/events.h"

namespace indigolead {
namespace {

std::string LimitText(const std::optional<double>& limit) {
  return limit ? std::to_string(*limit) : "none";
}

}  // namespace

void DirectDispatcher::OnEntries(EntryView view) {
  const LimitShare::Standing standing = limits_.standing();
  entries_ = view;
  limits_.OnEntries(std::move(view), clock_());
  LogStanding(standing);
}

void DirectDispatcher::LogStanding(LimitShare::Standing before) {
  // Without limits the list of entries is rarely read, so the standing is not
  // meaningful.
  if (limits_.standing() != before && any_limited()) {
    log_(kLimitStandingChanged,
         {{"standing", std::string(NameOf(limits_.standing()))},
          {"before", std::string(NameOf(before))},
          {"targets", std::to_string(limits_.size())}});
  }
}

const std::string& DirectDispatcher::LimitKeyOf(
    const std::string& instance) const {
  const std::string* address = addresses_.Find(instance);
  return address ? *address : instance;
}

Duration DirectDispatcher::WaitToSend(const std::string& instance,
                                      TimePoint now) const {
  const Duration cooldown = cooldowns_.WaitFor(instance, now);
  if (!any_limited()) {
    return cooldown;
  }
  const Duration longest = options_.max_limited_wait;
  const auto limit = limits_.WaitFor(LimitKeyOf(instance), now);
  return std::max(cooldown, std::min(limit.value_or(longest), longest));
}

void DirectDispatcher::UpdateAddress(const TargetChange& change) {
  const std::string& id = change.target.id;
  const std::string before = LimitKeyOf(id);
  if (change.kind == TargetChange::Kind::kRemoved) {
    addresses_.Remove(id);
  } else {
    addresses_.Set(id, change.target.address);
  }
  const bool restarted = change.kind == TargetChange::Kind::kRestarted;
  const std::size_t own = addresses_.TargetsAt(before).count(id);
  const bool shared = addresses_.TargetsAt(before).size() > own;
  if ((own == 0 || restarted) && !shared) {
    limits_.Forget(before);
  }
}

void DirectDispatcher::OnLimitNotice(const std::string& instance,
                                     const LimitNotice& notice) {
  const TimePoint now = clock_();
  const std::string& key = LimitKeyOf(instance);
  if (const auto change = limits_.OnAnswer(key, notice, now)) {
    NoteLimitChange(
        instance, *change,
        "answer-after-ms-" + FormatMilliseconds(now - notice.sent_at));
  }
  const TargetRecord* target = transport_.FindTarget(instance);
  if (target && hooks_.share_limit && limits_.ShouldShare(key, now)) {
    hooks_.share_limit(*target, limits_.LimitOf(key));
  }
}

void DirectDispatcher::OnSharedLimit(const TargetRecord& target) {
  std::optional<double> limit = target.shared_limit;
  for (const std::string& it : addresses_.TargetsAt(target.address)) {
    const TargetRecord* holder = transport_.FindTarget(it);
    if (holder && holder->shared_limit) {
      limit = std::min(limit.value_or(*holder->shared_limit),
                       *holder->shared_limit);
    }
  }
  if (const auto change = limits_.OnShared(target.address, limit, clock_())) {
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
        {"standing", std::string(NameOf(limits_.standing()))},
        {"share_per_s",
         std::to_string(limits_.ShareOf(LimitKeyOf(instance)).per_second)}});
}

}  // namespace indigolead
