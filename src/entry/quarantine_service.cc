#include "entry/quarantine_service.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "entry/claim_events.h"
#include "wire/quarantine_codec.h"

namespace indigolead {

QuarantineService::QuarantineService(Options options, Hooks hooks, Clock clock,
                                     EventLog log, MetricsRegistry* metrics)
    : options_(options),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      quarantine_(options.quarantine),
      kills_(metrics->AddCounter("indigolead_target_kills_total",
                                 "Requests in flight when a target died.")),
      refused_(metrics->AddCounter("indigolead_quarantine_refused_total",
                                   "Requests refused by a quarantine.")),
      record_count_(metrics->AddGauge("indigolead_quarantine_records",
                                      "Suspects and quarantines held.")) {}

Quarantine::Subject QuarantineService::SubjectOf(
    const CallerRequest& request) const {
  return {request.fingerprint, request.client_account, request.deployment,
          hooks_.policy(request.deployment)};
}

std::optional<Refusal> QuarantineService::Check(const CallerRequest& request,
                                                TimePoint now) {
  const auto verdict = quarantine_.Check(SubjectOf(request), {}, now);
  const auto* active = std::get_if<Quarantine::Quarantined>(&verdict);
  if (!active) {
    return std::nullopt;
  }
  refused_.Add();
  // An earlier try of a keyed request may have run and killed a target, so
  // "not-run" would be wrong for its key.
  const RunState run = request.repeatability == Repeatability::kKeyed
                           ? RunState::kUnknown
                           : RunState::kNotRun;
  return Refusal{
      422, run, "request_quarantined",
      "This request is not run any more: it was " + active->reason + ".",
      active->remaining};
}

std::optional<RouteResult> QuarantineService::Route(
    const CallerRequest& request, const std::vector<Candidate>& candidates,
    TimePoint now) {
  std::vector<std::string> targets;
  targets.reserve(candidates.size());
  for (const Candidate& it : candidates) {
    if (HoldsModel(*it.side, request.model)) {
      targets.push_back(it.side->instance);
    }
  }
  const auto verdict = quarantine_.Check(SubjectOf(request), targets, now);
  if (const auto* only = std::get_if<Quarantine::OnlyTo>(&verdict)) {
    const bool is_candidate = std::find(targets.begin(), targets.end(),
                                        only->instance) != targets.end();
    return is_candidate ? RouteResult(RouteTo{only->instance})
                        : RouteResult(RouteWait{true});
  }
  if (std::holds_alternative<Quarantine::Anywhere>(verdict)) {
    return std::nullopt;
  }
  return RouteWait{true};
}

void QuarantineService::OnSent(const CallerRequest& request,
                               const AttemptId& attempt, const SideInfo& side,
                               TimePoint now) {
  quarantine_.OnStarted(SubjectOf(request), attempt, side.instance, now);
  SendNotices();
}

void QuarantineService::OnAttemptEnd(const CallerRequest& request,
                                     const AttemptId& attempt,
                                     AttemptOutcome outcome, TimePoint now) {
  if (outcome == AttemptOutcome::kComplete) {
    quarantine_.OnFinished(attempt, now);
  } else {
    quarantine_.OnFailed(attempt);
  }
  if (outcome == AttemptOutcome::kNotStarted) {
    quarantine_.DeferUntil(request.fingerprint,
                           now + options_.suspect_retry_delay);
  }
  SendNotices();
}

void QuarantineService::ReportKill(const CallerRequest& request,
                                   const std::string& instance, TimePoint now) {
  kills_.Add();
  quarantine_.OnCrash(SubjectOf(request), instance, now);
  log_(kTargetKilled, {{"target", instance},
                       {"client_account", request.client_account},
                       {"fingerprint", std::to_string(request.fingerprint)}});
  SendNotices();
}

bool QuarantineService::HandleMessage(LinkId /*link*/,
                                      const wire::Envelope& message) {
  if (message.body_case() != wire::Envelope::kQuarantine) {
    return false;
  }
  const SuspicionNotice notice = ReadNotice(message.quarantine());
  quarantine_.OnNotice(notice, hooks_.policy(notice.deployment), clock_());
  SendNotices();
  return true;
}

void QuarantineService::OnLinkUp(LinkId link, const wire::Hello& hello) {
  if (hello.kind() != wire::PROCESS_SIDE) {
    return;
  }
  sides_[link] = hello.target().deployment();
  for (const SuspicionNotice& it : quarantine_.List(clock_())) {
    wire::Envelope out;
    FillNotice(it, out.mutable_quarantine());
    // Entries that have just started learn of the quarantine through this side.
    out.mutable_quarantine()->set_relay(true);
    hooks_.send(link, out);
  }
}

void QuarantineService::OnLinkDown(LinkId link) { sides_.erase(link); }

void QuarantineService::Tick(TimePoint now) {
  quarantine_.Tick(now);
  SendNotices();
  record_count_.Set(static_cast<std::int64_t>(quarantine_.size()));
}

void QuarantineService::OnQuarantineRead(const SuspicionNotice& notice,
                                         TimePoint now) {
  quarantine_.OnNotice(notice, hooks_.policy(notice.deployment), now);
}

void QuarantineService::Lift(Fingerprint fingerprint, TimePoint now) {
  quarantine_.Lift(fingerprint, now);
  SendNotices();
}

void QuarantineService::SendNotices() {
  for (const SuspicionNotice& notice : quarantine_.TakeNotices()) {
    if (notice.quarantined) {
      log_(kRequestQuarantined,
           {{"fingerprint", std::to_string(notice.fingerprint)},
            {"client_account", notice.client_account},
            {"reason", notice.reason}});
    } else if (notice.lifted) {
      log_(kQuarantineLifted,
           {{"fingerprint", std::to_string(notice.fingerprint)}});
    }
    if (hooks_.persist && (notice.quarantined || notice.lifted)) {
      hooks_.persist(notice);
    }
    wire::Envelope out;
    FillNotice(notice, out.mutable_quarantine());
    std::size_t relay_count = 0;
    for (const auto& [link, deployment] : sides_) {
      if (deployment == notice.deployment) {
        out.mutable_quarantine()->set_relay(relay_count++ <
                                            options_.relay_count);
        hooks_.send(link, out);
      }
    }
  }
}

}  // namespace indigolead
