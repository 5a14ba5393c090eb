// Routing: the choice among the targets that may get work now.

#include <algorithm>

#include "entry/direct_dispatcher.h"
#include "entry/event_fields.h"
#include "entry/events.h"
#include "entry/side_role.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;

/// Returns true if the target may get a part of the request's work.
bool MayWork(const Candidate& it) {
  return !it.other_software || RoleOf(*it.side) == EngineRole::kPrefill;
}

Refusal NoTarget(const std::string& service) {
  // Within seconds lost engines are replaced, or others change their role.
  return {503, RunState::kNotRun, "no_target",
          "No target of " + service + " can take the request now.",
          milliseconds(500)};
}

}  // namespace

RouteResult DirectDispatcher::Route(const CallerRequest& request,
                                    const std::vector<Candidate>& candidates,
                                    TimePoint now) {
  RouteResult result = ChooseTarget(request, candidates, now);
  const auto* refusal = std::get_if<Refusal>(&result);
  if (refusal && request.origin) {
    NoteStreamNotPlaced(request, candidates, *refusal, now);
  }
  return result;
}

RouteResult DirectDispatcher::ChooseTarget(
    const CallerRequest& request, const std::vector<Candidate>& candidates,
    TimePoint now) {
  decided_assignment_.reset();
  if (auto refusal = RefuseBlocked(request)) {
    return *refusal;
  }
  if (candidates.empty()) {
    return NoTarget(request.deployment);
  }
  if (auto result = RouteWithoutDecodeTarget(request, candidates, now)) {
    return *result;
  }
  const ServiceTraits* traits =
      routes_ ? routes_->FindService(request.deployment) : nullptr;
  if (traits && traits->engine) {
    return RouteToEngine(request, candidates, now);
  }
  return RouteToService(request.deployment, candidates, now);
}

std::optional<std::string> DirectDispatcher::ChooseDecodeTarget(
    const AttemptId& id, const CallerRequest& request) {
  if (RefuseBlocked(request)) {
    return std::nullopt;  // The block began during the prefill.
  }
  const auto engines =
      EnginesOf(request.deployment, flow_.CandidatesFor(request.id), clock_());
  auto decode_target =
      PlacementOf(request.deployment).PlaceDecode(id, engines, clock_());
  log_(kRunnerChosen,
       {{"request", request.caller_id},
        {"target", decode_target.value_or("none")},
        {"software", decode_target ? SoftwareVersionOf(*decode_target) : ""},
        {"after_ms", FormatMilliseconds(clock_() - request.received_at)}});
  if (decode_target) {
    limits_.OnSent(LimitKeyOf(*decode_target), clock_());
  }
  if (const auto it = open_requests_.find(request.id);
      decode_target && it != open_requests_.end()) {
    it->second.last_target = *decode_target;
  }
  return decode_target;
}

std::string DirectDispatcher::SoftwareVersionOf(
    const std::string& instance) const {
  const TargetRecord* target = directory_.Find(instance);
  return target ? target->software_version : "";
}

std::vector<PlacementEngine> DirectDispatcher::EnginesOf(
    const std::string& service, const std::vector<Candidate>& candidates,
    TimePoint now) const {
  const PlausibleSuspicions suspicions = SuspicionsOf(candidates, now);
  std::vector<PlacementEngine> engines;
  engines.reserve(candidates.size());
  for (const Candidate& it : candidates) {
    if (!MayWork(it)) {
      continue;
    }
    const std::string& instance = it.side->instance;
    engines.push_back({instance, it.side->failure_domain, RoleOf(*it.side),
                       it.tried, IsLastResort(instance, suspicions, now),
                       /*leaving=*/false, !MaySendTo(instance, now),
                       hooks_.knowledge_of
                           ? hooks_.knowledge_of(service, instance)
                           : TargetKnowledge{}});
  }
  for (const auto& [id, it] : leaving_) {
    if (it.record.service == service && now < it.until) {
      engines.push_back({id, it.record.failure_domain, it.record.role, false,
                         false, /*leaving=*/true});
    }
  }
  return engines;
}

DirectDispatcher::PlausibleSuspicions DirectDispatcher::SuspicionsOf(
    const std::vector<Candidate>& candidates, TimePoint now) const {
  PlausibleSuspicions suspicions;
  suspicions.broken = GuardIsPlausible(candidates, now);
  if (!directory_.undecided()) {
    return suspicions;
  }
  const auto missing = std::count_if(
      candidates.begin(), candidates.end(), [this](const Candidate& it) {
        return directory_.MayHaveLeft(it.side->instance);
      });
  suspicions.left =
      missing > 0 && TargetDirectory::MayHaveLeftTogether(
                         static_cast<std::size_t>(missing), candidates.size());
  return suspicions;
}

