#include "entry/crash_detector.h"

#include <algorithm>
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

CrashDetector::SuspectedRun* CrashDetector::Add(const TargetCrash& run,
                                                const RunningRequest& request,
                                                Ending ending) {
  SuspectedRun& suspected = runs_[run];
  if (suspected.crashed) {
    hooks_.on_crash(run, {request});
    return nullptr;
  }
  if (suspected.suspects.size() >= options_.max_suspects) {
    Release(suspected.suspects.front());
    suspected.suspects.pop_front();
  }
  suspected.suspects.push_back({request, ending, clock_()});
  return &suspected;
}

void CrashDetector::OnBroken(const TargetCrash& run,
                             const RunningRequest& request) {
  const SuspectedRun* suspected = Add(run, request, Ending::kBroken);
  if (suspected && suspected->calls == 0) {
    Call(run);
  }
}

void CrashDetector::OnDoubtfulEnd(const TargetCrash& run,
                                  const RunningRequest& request) {
  SuspectedRun* suspected = Add(run, request, Ending::kDoubtful);
  if (suspected && !suspected->called_at && !suspected->next_call) {
    suspected->next_call = clock_() + options_.doubt_probe_delay;
  }
}

void CrashDetector::OnAbandoned(const TargetCrash& run,
                                const RunningRequest& request) {
  Add(run, request, Ending::kAbandoned);
}

void CrashDetector::OnRunEnded(const TargetCrash& run,
                               const std::vector<RunningRequest>& open,
                               std::string_view evidence) {
  for (const RunningRequest& it : open) {
    Add(run, it, Ending::kBroken);
  }
  if (!runs_[run].crashed) {
    Confirm(run, evidence);
  }
}

void CrashDetector::OnUnlisted(const TargetCrash& run) {
  const auto it = runs_.find(run);
  const bool broke =
      it != runs_.end() && !it->second.crashed &&
      std::any_of(
          it->second.suspects.begin(), it->second.suspects.end(),
          [](const Suspect& held) { return held.ending == Ending::kBroken; });
  if (broke) {
    Confirm(run, "the registration is gone");
  }
}

void CrashDetector::OnLeavingAnnounced(const TargetCrash& run) {
  const auto node = runs_.extract(run);
  if (!node.empty()) {
    for (const Suspect& it : node.mapped().suspects) {
      Release(it);
    }
  }
}

void CrashDetector::Call(const TargetCrash& run) {
  SuspectedRun& suspected = runs_.at(run);
  const TimePoint now = clock_();
  ++suspected.calls;
  suspected.called_at = now;
  suspected.next_call.reset();
  hooks_.call(run.target, [this, run, now](const Status& status) {
    OnCalled(run, now, status);
  });
}

void CrashDetector::OnCalled(const TargetCrash& run, TimePoint started_at,
                             const Status& status) {
  const auto it = runs_.find(run);
  if (it == runs_.end() || it->second.crashed) {
    return;
  }
  SuspectedRun& suspected = it->second;
  if (suspected.called_at == started_at) {
    suspected.called_at.reset();
  }
  if (IsOk(status)) {
    OnSurvived(run, started_at);
    return;
  }
  const Error& error = ErrorOf(status);
  if (ShowsEnd(status)) {
    Confirm(run, ToString(error));
  } else if (error.code == ErrorCode::kUnknownEffect &&
             suspected.calls < options_.max_probes) {
    Call(run);
  } else if (!suspected.called_at) {
    suspected.next_call = clock_() + options_.probe_interval;
  }
}

void CrashDetector::OnSurvived(const TargetCrash& run, TimePoint started_at) {
  SuspectedRun& suspected = runs_.at(run);
  std::vector<Suspect> survived;
  std::erase_if(suspected.suspects, [&](const Suspect& it) {
    // The target may still be working on an abandoned request.
    const bool erased = it.ending != Ending::kAbandoned && it.at <= started_at;
    if (erased) {
      survived.push_back(it);
    }
    return erased;
  });
  LogOutcome(kTargetSurvived, run, survived.size(), "answered");
  suspected.calls = 0;
  suspected.next_call.reset();
  if (suspected.suspects.empty()) {
    runs_.erase(run);
  } else if (NeedsProbe(suspected)) {
    suspected.next_call = clock_() + options_.doubt_probe_delay;
  }
  for (const Suspect& it : survived) {
    Release(it);
  }
}

void CrashDetector::Confirm(const TargetCrash& run, std::string_view evidence) {
  SuspectedRun& suspected = runs_.at(run);
  std::vector<RunningRequest> running;
  for (Suspect& it : suspected.suspects) {
    running.push_back(std::move(it.request));
  }
  suspected = {};
  suspected.crashed = true;
  suspected.until = clock_() + options_.crash_window;
  if (!running.empty()) {
    LogOutcome(kTargetCrashed, run, running.size(), evidence);
    hooks_.on_crash(run, running);
  }
}

void CrashDetector::Tick() {
  const TimePoint now = clock_();
  std::vector<TargetCrash> due;
  for (auto it = runs_.begin(); it != runs_.end();) {
    auto& [run, suspected] = *it;
    if (!suspected.crashed) {
      Expire(run, &suspected, now);
    }
    if (suspected.crashed ? now >= suspected.until
                          : suspected.suspects.empty()) {
      it = runs_.erase(it);
      continue;
    }
    if (IsProbeDue(suspected, now)) {
      due.push_back(run);
    }
    ++it;
  }
  for (const TargetCrash& it : due) {
    Call(it);
  }
}

void CrashDetector::Expire(const TargetCrash& run, SuspectedRun* suspected,
                           TimePoint now) {
  std::size_t undecided = 0;
  while (!suspected->suspects.empty() &&
         now - suspected->suspects.front().at >= options_.evidence_window) {
    const Suspect& oldest = suspected->suspects.front();
    undecided += oldest.ending == Ending::kAbandoned ? 0 : 1;
    Release(oldest);
    suspected->suspects.pop_front();
  }
  if (undecided > 0) {
    LogOutcome(kTargetUndecided, run, undecided, "no evidence");
  }
}

bool CrashDetector::NeedsProbe(const SuspectedRun& suspected) {
  return std::any_of(
      suspected.suspects.begin(), suspected.suspects.end(),
      [](const Suspect& it) { return it.ending != Ending::kAbandoned; });
}

bool CrashDetector::IsProbeDue(const SuspectedRun& suspected,
                               TimePoint now) const {
  if (suspected.crashed || !NeedsProbe(suspected)) {
    return false;
  }
  const bool unanswered = suspected.called_at &&
                          now - *suspected.called_at >= options_.probe_interval;
  return unanswered || (suspected.next_call && now >= *suspected.next_call);
}

void CrashDetector::Release(const Suspect& suspect) {
  if (suspect.ending == Ending::kDoubtful && hooks_.on_answered) {
    hooks_.on_answered(suspect.request);
  }
}

void CrashDetector::LogOutcome(const EventInfo& event, const TargetCrash& run,
                               std::size_t running,
                               std::string_view call) const {
  log_(event, {{"target", run.target},
               {"run", std::to_string(run.run)},
               {"running", std::to_string(running)},
               {"call", std::string(call)}});
}

}  // namespace indigolead
