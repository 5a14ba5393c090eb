#include <algorithm>
#include <utility>

#include "core/request/request_flow.h"

namespace indigolead {
namespace {

/// Retries that a deployment has before its traffic has earned any, and the
/// most that it can accumulate.
constexpr double kInitialRetries = 20;
constexpr double kMaxSavedRetries = 100;

SideRefusal CauseOf(const AttemptEnd& end) {
  switch (end.outcome) {
    case AttemptOutcome::kTargetDied:
      return MakeSideRefusal("target_died",
                             "The target died while it ran the request.");
    case AttemptOutcome::kDeadline:
      return MakeSideRefusal("deadline",
                             "The target did not finish before the deadline.");
    case AttemptOutcome::kCancelled:
      return MakeSideRefusal("cancelled", "The attempt was cancelled.");
    case AttemptOutcome::kNotStarted:
      return MakeSideRefusal("target_unreachable",
                             "The target could not be reached.");
    case AttemptOutcome::kComplete:
      return MakeSideRefusal("corrupt_answer",
                             "The answer does not match its end frame.");
    case AttemptOutcome::kTargetFailed:
      break;
  }
  return MakeSideRefusal("target_failed",
                         "The target failed before its answer was complete.");
}

}  // namespace

void RequestFlow::OnEnd(SideLink link, const AttemptId& id,
                        const AttemptEnd& end, TimePoint now) {
  Request* it = FindAttempt(link, id);
  if (it == nullptr || !AcceptFrame(*it, link, end.sequence, now)) {
    return;
  }
  const bool agrees = end.outcome == AttemptOutcome::kComplete &&
                      it->head_received && it->attempt->Matches(end);
  if (agrees && it->cursor && it->cursor->is_inside_event()) {
    EndAttempt(
        *it, Ending::kAmbiguous, AttemptOutcome::kTargetFailed,
        MakeSideRefusal("stream_cut", "The stream ended inside an event."),
        now);
    return;
  }
  if (agrees) {
    if (IsFailedAnswer(*it) &&
        MayRetry(*it, Ending::kAmbiguous, AttemptReach::kTarget, now)) {
      FinishAttempt(*it, Ending::kAmbiguous, AttemptOutcome::kTargetFailed,
                    MakeSideRefusal("target_failed",
                                    "The target answered with a 5xx status."),
                    /*retry=*/true, now);
      return;
    }
    CompleteAnswer(*it, now);
    return;
  }
  if (end.outcome == AttemptOutcome::kComplete) {
    ++counts_.corrupt_answers;
  }
  if (end.outcome == AttemptOutcome::kTargetDied &&
      hooks_.report_target_crash) {
    hooks_.report_target_crash(*it->request, it->attempt->instance(), now);
  }
  // A head proves a start, whatever the end frame states.
  const bool not_started =
      end.outcome == AttemptOutcome::kNotStarted && !it->head_received;
  EndAttempt(*it, not_started ? Ending::kNotStarted : Ending::kAmbiguous,
             end.outcome, CauseOf(end), now);
}

void RequestFlow::OnRefused(SideLink link, const AttemptId& id,
                            const SideRefusal& refusal, TimePoint now) {
  Request* it = FindAttempt(link, id);
  if (it == nullptr) {
    return;
  }
  if (refusal.code == "leaving") {
    sides_.FindByLink(link)->info.leaving = true;
  }
  const bool started = it->attempt->started();
  EndAttempt(*it, started ? Ending::kAmbiguous : Ending::kNotStarted,
             AttemptOutcome::kNotStarted, refusal, now);
}

void RequestFlow::OnStartNotSent(const AttemptId& id, TimePoint now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  SideRefusal why =
      MakeSideRefusal("side_busy", "The send queue to the side is full.");
  why.overloaded = true;
  EndAttempt(requests_.at(found->second), Ending::kNotStarted,
             AttemptOutcome::kNotStarted, why, now);
}

void RequestFlow::OnKnowledge(SideLink link, const AttemptId& id,
                              AttemptKnowledge known,
                              std::uint64_t next_sequence, TimePoint now) {
  // Replies about attempts that were cancelled meanwhile are expected and not
  // counted as foreign frames.
  if (attempts_.count(id) == 0) {
    return;
  }
  Request* it = FindAttempt(link, id);
  if (it == nullptr) {
    return;
  }
  switch (known) {
    case AttemptKnowledge::kRunning:
    case AttemptKnowledge::kFinished:
      it->attempt->last_message_at = now;
      if (next_sequence > it->attempt->next_sequence()) {
        EndAttempt(
            *it, Ending::kAmbiguous, AttemptOutcome::kTargetFailed,
            MakeSideRefusal("frames_lost",
                            "The side no longer has a part of the answer."),
            now);
      }
      return;
    case AttemptKnowledge::kNotStarted:
      EndAttempt(
          *it,
          it->attempt->started() ? Ending::kAmbiguous : Ending::kNotStarted,
          AttemptOutcome::kNotStarted,
          MakeSideRefusal("not_started",
                          "The side reports that the attempt did not start."),
          now);
      return;
    case AttemptKnowledge::kLost:
      EndAttempt(
          *it, Ending::kAmbiguous, AttemptOutcome::kTargetFailed,
          MakeSideRefusal("side_lost", "The side no longer knows the request."),
          now);
      return;
  }
}

void RequestFlow::ReleaseAttempt(Request& it, AttemptOutcome outcome,
                                 bool cancel, TimePoint now) {
  if (!it.attempt) {
    return;
  }
  const AttemptRef ref = it.attempt->ref();
  const std::string instance = it.attempt->instance();
  attempts_.erase(ref.attempt);
  it.attempt.reset();
  if (SideTable::Side* side = sides_.Find(instance)) {
    side->attempts.erase(ref.attempt);
    if (cancel && side->link) {
      actions_.push_back(SendCancel{*side->link, ref});
    } else if (cancel &&
               side->pending_cancels.size() < options_.max_pending_cancels) {
      side->pending_cancels.push_back(ref);
    }
  }
  if (hooks_.on_attempt_end) {
    hooks_.on_attempt_end(*it.request, ref.attempt, instance, outcome, now);
  }
}

RetryBudget& RequestFlow::BudgetOf(const CallerRequest& request) {
  RetryBudget::Options options;
  options.initial = kInitialRetries;
  options.burst = kMaxSavedRetries;
  RetryBudget& budget =
      retry_budgets_.try_emplace(request.deployment, options).first->second;
  budget.SetShare(request.retry_budget_share);
  return budget;
}

bool RequestFlow::MayRetry(const Request& it, Ending ending, AttemptReach reach,
                           TimePoint now) {
  const bool resumable =
      it.cursor && it.cursor->can_continue() && !it.caller_gone;
  if ((it.head_delivered && !resumable) || now >= DeadlineOf(it) ||
      it.forwards >= options_.max_forwards || IsTooLongForStop(it, now)) {
    return false;
  }
  const bool idempotent =
      it.request->repeatability == Repeatability::kIdempotent;
  if (ending == Ending::kNotStarted) {
    const bool charged =
        options_.charge_refused_attempts && reach != AttemptReach::kNothing;
    return (idempotent || !it.may_have_run) &&
           (!charged || hooks_.spend_retry(*it.request, reach, now));
  }
  return idempotent && it.starts + 1 < it.request->max_attempts &&
         hooks_.spend_retry(*it.request, reach, now);
}

bool RequestFlow::IsFailedAnswer(const Request& it) const {
  return !it.head_delivered && options_.retry_failed_answers &&
         it.answer.status >= 500;
}

void RequestFlow::EndAttempt(Request& it, Ending ending, AttemptOutcome outcome,
                             const SideRefusal& why, TimePoint now) {
  const bool retry = !why.final && MayRetry(it, ending, why.reach, now);
  FinishAttempt(it, ending, outcome, why, retry, now);
}

void RequestFlow::FinishAttempt(Request& it, Ending ending,
                                AttemptOutcome outcome, const SideRefusal& why,
                                bool retry, TimePoint now) {
  // A cancel keeps an absent or silent side from running the request later, and
  // stops a run whose answer is not wanted. It has no effect on a side that has
  // already ended the attempt.
  const bool cancel = why.code == "side_absent" || why.code == "side_silent" ||
                      why.code == "invalid_status";
  ReleaseAttempt(it, outcome, cancel, now);
  if (ending == Ending::kAmbiguous) {
    it.may_have_run = true;
    ++it.starts;
  }
  if (retry) {
    ++counts_.retries;
    if (it.cursor) {
      it.cursor->DropPartial();
    }
    Route(it, now);
    return;
  }
  Refusal refusal;
  refusal.code = why.code;
  refusal.message = why.detail;
  if (ending == Ending::kNotStarted) {
    refusal.status = 503;
    refusal.retry_after =
        std::max<Duration>(why.retry_after, std::chrono::seconds(1));
  } else {
    refusal.status = outcome == AttemptOutcome::kDeadline ? 504 : 502;
  }
  Refuse(it, std::move(refusal), now);
}

void RequestFlow::CompleteAnswer(Request& it, TimePoint now) {
  ReleaseAttempt(it, AttemptOutcome::kComplete, false, now);
  const bool whole = !it.head_delivered;
  if (it.claimed) {
    SettleClaim(it, ClaimSettlement::kFinished,
                it.keep_answer ? &it.answer : nullptr, now);
  }
  if (!it.caller_gone) {
    if (whole) {
      actions_.push_back(AnswerWhole{it.request->id, std::move(it.answer)});
    } else {
      actions_.push_back(AnswerEnd{it.request->id});
    }
  }
  EraseRequest(it, now);
}

void RequestFlow::Refuse(Request& it, Refusal refusal, TimePoint now) {
  // Only a proven state may be reported: if any attempt may have run, the state
  // of the request is unknown.
  if (it.may_have_run || it.head_delivered) {
    refusal.run = RunState::kUnknown;
  }
  if (refusal.run == RunState::kUnknown) {
    ++counts_.unknown_outcomes;
  } else if (refusal.run == RunState::kNotRun) {
    ++counts_.not_run_refusals;
  }
  SettleClaim(it,
              refusal.run == RunState::kNotRun ? ClaimSettlement::kNotRun
                                               : ClaimSettlement::kUnknown,
              nullptr, now);
  if (!it.caller_gone && it.head_delivered) {
    actions_.push_back(AnswerAbort{it.request->id, std::move(refusal)});
  } else if (!it.caller_gone) {
    actions_.push_back(AnswerRefusal{it.request->id, std::move(refusal)});
  }
  EraseRequest(it, now);
}

void RequestFlow::SettleClaim(Request& it, ClaimSettlement settlement,
                              const WholeAnswer* answer, TimePoint now) {
  if (it.claimed && hooks_.settle_claim) {
    hooks_.settle_claim(*it.request, settlement, answer, now);
  }
  it.claimed = false;
}

void RequestFlow::EraseRequest(Request& it, TimePoint now) {
  if (hooks_.on_done) {
    hooks_.on_done(*it.request, now);
  }
  const RequestId id = it.request->id;
  requests_.erase(id);
}

void RequestFlow::OnCallerDisconnected(const RequestId& id, TimePoint now) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  Request& it = found->second;
  it.caller_gone = true;
  if (it.stage == Stage::kRunning &&
      it.request->repeatability == Repeatability::kKeyed) {
    // The caller is expected to retry with the same key. A finished attempt
    // gives that retry a complete answer; a cancelled one would leave the key
    // "unknown" for good.
    GrantCredit(it, options_.stream_window_bytes);
    return;
  }
  if (it.attempt) {
    it.may_have_run = true;
    ReleaseAttempt(it, AttemptOutcome::kCancelled, true, now);
  }
  SettleClaim(
      it,
      it.may_have_run ? ClaimSettlement::kUnknown : ClaimSettlement::kNotRun,
      nullptr, now);
  EraseRequest(it, now);
}

}  // namespace indigolead
