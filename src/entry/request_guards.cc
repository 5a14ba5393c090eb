#include "entry/request_guards.h"

#include <utility>

namespace indigolead {

RequestGuards::RequestGuards(Options options, Incarnation self, Hooks hooks,
                             Clock clock, EventLog log,
                             MetricsRegistry* metrics)
    : claims_(options.claims, self, ClaimHooks(hooks), clock, metrics),
      quarantine_(options.quarantine, QuarantineHooks(hooks), clock,
                  std::move(log), metrics) {}

ClaimService::Hooks RequestGuards::ClaimHooks(const Hooks& hooks) {
  ClaimService::Hooks out;
  out.send = hooks.send;
  out.granted = [flow = hooks.flow](const RequestId& id, TimePoint now) {
    flow().OnClaimGranted(id, now);
  };
  out.answered = [flow = hooks.flow](const RequestId& id, WholeAnswer answer,
                                     TimePoint now) {
    flow().OnClaimAnswered(id, std::move(answer), now);
  };
  out.refused = [flow = hooks.flow](const RequestId& id, Refusal refusal,
                                    TimePoint now) {
    flow().OnGateRefused(id, std::move(refusal), now);
  };
  out.on_home = [post = hooks.to_platform](const std::string& deployment,
                                           const HomeState& state) {
    post(HomeStateReported{deployment, state});
  };
  out.on_home_down = [post = hooks.to_platform](const std::string& instance) {
    post(HomeDisconnected{instance});
  };
  return out;
}

QuarantineService::Hooks RequestGuards::QuarantineHooks(const Hooks& hooks) {
  QuarantineService::Hooks out;
  out.send = hooks.send;
  out.policy = hooks.policy;
  out.persist = [post = hooks.to_platform](const SuspicionNotice& notice) {
    post(PersistQuarantine{notice});
  };
  return out;
}

void RequestGuards::InstallHooks(RequestFlowHooks* hooks) {
  hooks->check_quarantine = [this](const CallerRequest& it, TimePoint now) {
    return quarantine_.Check(it, now);
  };
  hooks->claim = [this](const CallerRequest& it, TimePoint now) {
    return claims_.Claim(it, now);
  };
  hooks->settle_claim = [this](const CallerRequest& it,
                               ClaimSettlement settlement,
                               const WholeAnswer* answer, TimePoint now) {
    claims_.Settle(it, settlement, answer, now);
  };
  hooks->report_target_crash =
      [this](const CallerRequest& it, const std::string& instance,
             TimePoint now) { quarantine_.ReportKill(it, instance, now); };
  const auto route = hooks->route ? hooks->route : LeastOutstanding;
  hooks->route = [this, route](const CallerRequest& it,
                               const std::vector<Candidate>& candidates,
                               TimePoint now) {
    auto guarded = quarantine_.Route(it, candidates, now);
    return guarded ? std::move(*guarded) : route(it, candidates, now);
  };
  hooks->on_sent = [this, next = std::move(hooks->on_sent)](
                       const CallerRequest& it, const AttemptId& attempt,
                       const SideInfo& side, TimePoint now) {
    quarantine_.OnSent(it, attempt, side, now);
    if (next) {
      next(it, attempt, side, now);
    }
  };
  hooks->on_attempt_end = [this, next = std::move(hooks->on_attempt_end)](
                              const CallerRequest& it, const AttemptId& attempt,
                              const std::string& instance,
                              AttemptOutcome outcome, TimePoint now) {
    quarantine_.OnAttemptEnd(it, attempt, outcome, now);
    if (next) {
      next(it, attempt, instance, outcome, now);
    }
  };
  hooks->on_done = [this, next = std::move(hooks->on_done)](
                       const CallerRequest& it, TimePoint now) {
    claims_.Done(it, now);
    if (next) {
      next(it, now);
    }
  };
}

EntryService RequestGuards::MakeService() {
  EntryService service;
  service.handle_message = [this](LinkId link, const wire::Envelope& message) {
    return claims_.HandleMessage(link, message) ||
           quarantine_.HandleMessage(link, message);
  };
  service.on_link_up = [this](LinkId link, const wire::Hello& hello) {
    claims_.OnLinkUp(link, hello);
    quarantine_.OnLinkUp(link, hello);
  };
  service.on_link_down = [this](LinkId link) {
    claims_.OnLinkDown(link);
    quarantine_.OnLinkDown(link);
  };
  service.tick = [this](TimePoint now) {
    claims_.Tick(now);
    quarantine_.Tick(now);
  };
  return service;
}

void RequestGuards::OnEvent(GuardEvent&& event, TimePoint now) {
  if (const auto* map = std::get_if<SlotMapRead>(&event)) {
    claims_.OnSlotMap(map->deployment, map->map);
  } else if (const auto* seen = std::get_if<QuarantineChanged>(&event)) {
    if (seen->notice.lifted) {
      quarantine_.Lift(seen->notice.fingerprint, now);
    } else {
      quarantine_.OnQuarantineRead(seen->notice, now);
    }
  }
}

}  // namespace indigolead
