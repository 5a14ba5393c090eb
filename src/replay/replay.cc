#include "replay/replay.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <set>

#include "core/admission/retry_budget.h"
#include "core/routing/prefix_blocks.h"
#include "replay/engine_model.h"
#include "replay/measurement.h"

namespace indigolead::replay {
namespace {

using std::chrono::milliseconds;
using End = RequestRecord::End;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kReportInterval = milliseconds(500);
constexpr Duration kTick = milliseconds(20);
constexpr Duration kCacheEventLag = std::chrono::seconds(1);
/// Time until the entries detect that an engine is down.
constexpr Duration kDetection = milliseconds(500);
constexpr Duration kRestart = std::chrono::seconds(5);
constexpr double kTransferTokensPerS = 40000;
constexpr std::uint32_t kMaxAttempts = 3;
constexpr std::uint32_t kQuarantineKills = 2;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

/// Returns simulated block hashes of a shared prefix.
std::vector<std::uint64_t> BlocksOf(std::uint32_t prefix,
                                    std::uint32_t tokens) {
  const std::size_t n = std::min<std::size_t>(
      tokens / RouterOptions{}.block_tokens, kMaxPrefixBlocks);
  RandomSource hash = MakeSeededRandom(prefix * 7919ULL);
  std::vector<std::uint64_t> blocks(prefix == 0 ? 0 : n);
  std::generate(blocks.begin(), blocks.end(), hash);
  return blocks;
}

/// Discrete-event simulation of one trace in virtual time.
class Simulation {
 public:
  Simulation(const Trace& trace, const Policy& policy);
  ReplayOutcome Run();

 private:
  struct Engine {
    explicit Engine(const EngineCosts& costs) : model(costs) {}
    EngineModel model;
    std::string instance;
    EngineRole assigned_role = EngineRole::kMixed;
    bool up = true;
    bool changing = false;
    bool offline = false;     ///< Drained; role change in progress.
    std::uint64_t epoch = 0;  ///< Incremented to void pending events.
    TimePoint changing_since;
    TargetLoadReport reported;
    std::set<std::uint64_t> attempts;
  };
  struct Entry {
    std::unique_ptr<Router> router;
    std::unique_ptr<Admission> admission;
    std::unique_ptr<RetryBudget> budget;
    std::vector<TargetHandle> handles;  ///< Indexed by engine.
  };
  struct Request {
    RequestRecord record;
    std::uint32_t entry = 0;
    std::vector<std::uint64_t> blocks;
    std::vector<std::uint64_t> attempts;  ///< In flight.
    std::optional<AdmissionTicket> ticket;
    std::uint32_t starts = 0;
    std::uint32_t kills = 0;
    TimePoint first_token_at{};
  };
  enum class Part { kWhole, kPrefill, kDecode };
  struct Attempt {
    std::uint32_t request = 0;
    std::uint32_t engine = 0;
    Part part = Part::kWhole;
    std::uint64_t decode = 0;  ///< For a prefill: its decode attempt.
  };
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void At(TimePoint at, std::function<void()> run);
  void After(Duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }
  void AddEntries(const RouterOptions& router);
  void Schedule();
  void OnTraceEvent(const TraceEvent& event);

  RouteQuery QueryOf(const Request& request) const;
  RouteDecision Decide(const Request& request);
  void OnArrival(std::uint32_t r);
  void OnAdmission(const AdmissionDecision& decision);
  void Dispatch(std::uint32_t r);
  std::uint64_t AddAttempt(std::uint32_t r, const RouteLeg& leg, Part part);
  void Launch(std::uint64_t attempt);
  void Release(std::uint64_t attempt, AttemptResult attempt_result);
  void ReleaseAll(std::uint32_t r);
  void Finish(std::uint32_t r, End end);
  void Fail(std::uint64_t attempt, bool killed);
  bool CouldFinish(const Request& request) const;
  void Advance(Entry* entry);

