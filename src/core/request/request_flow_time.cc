// Effects of connecting and disconnecting sides and of timeouts on requests.

#include <algorithm>
#include <utility>

#include "core/request/header_fields.h"
#include "core/request/request_flow.h"
#include "core/request/stopping_refusal.h"

namespace indigolead {
namespace {

/// Absence after which a side without attempts is dropped.
constexpr Duration kAbsentSideRetention = std::chrono::minutes(5);
/// Time that an attempt needs before the end of a planned stop, in multiples of
/// the request's target: an answer seldom takes longer.
constexpr int kMinTargetsBeforeStop = 3;

bool HasContentLength(const std::vector<HeaderField>& headers) {
  return !FindHeader(headers, "content-length").empty();
}

}  // namespace

void RequestFlow::OnSideUp(SideLink link, SideInfo info, TimePoint now) {
  const SideTable::ConnectResult connected =
      sides_.Connect(link, std::move(info));
  if (connected.side == nullptr) {
    return;
  }
  FailLostAttempts(connected.lost, now);
  SendPendingCancels(*connected.side);
  if (!connected.lost.empty()) {
    return;
  }
  for (const AttemptId& id : connected.side->attempts) {
    Request& it = requests_.at(attempts_.at(id));
    it.attempt->last_message_at = now;
    RequestResume(it, link, now);
  }
}

void RequestFlow::SendPendingCancels(SideTable::Side& side) {
  for (const AttemptRef& ref : side.pending_cancels) {
    actions_.push_back(SendCancel{*side.link, ref});
  }
  side.pending_cancels.clear();
}

void RequestFlow::OnCancelNotSent(SideLink link, const AttemptRef& ref) {
  SideTable::Side* side = sides_.FindByLink(link);
  if (side != nullptr &&
      side->pending_cancels.size() < options_.max_pending_cancels) {
    side->pending_cancels.push_back(ref);
  }
}

void RequestFlow::FailLostAttempts(const std::vector<AttemptId>& ids,
                                   TimePoint now) {
  for (const AttemptId& id : ids) {
    const auto found = attempts_.find(id);
    if (found != attempts_.end()) {
      EndAttempt(requests_.at(found->second), Ending::kAmbiguous,
                 AttemptOutcome::kTargetFailed,
                 MakeSideRefusal("side_lost", "The target's side restarted."),
                 now);
    }
  }
}

void RequestFlow::OnSideDown(SideLink link, TimePoint now) {
  sides_.Disconnect(link, now);
}

void RequestFlow::OnSideChanged(SideLink link, const SideInfo& info,
                                TimePoint /*now*/) {
  if (SideTable::Side* side = sides_.FindByLink(link)) {
    side->info = info;
  }
}

void RequestFlow::OnLeaving(const std::string& instance, bool leaving,
                            TimePoint /*now*/) {
  sides_.SetLeaving(instance, leaving);
}

void RequestFlow::OnDrains(const std::vector<std::string>& instances,
                           TimePoint /*now*/) {
  sides_.SetDrains(instances);
}

const SideInfo* RequestFlow::FindSide(SideLink link) const {
  const SideTable::Side* side = sides_.FindByLink(link);
  return side == nullptr ? nullptr : &side->info;
}

void RequestFlow::Tick(TimePoint now) {
  for (auto& [name, side] : sides_.sides()) {
    if (side.link) {
      SendPendingCancels(side);
    }
  }
  tick_ids_.clear();
  for (const auto& [id, it] : requests_) {
    tick_ids_.push_back(id);
  }
  for (const RequestId& id : tick_ids_) {
    const auto found = requests_.find(id);
    if (found != requests_.end()) {
      TickRequest(found->second, now);
    }
  }
  sides_.DropAbsent(kAbsentSideRetention, now);
}

bool RequestFlow::MayHaveStarted(const Request& it) const {
  if (!it.attempt) {
    return false;
  }
  return !hooks_.may_have_started ||
         hooks_.may_have_started(it.attempt->ref().attempt);
}

TimePoint RequestFlow::DeadlineOf(const Request& it) const {
  return std::min(it.request->deadline, answer_by_);
}

bool RequestFlow::IsTooLongForStop(const Request& it, TimePoint now) const {
  if (!refuses_long_requests_ || it.head_delivered ||
      it.request->deadline <= answer_by_) {
    return false;
  }
  const Duration target = it.request->answer_target;
  return target == Duration{0} ||
         answer_by_ - now < kMinTargetsBeforeStop * target;
}

Refusal RequestFlow::LateRefusal(const Request& it, const char* message) const {
  if (it.request->deadline <= answer_by_) {
    return {504, RunState::kNotRun, "deadline", message};
  }
  Refusal refusal = StoppingRefusal();
  if (it.may_have_run || it.head_delivered) {
    refusal.status = 502;
    refusal.retry_after = Duration{0};
  }
  return refusal;
}

void RequestFlow::TickRequest(Request& it, TimePoint now) {
  const bool is_late = now >= DeadlineOf(it);
  if (is_late || (it.stage != Stage::kRunning && IsTooLongForStop(it, now))) {
    // While the claim on the key is unanswered, an earlier request with the
    // same key may have run, so it is not proven that the request did not run.
    // `Refuse` changes the state below if `may_have_run` is set.
    const bool claim_unanswered =
        it.stage == Stage::kClaim &&
        it.request->repeatability == Repeatability::kKeyed;
    it.may_have_run = it.may_have_run || claim_unanswered || MayHaveStarted(it);
    ReleaseAttempt(it, AttemptOutcome::kDeadline, true, now);
    Refuse(
        it,
        LateRefusal(
            it, "The answer was not complete before the request's deadline."),
        now);
    return;
  }
  if (it.stage == Stage::kRoute) {
    if (now >= it.next_route_at) {
      Route(it, now);
    }
    return;
  }
  if (it.head_received && !it.head_delivered &&
      now - it.head_received_at >= options_.max_buffer_time &&
      !HasContentLength(it.answer.headers)) {
    DeliverHead(it);
  }
  if (it.attempt) {
    TickAttempt(it, now);
  }
}

void RequestFlow::TickAttempt(Request& it, TimePoint now) {
  Attempt& attempt = *it.attempt;
  const SideTable::Side* side = sides_.Find(attempt.instance());
  if (!side->link) {
    const Duration absent = now - side->absent_since;
    // An idempotent request does not wait for the side to return: waiting adds
    // latency, while a retry costs only duplicate work.
    const bool retry =
        absent >= options_.absence_grace &&
        MayRetry(it, Ending::kAmbiguous, AttemptReach::kTarget, now);
    if (retry || absent >= options_.resume_timeout) {
      FinishAttempt(
          it, Ending::kAmbiguous, AttemptOutcome::kTargetFailed,
          MakeSideRefusal("side_absent", "The target's side is unreachable."),
          retry, now);
    }
    return;
  }
  GrantCredit(it, 0);  // Resends credit that a full queue refused.
  if (now - attempt.last_message_at < options_.probe_interval) {
    return;
  }
  if (now - attempt.last_message_at >= options_.resume_timeout) {
    EndAttempt(it, Ending::kAmbiguous, AttemptOutcome::kTargetFailed,
               MakeSideRefusal("side_silent",
                               "The side stopped reporting on the request."),
               now);
  } else if (now - attempt.resume_requested_at >= options_.probe_interval) {
    RequestResume(it, *side->link, now);
  }
}

}  // namespace indigolead
