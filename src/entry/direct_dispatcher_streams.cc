// Requests that continue a stream begun by an earlier request of the caller,
// and streams that an entry continues within one answer.

#include <algorithm>
#include <utility>

#include "entry/direct_dispatcher.h"
#include "entry/event_fields.h"
#include "entry/events.h"
#include "entry/side_role.h"

namespace indigolead {
namespace {

bool Prefills(const Candidate& candidate) {
  return RoleOf(*candidate.side) == EngineRole::kPrefill;
}

constexpr std::string_view kRecorded = "recorded";
/// Only one version was listed, but the store does not say that this holds up
/// to now.
constexpr std::string_view kListNotConfirmed = "list-not-confirmed";

}  // namespace

void DirectDispatcher::ContinueStream(
    const std::shared_ptr<const CallerRequest>& request) {
  if (request->resumes.empty() || !hooks_.find_origin) {
    OnFound(request, OriginUnknown::kNotRecorded);
    return;
  }
  hooks_.find_origin(
      request->resumes,
      [this, request](const OriginResult& found) { OnFound(request, found); });
}

// A record and the archive name the version that began the stream; the list
// only rules out others, so it is asked last.
void DirectDispatcher::OnFound(
    const std::shared_ptr<const CallerRequest>& request,
    const OriginResult& found) {
  if (const auto* recorded = std::get_if<StreamOrigin>(&found)) {
    OnOrigin(request, {*recorded, "record", kRecorded});
    return;
  }
  const auto why = std::get<OriginUnknown>(found);
  if (request->resumes.empty()) {
    OnOrigin(request, UnnamedOrigin(*request, why));
    return;
  }
  if (!hooks_.find_archived_origin) {
    ProveByList(request, why);
    return;
  }
  hooks_.find_archived_origin(
      request->resumes,
      [this, request, why](const std::optional<StreamOrigin>& archived) {
        if (archived) {
          OnOrigin(request, {archived, "archive", NameOf(why)});
        } else {
          ProveByList(request, why);
        }
      });
}

// A stream begins only at a target that is in the store's list by then, so a
// list that was asked for after the caller continued it has its version.
void DirectDispatcher::ProveByList(
    const std::shared_ptr<const CallerRequest>& request, OriginUnknown why) {
  if (!OnlyOrigin(*request)) {
    OnOrigin(request, {std::nullopt, NameOf(why), NameOf(why)});
    return;
  }
  if (!hooks_.confirm_targets) {
    OnOrigin(request, {std::nullopt, kListNotConfirmed, NameOf(why)});
    return;
  }
  hooks_.confirm_targets(
      request->received_at, [this, request, why](bool confirmed) {
        if (!confirmed) {
          OnOrigin(request, {std::nullopt, kListNotConfirmed, NameOf(why)});
        } else if (const auto origin = OnlyOrigin(*request)) {
          OnOrigin(request, {origin, "only-version", NameOf(why), true});
        } else {
          OnOrigin(request, {std::nullopt, NameOf(why), NameOf(why)});
        }
      });
}

std::optional<StreamOrigin> DirectDispatcher::OnlyOrigin(
    const CallerRequest& request) const {
  // A route with several services may have begun the stream at another one.
  const std::string& service = request.deployment;
  const auto* services = routes_ ? routes_->ServicesOf(request.route) : nullptr;
  const auto version = software_.OnlyVersion(service, clock_());
  if (!version || !services || services->size() != 1) {
    return std::nullopt;
  }
  return StreamOrigin{service, *version};
}

// Callers that do not name the request that began the stream are those of
// fleets that run one software version at a time.
DirectDispatcher::KnownOrigin DirectDispatcher::UnnamedOrigin(
    const CallerRequest& request, OriginUnknown why) const {
  const std::string& service = request.deployment;
  const auto seen = software_.OnlyVersionSeen(service, clock_());
  if (!seen) {
    return {std::nullopt, NameOf(why), NameOf(why)};
  }
  return {StreamOrigin{service, *seen}, "only-version-seen", NameOf(why), true};
}

void DirectDispatcher::OnOrigin(
    const std::shared_ptr<const CallerRequest>& request,
    const KnownOrigin& known) {
  const auto open = open_requests_.find(request->id);
  if (open == open_requests_.end()) {
    return;  // The caller has left.
  }
  const std::optional<StreamOrigin>& origin = known.origin;
  log_(kStreamContinued,
       {{"request", request->caller_id},
        {"resumes", request->resumes},
        {"after_event", request->after_event},
        {"origin", std::string(known.source)},
        {"service", origin ? origin->service : ""},
        {"software", origin ? origin->software_version : ""},
        {"records", std::string(known.records)},
        {"list_age_ms", FormatMilliseconds(directory_.Age(clock_()))},
        {"after_ms", FormatMilliseconds(clock_() - request->received_at)}});
  if (auto refusal = RefuseContinuation(*request, known)) {
    streams_not_continued_.Add();
    RequestAction refuse = AnswerRefusal{request->id, std::move(*refusal)};
    Act(refuse);
    return;
  }
  streams_continued_.Add();
  streams_continued_by_list_.Add(known.by_list ? 1 : 0);
  auto continued = std::make_shared<CallerRequest>(*request);
  continued->deployment = origin->service;
  continued->origin = origin;
  open->second.request = continued;
  Forward(std::move(continued));
}

std::optional<Refusal> DirectDispatcher::RefuseContinuation(
    const CallerRequest& request, const KnownOrigin& known) const {
  const std::optional<StreamOrigin>& origin = known.origin;
  if (!origin) {
    // An entry, or the store, that did not reply may do so later. If all did,
    // and the archive does not name the stream, no later request will find
    // more.
    const bool may_be_known_later =
        known.source == NameOf(OriginUnknown::kNoReply) ||
        known.source == kListNotConfirmed;
    return Refusal{
        503, RunState::kNotRun, "stream_origin_unknown",
        "It is not known which software version began the stream "
        "of request \"" +
            request.resumes + "\".",
        may_be_known_later ? options_.stream_retry_after : Duration{0}};
  }
  if (!routes_ || !routes_->Allows(request.route, origin->service)) {
    return Refusal{503, RunState::kNotRun, "stream_service_gone",
                   "Route \"" + request.route + "\" does not lead to service " +
                       origin->service + ", which began the stream, any more.",
                   options_.stream_retry_after};
  }
  return std::nullopt;
}

bool DirectDispatcher::MayWaitForRoom(const CallerRequest& request,
                                      TimePoint now) const {
  return request.origin && now - request.received_at < options_.max_room_wait &&
         request.deadline - now > options_.min_time_after_wait;
}

bool DirectDispatcher::IsDown(const std::string& instance,
                              TimePoint now) const {
  const auto it = down_until_.find(instance);
  return it != down_until_.end() && now < it->second;
}

std::optional<RouteResult> DirectDispatcher::RouteWithoutDecodeTarget(
    const CallerRequest& request, const std::vector<Candidate>& candidates,
    TimePoint now) {
  const auto is_other = [](const Candidate& it) { return it.other_software; };
  const auto decodes = [](const Candidate& it) {
    return !it.other_software && !Prefills(it);
  };
  const auto decodes_now = [&](const Candidate& it) {
    return decodes(it) && !IsDown(it.side->instance, now);
  };
  const auto own =
      std::find_if_not(candidates.begin(), candidates.end(), is_other);
  if (own == candidates.end()) {
    return Refusal{503, RunState::kNotRun, "no_target_of_version",
                   "No target of " + request.deployment +
                       " runs the software version that began the stream.",
                   options_.stream_retry_after};
  }
  const bool is_continued =
      request.origin ||
      std::any_of(candidates.begin(), candidates.end(), is_other);
  if (!is_continued) {
    return std::nullopt;
  }
  const ServiceVersion version{request.deployment, own->side->software_version};
  if (std::any_of(candidates.begin(), candidates.end(), decodes_now)) {
    role_changes_.OnDecodes(version);
    return std::nullopt;
  }
  const auto prefills = std::count_if(
      candidates.begin(), candidates.end(),
      [](const Candidate& it) { return !it.other_software && Prefills(it); });
  if (prefills == 0) {
    return std::nullopt;  // A target that crashed may be back by now.
  }
  return WaitForDecodeTarget(request, version, prefills, now);
}

RouteResult DirectDispatcher::WaitForDecodeTarget(const CallerRequest& request,
                                                  const ServiceVersion& version,
                                                  std::int64_t prefills,
                                                  TimePoint now) {
  const ServiceTraits* traits =
      routes_ ? routes_->FindService(version.service) : nullptr;
  const Duration change_time =
      traits && traits->engine ? traits->engine->role_change_time : Duration{0};
  const RoleChangeDecision decision =
      role_changes_.Decide(version, change_time, request.deadline, now);
  if (const auto* refuse = std::get_if<RefuseUntilRoleChange>(&decision)) {
    return Refusal{503, RunState::kNotRun, "no_target_of_version",
                   "All targets of " + version.service +
                       " that run the software version that began the stream "
                       "prefill.",
                   refuse->retry_after};
  }
  const auto open = open_requests_.find(request.id);
  if (open != open_requests_.end() &&
      !std::exchange(open->second.waits_for_role, true)) {
    streams_waited_.Add();
    log_(kStreamWaits,
         {{"request", request.caller_id},
          {"resumes", request.resumes},
          {"service", version.service},
          {"software", version.software_version},
          {"prefill", std::to_string(prefills)},
          {"expected_ms",
           FormatMilliseconds(std::get<WaitForRoleChange>(decision).expected)},
          {"left_ms", FormatMilliseconds(request.deadline - now)}});
  }
  return RouteWait{.held = true,
                   .again_after = options_.waiting_route_interval};
}

void DirectDispatcher::NoteStreamNotPlaced(
    const CallerRequest& request, const std::vector<Candidate>& candidates,
    const Refusal& refusal, TimePoint now) {
  int decode = 0;
  int prefill = 0;
  int down = 0;
  for (const Candidate& it : candidates) {
    if (!it.other_software) {
      ++(Prefills(it) ? prefill : decode);
      down += IsDown(it.side->instance, now) ? 1 : 0;
    }
  }
  streams_not_placed_.Add();
  log_(kStreamNotPlaced,
       {{"request", request.caller_id},
        {"resumes", request.resumes},
        {"service", request.deployment},
        {"software", request.origin->software_version},
        {"code", refusal.code},
        {"decode", std::to_string(decode)},
        {"prefill", std::to_string(prefill)},
        {"down", std::to_string(down)},
        {"targets_age_ms", FormatMilliseconds(directory_.Age(now))}});
}

}  // namespace indigolead
