#include "entry/load_control.h"

#include <algorithm>
#include <utility>

#include "entry/attempt_messages.h"

namespace indigolead {
namespace {

/// Minimum number of completed requests of an account before its requests are
/// refused by their expected duration.
constexpr std::uint32_t kMinSamples = 20;

/// Validity of a learned duration ratio. It expires because a wrong ratio would
/// otherwise refuse all requests that could correct it.
constexpr Duration kRatioValidity = std::chrono::seconds(10);

/// Concurrent requests assumed for a plain service, which reports no load.
constexpr std::uint32_t kServiceSlots = 256;

RouterOptions RouterOptionsFor(const DeploymentSpec& spec,
                               const std::string& failure_domain,
                               std::uint32_t max_targets) {
  RouterOptions options;
  options.failure_domain = failure_domain;
  options.max_targets = max_targets;
  if (spec.kind == DeploymentKind::kService) {
    options.defaults.slots = kServiceSlots;
  }
  return options;
}

AdmissionOptions AdmissionOptionsFor(const DeploymentSpec& spec) {
  AdmissionOptions options;
  options.queue.max_requests = spec.request.max_queue_requests;
  options.queue.max_work = static_cast<double>(spec.request.max_queue_tokens);
  return options;
}

EngineRole RoleFrom(const std::string& name) {
  if (name == "prefill") {
    return EngineRole::kPrefill;
  }
  return name == "decode" ? EngineRole::kDecode : EngineRole::kMixed;
}

TargetView ViewOf(const SideInfo& info, bool offered) {
  TargetView view;
  view.instance = info.instance;
  view.failure_domain = info.failure_domain;
  view.role = RoleFrom(info.role);
  view.models = info.models;
  view.adapters = info.adapters;
  view.serving = offered && info.target_up;
  view.leaving = info.leaving;
  return view;
}

AttemptResult ResultOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kComplete:
      return AttemptResult::kFinished;
    case AttemptOutcome::kTargetFailed:
    case AttemptOutcome::kTargetDied:
      return AttemptResult::kTargetFailed;
    default:
      return AttemptResult::kOther;
  }
}

bool IsClientLimit(RefusalCause cause) {
  return cause == RefusalCause::kConcurrency ||
         cause == RefusalCause::kRequestRate ||
         cause == RefusalCause::kTokenRate;
}

}  // namespace

LoadControl::LoadControl(Options options, Outputs outputs, RandomSource random,
                         MetricsRegistry* metrics)
    : options_(std::move(options)),
      outputs_(std::move(outputs)),
      random_(std::move(random)),
      refusals_(metrics->AddCounter("indigolead_entry_admission_refusals_total",
                                    "Requests refused by admission, not run")),
      queued_(metrics->AddGauge("indigolead_entry_admission_queued",
                                "Requests that wait for admission")) {}

void LoadControl::Install(RequestFlowHooks* hooks) {
  hooks->admit = [this](const CallerRequest& request, TimePoint now) {
    return Admit(request, now);
  };
  hooks->route = [this](const CallerRequest& request,
                        const std::vector<Candidate>& candidates,
                        TimePoint now) {
    return Route(request, candidates, now);
  };
  hooks->on_sent = [this](const CallerRequest& request,
                          const AttemptId& attempt, const SideInfo& side,
                          TimePoint now) {
    OnSent(request, attempt, side, now);
  };
  hooks->on_first_frame = [this](const AttemptId& attempt, TimePoint now) {
    OnFirstFrame(attempt, now);
  };
  hooks->on_attempt_end = [this](const CallerRequest& request,
                                 const AttemptId& attempt, const std::string&,
                                 AttemptOutcome outcome, TimePoint now) {
    OnAttemptEnd(request, attempt, outcome, now);
  };
  hooks->on_done = [this](const CallerRequest& request, TimePoint now) {
    OnDone(request, now);
  };
}

EntryService LoadControl::Service(Clock clock) {
  EntryService service;
  service.handle_message = [this, clock](LinkId link,
                                         const wire::Envelope& message) {
    return OnEnvelope(link, message, clock());
  };
  service.on_link_up = [this](LinkId link, const wire::Hello& hello) {
    OnLinkUp(link, hello);
  };
  service.on_link_down = [this](LinkId link) { sides_.erase(link); };
  service.tick = [this](TimePoint now) { Tick(now); };
  return service;
}

LoadControl::Deployment* LoadControl::Find(const std::string& name) {
  const auto it = deployments_.find(name);
  return it == deployments_.end() ? nullptr : it->second.get();
}