  void StartStep(std::uint32_t e);
  void OnStep(std::uint32_t e);
  void OnPrefilled(std::uint64_t attempt);
  void Crash(std::uint32_t e, bool restart);
  void Restore(std::uint32_t e);
  void UpdateRouters(std::uint32_t e);
  void SendReport(std::uint32_t e);
  void SendCacheEvents(std::uint32_t e, const StepResult& result);
  void PlanRoles();
  void BeginChange(const RoleChange& change);
  void ContinueChange(std::uint32_t e);

  const Trace& trace_;
  const Policy& policy_;
  EngineCosts costs_;
  RoleSpec roles_;
  DeploymentSpec spec_;
  RandomSource random_ = MakeSeededRandom(11);
  RolePlanner planner_;
  std::vector<Engine> engines_;
  std::vector<Entry> entries_;
  std::vector<Request> requests_;
  std::vector<Attempt> attempts_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  TimePoint now_ = kStart;
  TimePoint end_ = kStart;
  TokenMix offered_tokens_;  ///< Since the last role planning.
  ReplayCounts counts_;
  std::vector<ReplaySample> samples_;
};

Simulation::Simulation(const Trace& trace, const Policy& policy)
    : trace_(trace), policy_(policy), planner_(policy.planner) {
  roles_.automatic = true;
  roles_.role_change_cost = trace.Get("role_change_cost", 1);
  roles_.quiet_from_hour =
      static_cast<std::uint32_t>(trace.Get("quiet_from", 0));
  roles_.quiet_to_hour = static_cast<std::uint32_t>(trace.Get("quiet_to", 0));
  planner_.SetRates(EngineRates{costs_.prefill_tokens_per_s,
                                costs_.decode_tokens_per_s,
                                1 / costs_.interference_factor});
  for (const TraceAccount& it : trace.accounts) {
    ClientAccountSpec account;
    account.name = it.name;
    account.priority = it.priority;
    account.weight = it.weight;
    account.max_concurrent = 1024;
    spec_.client_accounts.push_back(account);
  }
  const auto n = static_cast<std::size_t>(trace.Get("engines", 8));
  for (std::size_t it = 0; it < n; ++it) {
    engines_.emplace_back(costs_);
    Engine& engine = engines_.back();
    engine.instance = "engine-" + std::to_string(it);
    const double use = policy.all_mixed ? 0 : 1;
    const auto prefill =
        static_cast<std::size_t>(use * trace.Get("prefill", 0));
    const auto decode = static_cast<std::size_t>(use * trace.Get("decode", 0));
    engine.assigned_role = it < prefill            ? EngineRole::kPrefill
                           : it < prefill + decode ? EngineRole::kDecode
                                                   : EngineRole::kMixed;
    engine.model.role = engine.assigned_role;
  }
  for (const TraceEvent& it : trace.events) {
    if (it.kind == TraceEvent::Kind::kRequest) {
      requests_.emplace_back();
      requests_.back().record.event = &it;
      requests_.back().blocks = BlocksOf(it.prefix, it.prefix_tokens);
    }
  }
  RouterOptions router = policy.router;
  router.max_targets = 64;
  router.failure_domain = "a";
  router.kv_bytes_per_token = 1;
  router.transfer_bytes_per_s = kTransferTokensPerS;
  router.role_mismatch_cost = costs_.mismatch_factor;
  router.defaults = TargetDefaults{
      costs_.slots, static_cast<std::uint64_t>(costs_.prefill_tokens_per_s),
      static_cast<std::uint64_t>(costs_.decode_tokens_per_s)};
  AddEntries(router);
}

void Simulation::AddEntries(const RouterOptions& router) {
  const auto n = static_cast<std::uint32_t>(trace_.Get("entries", 2));
  for (std::uint32_t it = 0; it < n; ++it) {
    Entry entry;
    entry.router = std::make_unique<Router>(router, MakeSeededRandom(100 + it));
    entry.admission = std::make_unique<Admission>(policy_.admission);
    entry.admission->Configure(spec_);
    entry.budget = std::make_unique<RetryBudget>(
        RetryBudget::Options{policy_.retry_share, 10, 0});
    entries_.push_back(std::move(entry));
  }
  for (std::uint32_t it = 0; it < engines_.size(); ++it) {
    UpdateRouters(it);
  }
}

void Simulation::At(TimePoint at, std::function<void()> run) {
  events_.push(Event{at, order_++, std::move(run)});
}

void Simulation::Schedule() {
  std::uint32_t r = 0;
  for (const TraceEvent& it : trace_.events) {
    const TimePoint at = kStart + milliseconds(it.at_ms);
    end_ = at;
    if (it.kind != TraceEvent::Kind::kRequest) {
      At(at, [this, &it] { OnTraceEvent(it); });
      continue;
    }
    At(at, [this, r] { OnArrival(r); });
    At(at + milliseconds(it.deadline_ms), [this, r] {
      if (requests_[r].record.end == End::kOpen) {
        Finish(r, End::kLate);
      }
    });
    ++r;
  }
  for (std::uint32_t it = 0; it < engines_.size(); ++it) {
    At(kStart + milliseconds(37 * it), [this, it] { SendReport(it); });
  }
  At(kStart + std::chrono::seconds(1), [this] { PlanRoles(); });
  for (Entry& it : entries_) {
    At(kStart + kTick, [this, &it] { Advance(&it); });
  }
}

ReplayOutcome Simulation::Run() {
  Schedule();
  // Periodic events reschedule themselves, so the run stops 60 seconds after
  // the last trace event.
  const TimePoint stop = end_ + std::chrono::seconds(60);
  while (!events_.empty() && events_.top().at <= stop) {
    const std::function<void()> run = events_.top().run;
    now_ = events_.top().at;
    events_.pop();
    run();
  }
  std::vector<RequestRecord> records;
  for (const Request& it : requests_) {
    records.push_back(it.record);
  }
  ReplayOutcome outcome = Measure(trace_, costs_, records, counts_);
  outcome.samples.resize(samples_.size());
  for (std::size_t it = 0; it < samples_.size(); ++it) {
    samples_[it].good_tokens = outcome.samples[it].good_tokens;
  }
  outcome.samples = samples_;
  return outcome;
}

void Simulation::OnTraceEvent(const TraceEvent& event) {
  switch (event.kind) {
    case TraceEvent::Kind::kDown:
      Crash(event.engine, false);
      break;
    case TraceEvent::Kind::kUp:
      Restore(event.engine);
      break;
    case TraceEvent::Kind::kSlow:
      engines_[event.engine].model.slowdown = event.factor;
      break;
    case TraceEvent::Kind::kRequest:
      break;
  }
}

// Request handling of an entry.

RouteQuery Simulation::QueryOf(const Request& request) const {
  RouteQuery query;
  query.prompt_tokens = request.record.event->prompt_tokens;
  query.output_tokens = request.record.event->output_tokens;
  query.prefix_blocks = request.blocks;
  query.may_probe = true;
  query.may_split = true;
  return query;
}

RouteDecision Simulation::Decide(const Request& request) {
  Entry& entry = entries_[request.entry];
  std::vector<TargetHandle> serving;
  for (const TargetHandle it : entry.handles) {
    if (entry.router->View(it)->serving) {
      serving.push_back(it);
    }
  }
  if (serving.empty()) {
    return RouteDecision{};
  }
  return policy_.choose(entry.router.get(), QueryOf(request), serving, now_);
}

void Simulation::OnArrival(std::uint32_t r) {
  Request& request = requests_[r];
  const TraceEvent& event = *request.record.event;
  request.entry = r % entries_.size();
  Entry& entry = entries_[request.entry];
  RouteQuery query = QueryOf(request);
  query.may_probe = false;
  const RouteDecision expected = entry.router->Choose(query, now_);
  AdmissionRequest offer;
  offer.id = RequestId{Id128{0, r}};
  offer.account = event.account;
  offer.prompt_tokens = expected.prefill ? expected.prefill->work.prefill_tokens
                                         : expected.leg.work.prefill_tokens;
  offer.output_tokens = event.output_tokens;
  const Duration deadline = milliseconds(event.deadline_ms);
  offer.deadline =
      now_ + (policy_.refuse_early ? deadline : std::chrono::hours(9));
  offer.service = expected.expected_finish;
  offered_tokens_.prefill_tokens_per_s +=
      static_cast<double>(offer.prompt_tokens);
  offered_tokens_.output_tokens_per_s += event.output_tokens;
  entry.admission->SetFleet(entry.router->Fleet(now_));
  OnAdmission(entry.admission->Offer(
      offer, now_, [this](const auto& it) { OnAdmission(it); }));
}

void Simulation::OnAdmission(const AdmissionDecision& decision) {
  const auto r = static_cast<std::uint32_t>(decision.id.value.lo);
  Request& request = requests_[r];
  if (decision.verdict == AdmissionVerdict::kAdmitted) {
    request.ticket = decision.ticket;
    ++counts_.first_attempts;
    entries_[request.entry].budget->OnFirstAttempt();
    Dispatch(r);
  } else if (decision.verdict == AdmissionVerdict::kRefused) {
    request.record.wrongly_refused =
        decision.cause == RefusalCause::kDeadline && CouldFinish(request);
    Finish(r, End::kRefused);
  }
}

bool Simulation::CouldFinish(const Request& request) const {
  const TraceEvent& event = *request.record.event;
  const TimePoint deadline =
      kStart + milliseconds(event.at_ms + event.deadline_ms);
  const double rate =
      costs_.prefill_tokens_per_s * static_cast<double>(engines_.size());
  double queued = 0;
  for (const Entry& it : entries_) {
    queued += it.admission->queued_work();
  }
  return std::any_of(engines_.begin(), engines_.end(), [&](const Engine& it) {
    const double finish_s =
        it.model.FinishSeconds(event.prompt_tokens, event.output_tokens);
    return it.up && !it.changing &&
           now_ + FromSeconds(queued / rate + finish_s) <= deadline;
  });
}

void Simulation::Dispatch(std::uint32_t r) {
  Request& request = requests_[r];
  if (request.record.end != End::kOpen) {
    return;
  }
  const RouteDecision decision = Decide(request);
  if (decision.verdict != RouteVerdict::kChosen) {
    After(milliseconds(200), [this, r] { Dispatch(r); });
    return;
  }
  const TimePoint deadline =
      kStart + milliseconds(request.record.event->at_ms +
                            request.record.event->deadline_ms);
  if (policy_.refuse_early && request.starts == 0 &&
      now_ + decision.expected_finish > deadline) {
    request.record.wrongly_refused = CouldFinish(request);
    Finish(r, End::kRefused);
    return;
  }
  ++request.starts;
  if (!decision.prefill) {
    Launch(AddAttempt(r, decision.leg, Part::kWhole));
    return;
  }
  const std::uint64_t decode = AddAttempt(r, decision.leg, Part::kDecode);
  const std::uint64_t prefill =
      AddAttempt(r, *decision.prefill, Part::kPrefill);
  attempts_[prefill].decode = decode;
  Launch(prefill);
}

std::uint64_t Simulation::AddAttempt(std::uint32_t r, const RouteLeg& leg,
                                     Part part) {
  Request& request = requests_[r];
  const std::uint64_t id = attempts_.size();
  attempts_.push_back(Attempt{r, leg.target.index, part, 0});
  request.attempts.push_back(id);
  engines_[leg.target.index].attempts.insert(id);
  std::span<const std::uint64_t> blocks = request.blocks;
  if (part == Part::kDecode) {
    blocks = {};
  }
  entries_[request.entry].router->OnSent(AttemptId{Id128{1, id}}, leg, blocks,
                                         now_);
  return id;
}

void Simulation::Launch(std::uint64_t attempt) {
  const Attempt it = attempts_[attempt];
  const TraceEvent& event = *requests_[it.request].record.event;
  Engine& engine = engines_[it.engine];
  if (!engine.up || engine.offline) {
    After(kDetection, [this, attempt] { Fail(attempt, false); });
    return;
  }
  Sequence sequence;
  sequence.attempt = attempt;
  sequence.priority = event.account == "alert" ? 5 : 0;
  sequence.prefill_left = it.part == Part::kDecode ? 0 : event.prompt_tokens;
  sequence.output_left = it.part == Part::kPrefill ? 0 : event.output_tokens;
  sequence.context_tokens = event.prompt_tokens + sequence.output_left;
  sequence.prefix = event.prefix;
  sequence.prefix_tokens = event.prefix_tokens;
  sequence.poison = event.poison;
  counts_.prompt_tokens += sequence.prefill_left;
  counts_.cached_tokens += engine.model.Add(sequence);
  StartStep(it.engine);
}

void Simulation::Release(std::uint64_t attempt, AttemptResult attempt_result) {
  const Attempt& it = attempts_[attempt];
  Engine& engine = engines_[it.engine];
  engine.model.Cancel(attempt);
  engine.attempts.erase(attempt);
  Request& request = requests_[it.request];
  std::erase(request.attempts, attempt);
  entries_[request.entry].router->OnEnded(AttemptId{Id128{1, attempt}},
                                          attempt_result, now_);
}

void Simulation::ReleaseAll(std::uint32_t r) {
  while (!requests_[r].attempts.empty()) {
    Release(requests_[r].attempts.back(), AttemptResult::kOther);
  }
}

void Simulation::Finish(std::uint32_t r, End end) {
  Request& request = requests_[r];
  request.record.end = end;
  request.record.end_s = Seconds(now_ - kStart);
  ReleaseAll(r);
  Entry& entry = entries_[request.entry];
  if (request.ticket) {
    AdmissionEnd how = AdmissionEnd::kNeutral;
    how = end == End::kInTime ? AdmissionEnd::kInTime : how;
    how = end == End::kLate ? AdmissionEnd::kLate : how;
    entry.admission->OnEnded(*request.ticket, how, now_);
  } else {
    entry.admission->Cancel(RequestId{Id128{0, r}});
  }
}

void Simulation::Fail(std::uint64_t attempt, bool killed) {
  const std::uint32_t r = attempts_[attempt].request;
  Request& request = requests_[r];
  if (std::find(request.attempts.begin(), request.attempts.end(), attempt) ==
      request.attempts.end()) {
    return;
  }
  Release(attempt, AttemptResult::kTargetFailed);
  ReleaseAll(r);
  request.kills += killed;
  Entry& entry = entries_[request.entry];
  const bool may_retry = request.starts < kMaxAttempts &&
                         request.kills < kQuarantineKills &&
                         entry.budget->TryTake();
  if (!may_retry) {
    Finish(r, End::kFailed);
    return;
  }
  ++counts_.retries;
  After(Backoff{}.Delay(request.starts - 1, random_()),
        [this, r] { Dispatch(r); });
}

void Simulation::Advance(Entry* entry) {
  entry->admission->Advance(
      now_, [this, entry] { return entry->router->Fleet(now_); },
      [this](const AdmissionDecision& it) { OnAdmission(it); });
  After(kTick, [this, entry] { Advance(entry); });
}

// Engines and their reports to the entries.

void Simulation::StartStep(std::uint32_t e) {
  Engine& engine = engines_[e];
  if (!engine.up || engine.offline || engine.model.stepping) {
    return;
  }
  const double step_s = engine.model.BeginStep();
  if (step_s <= 0) {
    ContinueChange(e);
    return;
  }
  engine.model.stepping = true;
  After(FromSeconds(step_s), [this, e, epoch = engine.epoch] {
    if (engines_[e].epoch == epoch) {
      OnStep(e);
    }
  });
}

void Simulation::OnStep(std::uint32_t e) {
  engines_[e].model.stepping = false;
  const StepResult result = engines_[e].model.EndStep();
  SendCacheEvents(e, result);
  for (const std::uint64_t it : result.first_tokens) {
    OnPrefilled(it);
  }
  for (const std::uint64_t it : result.finished) {
    const Attempt attempt = attempts_[it];
    Request& request = requests_[attempt.request];
    if (attempt.part == Part::kPrefill) {
      Release(it, AttemptResult::kFinished);
      const double transfer_s =
          request.record.event->prompt_tokens / kTransferTokensPerS;
      After(FromSeconds(transfer_s), [this, attempt] {
        const auto& open = requests_[attempt.request].attempts;
        if (std::find(open.begin(), open.end(), attempt.decode) != open.end()) {
          Launch(attempt.decode);
        }
      });
      continue;
    }
    const double n = request.record.event->output_tokens;
    request.record.between_tokens_s =
        Seconds(now_ - request.first_token_at) / std::max(1.0, n - 1);
    if (attempt.part == Part::kWhole) {
      Release(it, AttemptResult::kFinished);
    }
    Finish(attempt.request, End::kInTime);
  }
  if (result.crashed) {
    Crash(e, true);
  }
  StartStep(e);
}

void Simulation::OnPrefilled(std::uint64_t attempt) {
  Request& request = requests_[attempts_[attempt].request];
  const milliseconds arrived(request.record.event->at_ms);
  request.first_token_at = now_;
  request.record.first_token_s = Seconds(now_ - kStart - arrived);
  entries_[request.entry].router->OnFirstToken(AttemptId{Id128{1, attempt}},
                                               now_);
}

void Simulation::Crash(std::uint32_t e, bool restart) {
  Engine& engine = engines_[e];
  ++engine.epoch;
  engine.up = false;
  engine.model.Reset();
  engine.model.stepping = false;
  for (const std::uint64_t it : engine.attempts) {
    // All requests in flight fail, but the crash counts towards quarantine
    // only for a poison request.
    const bool poison = requests_[attempts_[it].request].record.event->poison;
    After(kDetection, [this, it, poison] { Fail(it, poison); });
  }
  After(kDetection, [this, e] { UpdateRouters(e); });
  if (restart) {
    After(kRestart, [this, e] { Restore(e); });
  }
}

void Simulation::Restore(std::uint32_t e) {
  Engine& engine = engines_[e];
  engine.up = true;
  engine.offline = false;
  engine.changing = false;
  engine.model.role = engine.assigned_role;
  for (Entry& it : entries_) {
    it.router->OnRestart(it.handles[e]);
  }
  UpdateRouters(e);
}

void Simulation::UpdateRouters(std::uint32_t e) {
  const Engine& engine = engines_[e];
  TargetView view;
  view.instance = engine.instance;
  view.failure_domain = "a";
  view.role = engine.model.role;
  view.serving = engine.up && !engine.changing;
  for (Entry& it : entries_) {
    const auto handle = it.router->UpdateTarget(view);
    if (it.handles.size() <= e) {
      it.handles.push_back(*handle);
    }
  }
}

void Simulation::SendReport(std::uint32_t e) {
  Engine& engine = engines_[e];
  After(kReportInterval, [this, e] { SendReport(e); });
  counts_.engine_seconds_up +=
      engine.up && now_ <= end_ ? Seconds(kReportInterval) : 0;
  if (!engine.up || engine.offline) {
    return;
  }
  engine.reported = engine.model.Report();
  engine.reported.measured_at = now_;
  const milliseconds lag(static_cast<std::int64_t>(trace_.Get("lag_ms", 200)));
  After(lag, [this, e, report = engine.reported, epoch = engine.epoch] {
    for (Entry& it : entries_) {
      if (engines_[e].epoch == epoch) {
        it.router->OnLoadReport(it.handles[e], report, now_);
      }
    }
  });
}

void Simulation::SendCacheEvents(std::uint32_t e, const StepResult& result) {
  if (result.cached.empty() && result.evicted.empty()) {
    return;
  }
  const bool lost = ToUnitInterval(random_()) < trace_.Get("event_loss", 0);
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
  const auto append = [](std::uint32_t prefix,
                         std::vector<std::uint64_t>* blocks) {
    const auto all = BlocksOf(prefix, UINT32_MAX);
    blocks->insert(blocks->end(), all.begin(), all.end());
  };
  for (const std::uint32_t it : result.evicted) {
    append(it, &removed);
  }
  for (const std::uint32_t it : result.cached) {
    append(it, &added);
  }
  After(kCacheEventLag, [=, this, epoch = engines_[e].epoch] {
    for (Entry& it : entries_) {
      if (engines_[e].epoch == epoch && !lost) {
        it.router->OnCacheEvents(it.handles[e], added, removed, 0, now_);
      } else if (lost) {
        it.router->OnCacheEvents(it.handles[e], {}, {},
                                 added.size() + removed.size(), now_);
      }
    }
  });
}

// Role changes of the controller.

void Simulation::PlanRoles() {
  constexpr Duration kInterval = std::chrono::seconds(1);
  planner_.OnDemand(offered_tokens_, kInterval);
  offered_tokens_ = TokenMix{};
  std::vector<RoleTarget> targets;
  std::vector<TargetLoadReport> loads;
  ReplaySample sample;
  for (std::uint32_t it = 0; it < engines_.size(); ++it) {
    StartStep(it);
  }
  for (const Engine& it : engines_) {
    RoleTarget target;
    target.instance = it.instance;
    target.role = it.assigned_role;
    target.serving = it.up && !it.changing;
    target.changing = it.changing;
    targets.push_back(target);
    loads.push_back(it.reported);
    sample.prefill += it.assigned_role == EngineRole::kPrefill;
    sample.decode += it.assigned_role == EngineRole::kDecode;
    sample.mixed += it.assigned_role == EngineRole::kMixed;
  }
  samples_.push_back(sample);
  const auto hour = static_cast<std::uint32_t>(trace_.Get("hour", 12));
  if (const auto change =
          policy_.roles(&planner_, roles_, targets, loads, hour, now_)) {
    BeginChange(*change);
  }
  After(kInterval, [this] { PlanRoles(); });
}

void Simulation::BeginChange(const RoleChange& change) {
  for (std::uint32_t it = 0; it < engines_.size(); ++it) {
    Engine& engine = engines_[it];
    if (engine.instance != change.instance) {
      continue;
    }
    ++counts_.role_changes;
    engine.assigned_role = change.to;
    engine.changing = true;
    engine.changing_since = now_;
    UpdateRouters(it);
    StartStep(it);
  }
}

// Continues a role change once the engine has finished all its attempts.
void Simulation::ContinueChange(std::uint32_t e) {
  Engine& engine = engines_[e];
  if (!engine.changing || engine.offline || !engine.attempts.empty()) {
    return;
  }
  engine.offline = true;
  const Duration offline = FromSeconds(trace_.Get("role_change_s", 8));
  After(offline, [this, e, epoch = engine.epoch] {
    if (engines_[e].epoch == epoch) {
      counts_.engine_seconds_lost += Seconds(now_ - engines_[e].changing_since);
      engines_[e].model.Reset();
      Restore(e);
    }
  });
}

}  // namespace

ReplayOutcome Replay(const Trace& trace, const Policy& policy) {
  return Simulation(trace, policy).Run();
}

}  // namespace indigolead::replay
