#include "entry/direct_dispatcher.h"

#include <utility>

#include "core/request/answer_end.h"
#include "entry/event_fields.h"
#include "entry/events.h"

namespace indigolead {
namespace {

/// Arrivals at targets per attempt. With a separate prefill the request arrives
/// at two targets, and both count.
constexpr double kArrivalsSingleCall = 1;
constexpr double kArrivalsSeparatePrefill = 2;

constexpr double kBitsPerByte = 8;
/// Mean cost of a KV cache transfer. It takes twice as long between failure
/// domains, and about half of the transfers cross them.
constexpr double kTransferCost = 1.5;

std::string_view KindName(TargetChange::Kind kind) {
  switch (kind) {
    case TargetChange::Kind::kAdded:
      return "added";
    case TargetChange::Kind::kUpdated:
      return "updated";
    case TargetChange::Kind::kRestarted:
      return "restarted";
    case TargetChange::Kind::kLeaving:
      return "leaving";
    case TargetChange::Kind::kReturned:
      return "returned";
    case TargetChange::Kind::kRemoved:
      break;
  }
  return "removed";
}

}  // namespace

DirectDispatcher::DirectDispatcher(boost::asio::io_context* io, Options options,
                                   TargetDialect dialect, Hooks hooks,
                                   Clock clock, const IdSource& ids,
                                   RandomSource random, EventLog log,
                                   MetricsRegistry* metrics)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(clock),
      random_(std::move(random)),
      log_(log),
      flow_(options_.flow, FlowHooks(), ids),
      transport_(io, &flow_, options_.transport, std::move(dialect),
                 TransportHooks(), clock, log),
      directory_(options_.directory),
      software_(options_.software),
      guard_(options_.guard),
      crashes_(options_.crashes, CrashHooks(), clock, log),
      role_changes_(options_.role_change),
      limits_(options_.limit_share, random_),
      accounts_(metrics),
      stray_answers_(metrics, log),
      answered_(metrics->AddCounter("indigolead_requests_answered_total",
                                    "Requests answered by a target.")),
      refused_(metrics->AddCounter("indigolead_requests_refused_total",
                                   "Requests refused; none of them has run.")),
      broken_(metrics->AddCounter(
          "indigolead_requests_unknown_total",
          "Requests that may have run and got no whole answer.")),
      abandoned_(metrics->AddCounter("indigolead_requests_abandoned_total",
                                     "Requests whose caller left.")),
      retries_denied_(
          metrics->AddCounter("indigolead_retries_denied_total",
                              "Further attempts that the budget denied.")),
      further_arrivals_(metrics->AddCounter(
          "indigolead_further_arrivals_total",
          "Arrivals at targets that the retry budget was charged for.")),
      further_arrivals_unmade_(metrics->AddCounter(
          "indigolead_further_arrivals_unmade_total",
          "Arrivals given back to the retry budget: no target was asked.")),
      targets_(metrics->AddGauge("indigolead_targets_known",
                                 "Targets in the directory.")),
      limited_targets_(metrics->AddGauge(
          "indigolead_targets_limited",
          "Targets that name a limit on the requests that they take.")),
      targets_in_cooldown_(metrics->AddGauge(
          "indigolead_targets_at_rest",
          "Targets that want no request of this entry for a while.")),
      calls_held_back_(metrics->AddCounter(
          "indigolead_calls_held_back_total",
          "Calls of any kind that were not written, since their target had "
          "asked for rest or leaves.")),
      streams_continued_(metrics->AddCounter(
          "indigolead_streams_continued_total",
          "Requests to continue a stream that were forwarded.")),
      streams_continued_by_list_(metrics->AddCounter(
          "indigolead_streams_continued_by_list_total",
          "Requests to continue a stream that were forwarded since only one "
          "software version was listed; neither a record nor the archive named "
          "the stream.")),
      streams_not_continued_(metrics->AddCounter(
          "indigolead_streams_not_continued_total",
          "Requests to continue a stream that were refused: what began it is "
          "not known, or its service is not the route's any more.")),
      streams_not_placed_(metrics->AddCounter(
          "indigolead_streams_not_placed_total",
          "Requests to continue a stream that were refused although it is "
          "known what began it: no target could take them.")),
      streams_waited_(metrics->AddCounter(
          "indigolead_streams_waited_total",
          "Requests to continue a stream that waited until a target of its "
          "software version decodes.")),
      answers_ended_by_close_(metrics->AddCounter(
          "indigolead_answers_ended_by_close_total",
          "Answers of targets with neither a length nor chunks that ended with "
          "their connection.")),
      streams_ended_inside_event_(metrics->AddCounter(
          "indigolead_streams_ended_inside_event_total",
          "Streams of targets that ended in order, but inside an event.")),
      answer_seconds_(metrics->AddHistogram(
          "indigolead_answer_seconds",
          "Time from taking a request to the head of its answer.")),
      refusal_seconds_(metrics->AddHistogram(
          "indigolead_refusal_seconds",
          "Time from taking a request to telling its caller that there is no "
          "answer.")) {}

RequestFlowHooks DirectDispatcher::FlowHooks() {
  RequestFlowHooks hooks;
  hooks.route = [this](const CallerRequest& request,
                       const std::vector<Candidate>& candidates,
                       TimePoint now) {
    return Route(request, candidates, now);
  };
  hooks.spend_retry = [this](const CallerRequest& request, AttemptReach reach,
                             TimePoint) { return SpendRetry(request, reach); };
  hooks.may_have_started = [this](const AttemptId& id) {
    return transport_.MayHaveStarted(id);
  };
  hooks.on_sent = [this](const CallerRequest& request, const AttemptId& id,
                         const SideInfo& side,
                         TimePoint now) { OnSent(request, id, side, now); };
  hooks.on_stream_begun = [this](const CallerRequest& request,
                                 const std::string& software_version) {
    const bool is_new = request.may_resume && !request.origin;
    if (is_new && !software_version.empty() && hooks_.on_stream_begun) {
      hooks_.on_stream_begun(request.caller_id,
                             {request.deployment, software_version});
    }
  };
  if (hooks_.on_stream_placed && hooks_.withdraw_placement) {
    hooks.on_stream_placed = [this](const CallerRequest& request,
                                    const std::string& software_version) {
      hooks_.on_stream_placed(request.caller_id,
                              {request.deployment, software_version});
    };
    hooks.withdraw_placement = [this](const CallerRequest& request) {
      return hooks_.withdraw_placement(request.caller_id);
    };
  }
  hooks.on_attempt_end = [this](const CallerRequest& request,
                                const AttemptId& id, const std::string&,
                                AttemptOutcome outcome, TimePoint now) {
    OnAttemptEnd(request, id, outcome, now);
  };
  return hooks;
}

DirectTransport::Hooks DirectDispatcher::TransportHooks() {
  DirectTransport::Hooks hooks;
  hooks.on_prefilled = [this](const AttemptId& id) {
    for (auto& [service, placement] : placements_) {
      placement.OnPrefilled(id, clock_());
    }
  };
  hooks.copy_source = [this](const AttemptId& id) {
    for (const auto& [service, placement] : placements_) {
      std::string from = placement.CopySourceOf(id);
      if (!from.empty()) {
        return from;
      }
    }
    return std::string();
  };
  hooks.on_answering = [this](const AttemptId& id) {
    for (auto& [service, placement] : placements_) {
      placement.OnAnswerStarted(id, clock_());
    }
  };
  hooks.choose_decode_target = [this](const AttemptId& id,
                                      const CallerRequest& request) {
    return ChooseDecodeTarget(id, request);
  };
  hooks.on_decode_refused = [this](const AttemptId& id) {
    for (auto& [service, placement] : placements_) {
      placement.OnDecodeRefused(id, clock_());
    }
  };
  hooks.try_charge_arrival = [this](const CallerRequest& request) {
    return SpendRetry(request, AttemptReach::kPrefillEngine);
  };
  hooks.on_arrival_canceled = [this](const CallerRequest& request) {
    BudgetOf(request.deployment).Refund(kArrivalsSingleCall);
    further_arrivals_unmade_.Add(
        static_cast<std::uint64_t>(kArrivalsSingleCall));
  };
  hooks.on_doubtful_end =
      [this](const std::string& instance, const std::optional<TargetRun>& run,
             const CallerRequest& request, const AnswerBodyEnd& end) {
        answers_ended_by_close_.Add(end.framing == BodyFraming::kClose ? 1 : 0);
        streams_ended_inside_event_.Add(
            end.position == StreamPosition::kInsideEvent ? 1 : 0);
        if (!FindTruncation(end) && end.status < kMinFailureStatus) {
          OnDoubtfulEnd(instance, run, request);
        }
      };
  hooks.on_call_end = [this](const std::string& instance, bool broke) {
    OnCallEnd(instance, broke);
  };
  hooks.on_request_broke = [this](const std::string& instance,
                                  const std::optional<TargetRun>& run,
                                  const CallerRequest& request) {
    OnRequestBroke(instance, run, request);
  };
  hooks.on_request_abandoned = [this](const std::string& instance,
                                      const std::optional<TargetRun>& run,
                                      const CallerRequest& request) {
    OnRequestAbandoned(instance, run, request);
  };
  hooks.on_extra_call = [this](const std::string& instance) {
    limits_.OnSent(LimitKeyOf(instance), clock_());
  };
  hooks.on_limit_notice = [this](const std::string& instance,
                                 const LimitNotice& notice) {
    OnLimitNotice(instance, notice);
  };
  hooks.may_write = [this](const std::string& instance, bool is_new_work) {
    return MayWrite(instance, is_new_work);
  };
  hooks.on_cooldown_requested = [this](const std::string& instance,
                                       Duration length) {
    OnTargetCooldownRequested(instance, length);
  };
  hooks.on_leaving_announced = [this](const std::string& instance) {
    OnLeavingNotice(instance);
  };
  hooks.on_stray_answer = [this](const std::string& instance,
                                 StrayAnswer reason) {
    stray_answers_.Add(instance, reason, clock_());
  };
  hooks.flush = [this] { Flush(); };
  return hooks;
}

void DirectDispatcher::OnRequest(std::shared_ptr<const CallerRequest> request) {
  open_requests_[request->id].request = request;
  const bool continues_stream =
      request->streamed &&
      !(request->resumes.empty() && request->after_event.empty());
  if (continues_stream) {
    ContinueStream(request);
  } else {
    Forward(std::move(request));
  }
}

void DirectDispatcher::Forward(std::shared_ptr<const CallerRequest> request) {
  BudgetOf(request->deployment).OnRequest(clock_());
  flow_.OnRequest(std::move(request), clock_());
  Flush();
}

void DirectDispatcher::OnCallerDisconnected(const RequestId& id) {
  const auto it = open_requests_.find(id);
  if (it != open_requests_.end()) {
    abandoned_.Add();
    const CallerRequest& request = *it->second.request;
    NoteEndedRun(&it->second);
    log_(kRequestAbandoned,
         {{"request", request.caller_id},
          {"route", request.route},
          {"target", it->second.last_target},
          {"fingerprint", FingerprintText(request.fingerprint)},
          {"after_ms", FormatMilliseconds(clock_() - request.received_at)}});
    CloseRequest(id);
  }
  flow_.OnCallerDisconnected(id, clock_());
  Flush();
}

void DirectDispatcher::OnAnswerBytesWritten(const RequestId& id,
                                            std::uint64_t bytes) {
  flow_.OnAnswerBytesWritten(id, bytes, clock_());
  Flush();
}

bool DirectDispatcher::OnRoutes(RouteConfiguration routes) {
  const std::uint64_t held = routes_ ? routes_->version() : 0;
  if (routes.version <= held) {
    if (routes.version < held) {
      log_(kRoutesRefused, {{"version", std::to_string(routes.version)},
                            {"held", std::to_string(held)},
                            {"cause", "older"}});
    }
    return false;
  }
  log_(kRoutesInForce, {{"version", std::to_string(routes.version)},
                        {"before", std::to_string(held)},
                        {"routes", std::to_string(routes.routes.size())}});
  routes_ = std::make_shared<const RouteTable>(std::move(routes));
  for (auto& [service, placement] : placements_) {
    placement.SetLimits(LimitsOf(service));
  }
  return true;
}

void DirectDispatcher::OnTargets(const std::vector<TargetRecord>& listed) {
  software_.OnListed(listed, clock_());
  Apply(directory_.OnListed(listed, clock_()));
}

void DirectDispatcher::OnTargetsSoFar(const std::vector<TargetRecord>& listed) {
  software_.OnSeen(listed, clock_());
  Apply(directory_.OnListed(listed, clock_()));
}

void DirectDispatcher::OnStoreLost(TimePoint heard_at) {
  software_.OnStoreLost();
  directory_.OnStoreLost(heard_at);
}

void DirectDispatcher::OnStoreFollowed() {
  software_.OnStoreFollowed(clock_());
  directory_.OnStoreFollowed(clock_());
}

void DirectDispatcher::UpdateRetryPart() {
  if (!options_.retry_allowance) {
    return;
  }
  const RetryAllowance& allowance = *options_.retry_allowance;
  const TimePoint now = clock_();
  const RetryPart part = allowance.PartOf(entries_, now);
  if (part == options_.retry_budget.part) {
    return;
  }
  options_.retry_budget.part = part;
  log_(kRetryPartChanged,
       {{"saved", std::to_string(part.saved)},
        {"refilled", std::to_string(part.refilled)},
        {"standing", std::string(NameOf(allowance.Standing(entries_, now)))},
        {"entries", std::to_string(entries_.names.size())}});
  for (auto& [service, budget] : budgets_) {
    budget.SetPart(part, now);
  }
}

void DirectDispatcher::Apply(const std::vector<TargetChange>& changes) {
  for (const TargetChange& it : changes) {
    log_(kTargetListChanged,
         {{"target", it.target.id},
          {"change", std::string(KindName(it.kind))},
          {"service", it.target.service},
          {"address", it.target.address},
          {"failure_domain", it.target.failure_domain},
          {"role", std::to_string(static_cast<int>(it.target.role))},
          {"software", it.target.software_version}});
    NoteEndedRuns(it);
    transport_.OnTarget(it);
    UpdateAddress(it);
    NoteLeaving(it);
    if (it.kind == TargetChange::Kind::kRemoved ||
        it.kind == TargetChange::Kind::kRestarted) {
      PlacementOf(it.target.service).Forget(it.target.id);
      guard_.Forget(it.target.id);
      down_until_.erase(it.target.id);
      cooldowns_.Forget(it.target.id);
    }
    if (it.kind != TargetChange::Kind::kRemoved) {
      OnSharedLimit(it.target);
    }
    if (hooks_.on_target) {
      hooks_.on_target(it);
    }
  }
  targets_.Set(static_cast<std::int64_t>(directory_.size()));
  limited_targets_.Set(static_cast<std::int64_t>(limits_.size()));
}

void DirectDispatcher::Tick() {
  const LimitShare::Standing standing = limits_.standing();
  limits_.Tick(clock_());
  LogStanding(standing);
  RemoveExpiredCooldowns();
  crashes_.Tick();
  UpdateRetryPart();
  Apply(directory_.Tick(clock_()));
  flow_.Tick(clock_());
  Flush();
}

void DirectDispatcher::NoteLeaving(const TargetChange& change) {
  if (change.kind == TargetChange::Kind::kLeaving) {
    leaving_[change.target.id] = {change.target,
                                  clock_() + options_.leaving_copy_window};
  } else {
    leaving_.erase(change.target.id);
  }
}

void DirectDispatcher::OnCallEnd(const std::string& instance, bool broke) {
  if (!broke) {
    down_until_.erase(instance);
    guard_.RecordSuccess(instance);
    return;
  }
  const Duration avoided = guard_.RecordFailure(instance, clock_());
  if (avoided > Duration{0}) {
    log_(kTargetAvoided,
         {{"target", instance}, {"for_ms", FormatMilliseconds(avoided)}});
  }
}

void DirectDispatcher::OnSent(const CallerRequest& request, const AttemptId& id,
                              const SideInfo& side, TimePoint now) {
  std::string prefill;
  std::string work;
  if (decided_assignment_) {
    PlacementOf(request.deployment)
        .OnSent(id, request, *decided_assignment_, now);
    prefill = decided_assignment_->prefill;
    work = std::to_string(
        static_cast<std::int64_t>(decided_assignment_->prefill_work));
    decided_assignment_.reset();
  }
  limits_.OnSent(LimitKeyOf(prefill.empty() ? side.instance : prefill), now);
  std::uint32_t number = 1;
  if (const auto it = open_requests_.find(request.id);
      it != open_requests_.end()) {
    number = ++it->second.attempts;
    it->second.sent_at = now;
    it->second.last_target = side.instance;
  }
  log_(kRequestPlaced,
       {{"request", request.caller_id},
        {"route", request.route},
        {"account", request.client_account},
        {"target", side.instance},
        {"software", side.software_version},
        {"resumes", request.resumes},
        {"after_event", request.after_event},
        {"prefill", prefill},
        {"work", work},
        {"attempt", std::to_string(number)},
        {"config", std::to_string(request.config_revision)},
        {"fingerprint", FingerprintText(request.fingerprint)},
        {"parts", SharedPartsText(request.prompt_parts)},
        {"targets_age_ms", FormatMilliseconds(directory_.Age(now))},
        {"after_ms", FormatMilliseconds(now - request.received_at)},
        {"left_ms", FormatMilliseconds(request.deadline - now)}});
}

void DirectDispatcher::OnAttemptEnd(const CallerRequest& request,
                                    const AttemptId& id, AttemptOutcome outcome,
                                    TimePoint now) {
  const auto it = placements_.find(request.deployment);
  if (it != placements_.end()) {
    it->second.OnEnded(id, outcome == AttemptOutcome::kNotStarted, now);
  }
}

bool DirectDispatcher::SpendRetry(const CallerRequest& request,
                                  AttemptReach reach) {
  // A request may make the arrivals of one attempt without charge. If an
  // attempt reached only the prefill engine, another one exceeds them by one
  // arrival.
  const double arrivals = reach == AttemptReach::kPrefillEngine
                              ? kArrivalsSingleCall
                              : MaxArrivalsPerAttempt(request.deployment);
  EntryRetryBudget& budget = BudgetOf(request.deployment);
  const bool granted = budget.TryTake(arrivals, clock_());
  const double left = budget.left() + (granted ? arrivals : 0);
  retries_denied_.Add(granted ? 0 : 1);
  further_arrivals_.Add(granted ? static_cast<std::uint64_t>(arrivals) : 0);
  LogRetry(request, arrivals, left, granted);
  return granted;
}

EnginePlacement& DirectDispatcher::PlacementOf(const std::string& service) {
  const auto [it, added] =
      placements_.try_emplace(service, options_.placement, random_);
  if (added) {
    it->second.SetLimits(LimitsOf(service));
  }
  return it->second;
}

EngineLimits DirectDispatcher::LimitsOf(const std::string& service) const {
  const ServiceTraits* traits =
      routes_ ? routes_->FindService(service) : nullptr;
  if (!traits || !traits->engine) {
    return {};
  }
  const EngineTraits& engine = *traits->engine;
  const double bits = engine.kv_bytes_per_token * kBitsPerByte * kTransferCost;
  return {static_cast<double>(engine.slots),
          static_cast<double>(engine.kv_capacity_tokens),
          engine.link_bits_per_s > 0 ? bits / engine.link_bits_per_s : 0};
}

RoleLoad DirectDispatcher::LoadOf(const std::string& service) {
  return PlacementOf(service).Load(clock_());
}

std::vector<std::string> DirectDispatcher::EngineServices() const {
  std::vector<std::string> names;
  if (routes_) {
    for (const ServiceTraits& it : routes_->configuration().services) {
      if (it.engine) {
        names.push_back(it.name);
      }
    }
  }
  return names;
}

EntryRetryBudget& DirectDispatcher::BudgetOf(const std::string& service) {
  UpdateRetryPart();  // The list may be stale after a process stall.
  const auto held = budgets_.find(service);
  if (held != budgets_.end()) {
    return held->second;
  }
  EntryRetryBudget::Options options = options_.retry_budget;
  options.min_saved = MaxArrivalsPerAttempt(service);
  return budgets_.try_emplace(service, options).first->second;
}

double DirectDispatcher::MaxArrivalsPerAttempt(
    const std::string& service) const {
  const ServiceTraits* traits =
      routes_ ? routes_->FindService(service) : nullptr;
  return traits && traits->engine ? kArrivalsSeparatePrefill
                                  : kArrivalsSingleCall;
}

void DirectDispatcher::Flush() {
  if (std::exchange(flushing_, true)) {
    return;  // The outer call's loop takes the new actions.
  }
  for (;;) {
    actions_.clear();
    flow_.TakeActions(&actions_);
    if (actions_.empty()) {
      break;
    }
    std::vector<RequestAction> batch = std::move(actions_);
    actions_ = {};
    for (RequestAction& it : batch) {
      Act(it);
    }
  }
  flushing_ = false;
}

void DirectDispatcher::Act(RequestAction& action) {
  LogEnd(action);
  std::visit(
      [this](auto& it) {
        using T = std::decay_t<decltype(it)>;
        constexpr bool kToTarget =
            std::is_same_v<T, SendStart> || std::is_same_v<T, SendCredit> ||
            std::is_same_v<T, SendCancel> || std::is_same_v<T, SendResume>;
        if constexpr (kToTarget) {
          transport_.Act(it);
        } else {
          hooks_.to_callers(ToCallers(std::move(it)));
        }
      },
      action);
}

}  // namespace indigolead