void LoadControl::OnRevision(const Revision& revision) {
  const DeploymentSpec& spec = revision.spec;
  Deployment* deployment = Find(spec.name);
  if (deployment == nullptr) {
    if (deployments_.size() >= options_.max_deployments) {
      return;
    }
    // Each router has its own random sequence.
    auto made = std::make_unique<Deployment>(
        RouterOptionsFor(spec, options_.failure_domain, options_.max_targets),
        AdmissionOptionsFor(spec), MakeSeededRandom(random_()));
    deployment = made.get();
    deployments_.emplace(spec.name, std::move(made));
  }
  deployment->admission.Configure(spec);
  std::erase_if(deployment->ratios, [&spec](const auto& it) {
    return std::none_of(
        spec.client_accounts.begin(), spec.client_accounts.end(),
        [&it](const auto& account) { return account.name == it.first; });
  });
  for (const auto& [link, info] : sides_) {
    if (info.deployment == spec.name) {
      Observe(deployment, info);
    }
  }
}

// Messages of sides.

void LoadControl::Observe(Deployment* deployment, const SideInfo& info) {
  Target& target = deployment->targets[info.instance];
  const bool restarted = target.info.incarnation != info.incarnation;
  const bool known = !target.info.instance.empty();
  target.info = info;
  target.offered = true;
  const auto handle = deployment->router.UpdateTarget(ViewOf(info, true));
  if (!handle) {
    deployment->targets.erase(info.instance);
    return;
  }
  target.handle = *handle;
  if (known && restarted) {
    deployment->router.OnRestart(*handle);
  }
}

void LoadControl::OnLinkUp(LinkId link, const wire::Hello& hello) {
  auto info =
      hello.kind() == wire::PROCESS_SIDE ? SideInfoFrom(hello) : std::nullopt;
  if (!info) {
    return;
  }
  if (Deployment* deployment = Find(info->deployment)) {
    Observe(deployment, *info);
  }
  sides_[link] = std::move(*info);
}

bool LoadControl::OnEnvelope(LinkId link, const wire::Envelope& message,
                             TimePoint now) {
  if (message.has_heartbeat() && message.heartbeat().has_load()) {
    OnLoad(link, message.heartbeat().load(), now);
  } else if (message.has_end() && message.end().has_load()) {
    OnLoad(link, message.end().load(), now);
  } else if (message.has_cache_events()) {
    const auto side = sides_.find(link);
    Deployment* deployment =
        side == sides_.end() ? nullptr : Find(side->second.deployment);
    const wire::CacheEvents& events = message.cache_events();
    if (deployment != nullptr) {
      const auto handle = deployment->router.Find(side->second.instance);
      deployment->router.OnCacheEvents(
          handle.value_or(TargetHandle{}),
          {events.added_blocks().data(),
           static_cast<std::size_t>(events.added_blocks_size())},
          {events.removed_blocks().data(),
           static_cast<std::size_t>(events.removed_blocks_size())},
          events.gap_before(), now);
    }
    return true;
  }
  return false;
}

void LoadControl::OnLoad(LinkId link, const wire::LoadReport& load,
                         TimePoint now) {
  const auto side = sides_.find(link);
  Deployment* deployment =
      side == sides_.end() ? nullptr : Find(side->second.deployment);
  // Without slots the report has no figures of the target yet, only those of
  // the side itself.
  if (deployment == nullptr || load.slots() == 0) {
    return;
  }
  TargetLoadReport report;
  report.measured_at = now - std::chrono::microseconds(load.measured_ago_us());
  report.running = load.running();
  report.waiting = load.waiting();
  report.queued_prefill_tokens = load.queued_prefill_tokens();
  report.kv_used_bytes = load.kv_used_bytes();
  report.kv_capacity_bytes = load.kv_capacity_bytes();
  report.slots = load.slots();
  report.prefill_tokens_per_s = load.prefill_tokens_per_s();
  report.decode_tokens_per_s = load.decode_tokens_per_s();
  if (const auto handle = deployment->router.Find(side->second.instance)) {
    deployment->router.OnLoadReport(*handle, report, now);
  }
}

// Hooks of the request flow.

RouteQuery LoadControl::QueryOf(const Deployment& deployment,
                                const CallerRequest& request,
                                const PrefixBlocks& blocks) const {
  RouteQuery query;
  query.model = request.model;
  query.adapter = request.adapter;
  query.prompt_tokens = request.prompt_tokens;
  query.output_tokens = request.max_output_tokens;
  const auto ratio = deployment.ratios.find(request.client_account);
  if (ratio != deployment.ratios.end()) {
    // An output limit of thousands of tokens that the account's requests never
    // use up overstates the work.
    query.output_tokens =
        static_cast<std::uint64_t>(static_cast<double>(query.output_tokens) *
                                   std::clamp(ratio->second.ratio, 0.02, 1.0));
  }
  query.prefix_blocks = blocks.hashes();
  query.may_probe = request.repeatability == Repeatability::kIdempotent;
  return query;
}

