// Notices in the answers of targets: a requested cooldown, or that the target
// is leaving.

#include "entry/direct_dispatcher.h"
#include "entry/event_fields.h"
#include "entry/events.h"

namespace indigolead {

std::vector<std::string> DirectDispatcher::TargetsSharingAddress(
    const std::string& instance) const {
  const std::string* address = addresses_.Find(instance);
  if (!address) {
    return {};
  }
  const TargetAddresses::Ids& ids = addresses_.TargetsAt(*address);
  return {ids.begin(), ids.end()};
}

void DirectDispatcher::OnTargetCooldownRequested(const std::string& instance,
                                                 Duration length) {
  for (const std::string& it : TargetsSharingAddress(instance)) {
    const Duration left = cooldowns_.OnCooldownRequested(it, length, clock_());
    log_(kTargetAskedRest, {{"target", it},
                            {"answered", instance},
                            {"asked_ms", FormatMilliseconds(length)},
                            {"left_ms", FormatMilliseconds(left)}});
  }
  targets_in_cooldown_.Set(static_cast<std::int64_t>(cooldowns_.size()));
}

void DirectDispatcher::OnLeavingNotice(const std::string& instance) {
  for (const std::string& it : TargetsSharingAddress(instance)) {
    const std::vector<TargetChange> changes = directory_.OnLeavingNotice(it);
    if (!changes.empty()) {
      log_(kTargetToldLeaving, {{"target", it}, {"answered", instance}});
    }
    Apply(changes);
  }
}

Status DirectDispatcher::MayWrite(const std::string& instance,
                                  bool is_new_work) {
  const Duration left = cooldowns_.WaitFor(instance, clock_());
  const SideTable::Side* side = flow_.sides().Find(instance);
  const bool leaves = side && !SideTable::AcceptsAttempts(*side);
  if (left == Duration{0} && !(is_new_work && leaves)) {
    return Unit{};
  }
  const std::string reason = left > Duration{0}
                                 ? "the target accepts no calls for another " +
                                       FormatMilliseconds(left) + " ms"
                                 : "the target is leaving";
  calls_held_back_.Add();
  log_(kCallHeldBack, {{"target", instance}, {"reason", reason}});
  return Error{ErrorCode::kOverloaded, "target.write", instance, reason};
}

void DirectDispatcher::RemoveExpiredCooldowns() {
  const std::vector<std::string> over = cooldowns_.Tick(clock_());
  for (const std::string& it : over) {
    log_(kTargetRestOver, {{"target", it}});
  }
  targets_in_cooldown_.Set(static_cast<std::int64_t>(cooldowns_.size()));
}

}  // namespace indigolead
