#include "entry/guard_state_store.h"

#include <utility>
#include <variant>

namespace indigolead {

GuardStateStore::GuardStateStore(ObjectStore* store, Duration call_deadline,
                                 Hooks hooks, Clock clock, RunAfter run_after,
                                 EventLog log)
    : hooks_(std::move(hooks)),
      slots_(store, SlotOptions(call_deadline), SlotHooks(hooks_), clock,
             run_after, log),
      quarantines_(store, {call_deadline}, QuarantineHooks(hooks_), clock,
                   run_after, log) {}

SlotMapManager::Options GuardStateStore::SlotOptions(Duration call_deadline) {
  SlotMapManager::Options options;
  options.call_deadline = call_deadline;
  return options;
}

SlotMapManager::Hooks GuardStateStore::SlotHooks(const Hooks& hooks) {
  SlotMapManager::Hooks out;
  out.on_map = [emit = hooks.emit](const std::string& deployment,
                                   const SlotMap& map) {
    emit(SlotMapRead{deployment, map});
  };
  out.jitter = hooks.jitter;
  return out;
}

QuarantineStore::Hooks GuardStateStore::QuarantineHooks(const Hooks& hooks) {
  QuarantineStore::Hooks out;
  out.on_quarantine_read = [emit = hooks.emit](const SuspicionNotice& notice) {
    emit(QuarantineChanged{notice});
  };
  out.on_quarantine_lifted = [emit = hooks.emit](Fingerprint fingerprint) {
    SuspicionNotice notice;
    notice.fingerprint = fingerprint;
    notice.lifted = true;
    emit(QuarantineChanged{notice});
  };
  out.jitter = hooks.jitter;
  return out;
}

void GuardStateStore::Start() {
  slots_.Start();
  quarantines_.Start();
}

void GuardStateStore::OnMessage(GuardMessage&& message) {
  if (const auto* seen = std::get_if<HomeStateReported>(&message)) {
    slots_.OnHome(seen->deployment, seen->state);
  } else if (const auto* lost = std::get_if<HomeDisconnected>(&message)) {
    slots_.OnHomeDown(lost->instance);
  } else if (const auto* persist = std::get_if<PersistQuarantine>(&message)) {
    quarantines_.Persist(persist->notice);
  }
}

void GuardStateStore::Tick() {
  slots_.SetLease(hooks_.fencing_number());
  slots_.Tick();
  quarantines_.Tick();
}

}  // namespace indigolead