Duration LoadControl::ServiceOf(const Deployment& deployment,
                                const CallerRequest& request,
                                const RouteLeg& leg, TimePoint now) const {
  const auto it = deployment.ratios.find(request.client_account);
  if (it == deployment.ratios.end() || it->second.samples < kMinSamples ||
      now - it->second.seen_at > kRatioValidity) {
    return Duration{0};
  }
  return std::chrono::duration_cast<Duration>(leg.expected_end *
                                              it->second.ratio);
}

FleetLoad LoadControl::FleetOf(const Deployment& deployment,
                               TimePoint now) const {
  FleetLoad fleet = deployment.router.Fleet(now);
  if (fleet.serving == 0) {
    // Without a target there is no capacity to protect: the flow waits briefly
    // for a target, and then refuses the request for the lack of one.
    fleet.serving = 1;
    fleet.slots = static_cast<double>(options_.max_requests);
  }
  return fleet;
}

GateResult LoadControl::Admit(const CallerRequest& request, TimePoint now) {
  Deployment* deployment = Find(request.deployment);
  if (deployment == nullptr || open_requests_.size() >= options_.max_requests) {
    return Gate::kOpen;
  }
  const PrefixBlocks blocks(request.body, options_.block_bytes, 0);
  RouteQuery query = QueryOf(*deployment, request, blocks);
  query.may_probe = false;
  const RouteDecision decision = deployment->router.Choose(query, now);
  AdmissionRequest offer;
  offer.id = request.id;
  offer.account = request.client_account;
  offer.prompt_tokens = request.prompt_tokens;
  offer.output_tokens = query.output_tokens;
  offer.deadline = request.deadline;
  if (decision.verdict == RouteVerdict::kChosen) {
    offer.prompt_tokens = decision.leg.work.prefill_tokens;
    offer.service = ServiceOf(*deployment, request, decision.leg, now);
  }
  deployment->admission.SetFleet(FleetOf(*deployment, now));
  const AdmissionDecision outcome = deployment->admission.Offer(
      offer, now, [this](const auto& it) { displaced_.push_back(it); });
  if (outcome.verdict == AdmissionVerdict::kRefused) {
    return RefusalOf(outcome);
  }
  OpenRequest& open_request = open_requests_[request.id];
  open_request.deployment = request.deployment;
  if (outcome.verdict == AdmissionVerdict::kQueued) {
    return Gate::kWait;
  }
  open_request.ticket = outcome.ticket;
  return Gate::kOpen;
}

// The flow's candidates are authoritative for which targets may be chosen: the
// flow knows of drains and leaving instances that no side has reported yet.
void LoadControl::SyncCandidates(Deployment* deployment,
                                 const std::vector<Candidate>& candidates,
                                 std::vector<TargetHandle>* tried) {
  std::map<std::string, Target>& targets = deployment->targets;
  std::map<std::string, bool> offered;
  for (const Candidate& it : candidates) {
    offered[it.side->instance] = true;
    const auto known = targets.find(it.side->instance);
    if (known == targets.end() || !known->second.offered ||
        known->second.info != *it.side) {
      Observe(deployment, *it.side);
    }
    const auto target = targets.find(it.side->instance);
    if (it.tried && target != targets.end()) {
      tried->push_back(target->second.handle);
    }
  }
  for (auto& [instance, target] : targets) {
    if (target.offered && offered.count(instance) == 0) {
      target.offered = false;
      deployment->router.UpdateTarget(ViewOf(target.info, false));
    }
  }
}

RouteResult LoadControl::Route(const CallerRequest& request,
                               const std::vector<Candidate>& candidates,
                               TimePoint now) {
  Deployment* deployment = Find(request.deployment);
  if (deployment == nullptr) {
    return RouteWait{};
  }
  std::vector<TargetHandle> tried;
  SyncCandidates(deployment, candidates, &tried);
  const PrefixBlocks blocks(request.body, options_.block_bytes, 0);
  RouteQuery query = QueryOf(*deployment, request, blocks);
  query.excluded = tried;
  const RouteDecision decision = deployment->router.Choose(query, now);
  if (decision.verdict != RouteVerdict::kChosen) {
    return RouteWait{};
  }
  decided_leg_ = decision.leg;
  return RouteTo{deployment->router.View(decision.leg.target)->instance};
}

