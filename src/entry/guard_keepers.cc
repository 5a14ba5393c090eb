#include "entry/guard_keepers.h"

#include <utility>
#include <variant>

namespace indigolead {

GuardKeepers::GuardKeepers(ObjectStore* store, Duration call_deadline,
                           Hooks hooks, Clock clock, RunAfter run_after,
                           EventLog log)
    : hooks_(std::move(hooks)),
      slots_(store, SlotOptions(call_deadline), SlotHooks(hooks_), clock,
             run_after, log),
      quarantines_(store, {call_deadline}, QuarantineHooks(hooks_), clock,
                   run_after, log) {}

SlotKeeper::Options GuardKeepers::SlotOptions(Duration call_deadline) {
  SlotKeeper::Options options;
  options.call_deadline = call_deadline;
  return options;
}

SlotKeeper::Hooks GuardKeepers::SlotHooks(const Hooks& hooks) {
  SlotKeeper::Hooks out;
  out.on_map = [emit = hooks.emit](const std::string& deployment,
                                   const SlotMap& map) {
    emit(SlotMapSeen{deployment, map});
  };
  out.jitter = hooks.jitter;
  return out;
}

QuarantineKeeper::Hooks GuardKeepers::QuarantineHooks(const Hooks& hooks) {
  QuarantineKeeper::Hooks out;
  out.on_kept = [emit = hooks.emit](const SuspicionNotice& notice) {
    emit(QuarantineSeen{notice});
  };
  out.on_lifted = [emit = hooks.emit](Fingerprint fingerprint) {
    SuspicionNotice notice;
    notice.fingerprint = fingerprint;
    notice.lifted = true;
    emit(QuarantineSeen{notice});
  };
  out.jitter = hooks.jitter;
  return out;
}

void GuardKeepers::Start() {
  slots_.Start();
  quarantines_.Start();
}

void GuardKeepers::OnMessage(GuardMessage&& message) {
  if (const auto* seen = std::get_if<HomeSeen>(&message)) {
    slots_.OnHome(seen->deployment, seen->state);
  } else if (const auto* lost = std::get_if<HomeLost>(&message)) {
    slots_.OnHomeDown(lost->instance);
  } else if (const auto* keep = std::get_if<KeepQuarantine>(&message)) {
    quarantines_.Keep(keep->notice);
  }
}

void GuardKeepers::Tick() {
  slots_.SetLease(hooks_.held_number());
  slots_.Tick();
  quarantines_.Tick();
}

}  // namespace indigolead