bool DirectDispatcher::IsLastResort(const std::string& instance,
                                    const PlausibleSuspicions& suspicions,
                                    TimePoint now) const {
  return (suspicions.broken && guard_.IsAvoided(instance, now)) ||
         (suspicions.left && directory_.MayHaveLeft(instance));
}

bool DirectDispatcher::GuardIsPlausible(
    const std::vector<Candidate>& candidates, TimePoint now) const {
  const auto avoided = std::count_if(
      candidates.begin(), candidates.end(), [&](const Candidate& it) {
        return guard_.IsAvoided(it.side->instance, now);
      });
  return FailureGuard::MayAvoidAtOnce(static_cast<std::size_t>(avoided),
                                      candidates.size());
}

RouteResult DirectDispatcher::RouteToEngine(
    const CallerRequest& request, const std::vector<Candidate>& candidates,
    TimePoint now) {
  const PlacementDecision decision =
      PlacementOf(request.deployment)
          .Place(request, EnginesOf(request.deployment, candidates, now), now);
  const auto* busy = std::get_if<EnginesBusy>(&decision);
  if (busy && MayWaitForRoom(request, now)) {
    return RouteWait{.held = true,
                     .again_after = options_.waiting_route_interval};
  }
  if (busy) {
    return Refusal{
        503, RunState::kNotRun, "engines_busy",
        "No engine could begin the answer in time; the first would in " +
            FormatMilliseconds(busy->first_event) + " ms.",
        busy->retry_after};
  }
  if (std::holds_alternative<EnginesRateLimited>(decision)) {
    return TargetsRateLimited(request.deployment, candidates, now);
  }
  if (const auto* assignment = std::get_if<EngineAssignment>(&decision)) {
    decided_assignment_ = *assignment;
    return RouteTo{assignment->decode, assignment->prefill};
  }
  return NoTarget(request.deployment);
}

// A request to engines needs one for prefill and one for decode, so the role
// that is unavailable for longer decides.
Duration DirectDispatcher::WaitForTargets(
    const std::vector<Candidate>& candidates, TimePoint now) const {
  std::map<EngineRole, Duration> least;
  for (const Candidate& it : candidates) {
    if (!MayWork(it)) {
      continue;
    }
    const Duration wait = WaitToSend(it.side->instance, now);
    const auto [held, added] = least.try_emplace(RoleOf(*it.side), wait);
    held->second = std::min(held->second, wait);
  }
  Duration longest = options_.min_closed_wait;
  for (const auto& [role, wait] : least) {
    longest = std::max(longest, wait);
  }
  return longest;
}

Refusal DirectDispatcher::TargetsRateLimited(
    const std::string& service, const std::vector<Candidate>& candidates,
    TimePoint now) const {
  const Duration wait = WaitForTargets(candidates, now);
  const bool in_cooldown = std::any_of(
      candidates.begin(), candidates.end(), [&](const Candidate& it) {
        return cooldowns_.WaitFor(it.side->instance, now) > Duration{0};
      });
  if (in_cooldown) {
    return {503, RunState::kNotRun, "targets_at_rest",
            "The targets of " + service + " want no request for " +
                FormatMilliseconds(wait) + " ms.",
            wait};
  }
  return {503, RunState::kNotRun, "targets_limited",
          "The targets of " + service +
              " have named limits, and this entry has used up its share.",
          wait};
}

RouteResult DirectDispatcher::RouteToService(
    const std::string& service, const std::vector<Candidate>& candidates,
    TimePoint now) const {
  const PlausibleSuspicions suspicions = SuspicionsOf(candidates, now);
  const Candidate* best = nullptr;
  std::uint64_t best_cost = 0;
  for (const Candidate& it : candidates) {
    if (it.other_software || !MaySendTo(it.side->instance, now)) {
      continue;
    }
    const bool other_domain =
        it.side->failure_domain != options_.failure_domain;
    // A target that was tried already comes last, as it may have caused the
    // retry.
    const bool last =
        it.tried || IsLastResort(it.side->instance, suspicions, now);
    const std::uint64_t cost =
        it.outstanding + (other_domain ? options_.domain_attempt_margin : 0) +
        (last ? 1'000'000 : 0);
    if (!best || cost < best_cost) {
      best = &it;
      best_cost = cost;
    }
  }
  if (!best) {
    return TargetsRateLimited(service, candidates, now);
  }
  return RouteTo{best->side->instance, ""};
}

}  // namespace indigolead