void LoadControl::OnSent(const CallerRequest& request, const AttemptId& attempt,
                         const SideInfo&, TimePoint now) {
  Deployment* deployment = Find(request.deployment);
  if (deployment == nullptr || sent_attempts_.size() >= options_.max_requests) {
    return;
  }
  const PrefixBlocks blocks(request.body, options_.block_bytes, 0);
  deployment->router.OnSent(attempt, decided_leg_, blocks.hashes(), now);
  sent_attempts_[attempt] = SentAttempt{
      request.deployment, request.client_account, decided_leg_, now};
}

void LoadControl::OnFirstFrame(const AttemptId& attempt, TimePoint now) {
  const auto sent = sent_attempts_.find(attempt);
  Deployment* deployment =
      sent == sent_attempts_.end() ? nullptr : Find(sent->second.deployment);
  if (deployment != nullptr) {
    deployment->router.OnFirstToken(attempt, now);
  }
}

void LoadControl::UpdateRatio(Deployment* deployment, const SentAttempt& sent,
                              TimePoint now) {
  const double expected =
      std::chrono::duration<double>(sent.leg.expected_end).count();
  const double actual = std::chrono::duration<double>(now - sent.at).count();
  if (expected <= 0 || actual < 0) {
    return;
  }
  DurationRatio& it = deployment->ratios[sent.account];
  const double weight = it.samples == 0 ? 1.0 : 0.1;
  it.ratio += weight * (std::clamp(actual / expected, 0.01, 10.0) - it.ratio);
  ++it.samples;
  it.seen_at = now;
}

void LoadControl::OnAttemptEnd(const CallerRequest& request,
                               const AttemptId& attempt, AttemptOutcome outcome,
                               TimePoint now) {
  Deployment* deployment = Find(request.deployment);
  const auto sent = sent_attempts_.find(attempt);
  if (deployment == nullptr || sent == sent_attempts_.end()) {
    return;
  }
  deployment->router.OnEnded(attempt, ResultOf(outcome), now);
  const auto open_request = open_requests_.find(request.id);
  if (outcome == AttemptOutcome::kComplete) {
    UpdateRatio(deployment, sent->second, now);
  }
  sent_attempts_.erase(sent);
  if (open_request != open_requests_.end()) {
    open_request->second.end =
        outcome == AttemptOutcome::kComplete   ? AdmissionEnd::kInTime
        : outcome == AttemptOutcome::kDeadline ? AdmissionEnd::kLate
                                               : AdmissionEnd::kNeutral;
  }
}

void LoadControl::OnDone(const CallerRequest& request, TimePoint now) {
  const auto open_request = open_requests_.find(request.id);
  if (open_request == open_requests_.end()) {
    return;
  }
  if (Deployment* deployment = Find(open_request->second.deployment)) {
    if (open_request->second.ticket) {
      deployment->admission.OnEnded(*open_request->second.ticket,
                                    open_request->second.end, now);
    } else {
      deployment->admission.Cancel(request.id);
    }
  }
  open_requests_.erase(open_request);
}

void LoadControl::Tick(TimePoint now) {
  std::vector<AdmissionDecision> displaced;
  displaced.swap(displaced_);
  for (const AdmissionDecision& it : displaced) {
    ApplyDecision(it, now);
  }
  std::int64_t queued = 0;
  for (const auto& [name, deployment] : deployments_) {
    Deployment* it = deployment.get();
    it->admission.Advance(
        now, [this, it, now] { return FleetOf(*it, now); },
        [this, now](const AdmissionDecision& decision) {
          ApplyDecision(decision, now);
        });
    queued += it->admission.queued();
  }
  queued_.Set(queued);
}

// Applies a decision on a queued request. A refusal leads to `OnDone`, which
// then finds nothing to release.
void LoadControl::ApplyDecision(const AdmissionDecision& decision,
                                TimePoint now) {
  if (decision.verdict == AdmissionVerdict::kRefused) {
    open_requests_.erase(decision.id);
    outputs_.refused(decision.id, RefusalOf(decision), now);
    return;
  }
  open_requests_[decision.id].ticket = decision.ticket;
  outputs_.admitted(decision.id, now);
}

Refusal LoadControl::RefusalOf(const AdmissionDecision& decision) {
  refusals_.Add();
  Refusal refusal;
  refusal.status = IsClientLimit(decision.cause) ? 429 : 503;
  refusal.run = RunState::kNotRun;
  refusal.code = std::string(RefusalCauseName(decision.cause));
  std::replace(refusal.code.begin(), refusal.code.end(), '-', '_');
  refusal.message =
      IsClientLimit(decision.cause)
          ? "The client account is at its limit."
          : "The request could not be answered before its deadline.";
  refusal.retry_after = decision.retry_after.value_or(Duration{0});
  return refusal;
}

}  // namespace indigolead
