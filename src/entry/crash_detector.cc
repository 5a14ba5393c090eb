#include "entry/crash_detector.h"

#include <utility>

#include "entry/events.h"
#include "target/target_client.h"

namespace indigolead {
namespace {

/// Returns true if the outcome of a probe shows that the probed run has ended.
bool ShowsEnd(const Status& status) {
  if (IsOk(status)) {
    return false;
  }
  const Error& error = ErrorOf(status);
  return error.code == ErrorCode::kConflict ||
         (error.code == ErrorCode::kUnavailable &&
          error.step != kUnreachedStep);
}

}  // namespace

CrashDetector::CrashDetector(const Options& options, Hooks hooks, Clock clock,
                             EventLog log)
    : options_(options),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      log_(std::move(log)) {}

void CrashDetector::OnBroken(const TargetCrash& run,
                             const RunningRequest& request) {
  const auto [it, added] = suspected_crashes_.try_emplace(run);
  SuspectedCrash& suspected = it->second;
  if (suspected.crashed) {
    hooks_.on_crash(run, {request});
    return;
  }
  suspected.running.push_back(request);
  if (added) {
    suspected.until = clock_() + options_.crash_window;
    Call(run);
  }
}

void CrashDetector::Call(const TargetCrash& run) {
  ++suspected_crashes_.at(run).calls;
  hooks_.call(run.target,
              [this, run](const Status& status) { OnCalled(run, status); });
}

void CrashDetector::OnCalled(const TargetCrash& run, const Status& status) {
  const auto it = suspected_crashes_.find(run);
  if (it == suspected_crashes_.end()) {
    return;
  }
  SuspectedCrash& suspected = it->second;
  const bool ended = ShowsEnd(status);
  const bool broke =
      !IsOk(status) && ErrorOf(status).code == ErrorCode::kUnknownEffect;
  if (broke && suspected.calls < options_.max_probes) {
    Call(run);
    return;
  }
  if (ended) {
    LogOutcome(kTargetCrashed, run, suspected, ToString(ErrorOf(status)));
  } else if (IsOk(status)) {
    LogOutcome(kTargetSurvived, run, suspected, "answered");
  } else {
    LogOutcome(kTargetUndecided, run, suspected, ToString(ErrorOf(status)));
  }
  if (!ended) {
    suspected_crashes_.erase(it);
    return;
  }
  suspected.crashed = true;
  suspected.until = clock_() + options_.crash_window;
  hooks_.on_crash(run, std::exchange(suspected.running, {}));
}

void CrashDetector::Tick() {
  const TimePoint now = clock_();
  std::erase_if(suspected_crashes_, [&](const auto& it) {
    const auto& [run, suspected] = it;
    const bool expired = now >= suspected.until;
    if (expired && !suspected.crashed) {
      LogOutcome(kTargetUndecided, run, suspected, "unanswered");
    }
    return expired;
  });
}

void CrashDetector::LogOutcome(const EventInfo& event, const TargetCrash& run,
                               const SuspectedCrash& suspected,
                               const std::string& call) const {
  log_(event, {{"target", run.target},
               {"run", std::to_string(run.run)},
               {"running", std::to_string(suspected.running.size())},
               {"call", call}});
}

}  // namespace indigolead
