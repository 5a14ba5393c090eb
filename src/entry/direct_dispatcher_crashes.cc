// Handling of requests that crash targets.

#include "entry/direct_dispatcher.h"
#include "entry/event_fields.h"

namespace indigolead {

CrashDetector::Hooks DirectDispatcher::CrashHooks() {
  CrashDetector::Hooks hooks;
  hooks.call = [this](const std::string& target,
                      std::function<void(const Status&)> done) {
    transport_.ProbeTarget(target, std::move(done));
  };
  hooks.on_crash = [this](const TargetCrash& crash,
                          const std::vector<Fingerprint>& running) {
    if (hooks_.on_crash) {
      hooks_.on_crash(crash, running);
    }
  };
  return hooks;
}

void DirectDispatcher::OnRequestBroke(const std::string& instance,
                                      const std::optional<TargetRun>& run,
                                      const CallerRequest& request) {
  const SideTable::Side* side = flow_.sides().Find(instance);
  if (!side || !SideTable::AcceptsAttempts(*side)) {
    return;  // A leaving target cuts off unfinished requests.
  }
  crashes_.OnBroken({instance, run ? run->started_ms : 0}, request.fingerprint);
}

std::optional<Refusal> DirectDispatcher::RefuseBlocked(
    const CallerRequest& request) const {
  const auto left = hooks_.blocked_for ? hooks_.blocked_for(request.fingerprint)
                                       : std::nullopt;
  if (!left) {
    return std::nullopt;
  }
  return Refusal{503, RunState::kNotRun, "request_crashes_targets",
                 "Targets of " + request.deployment +
                     " crashed while they ran this request; no other gets it "
                     "for " +
                     FormatMilliseconds(*left) + " ms.",
                 *left};
}

}  // namespace indigolead
