#include "core/placement/engine_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

#include "core/membership/rendezvous.h"
#include "core/request/prompt_parts.h"

namespace indigolead {
namespace {

/// Weight of one answer's wait in the moving average. At 60 answers a second
/// the average follows a burst within a quarter of a second.
constexpr double kAnswerWaitWeight = 0.06;

/// Adding and subtracting weighted tokens leaves rounding errors well below one
/// token, so an engine with a backlog below one token is idle.
bool IsIdle(double backlog) { return backlog < 1; }

/// Returns true if prompts of other entries are queued at the target.
bool HasQueue(const TargetKnowledge& known) {
  return !IsIdle(known.queued_work);
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

/// Returns true if an engine with `role` can do the work of role `wanted`.
bool Fits(EngineRole role, EngineRole wanted) {
  return role == wanted ||
         (role == EngineRole::kMixed && wanted == EngineRole::kDecode);
}

/// Returns true if some engine could do the work of role `wanted` but gets none
/// now because of its limit or a cooldown.
bool AnyRateLimited(const std::vector<PlacementEngine>& engines,
                    EngineRole wanted) {
  return std::any_of(engines.begin(), engines.end(), [wanted](const auto& it) {
    return it.rate_limited && !it.leaving && Fits(it.role, wanted);
  });
}

/// Returns the engine that runs the prefill.
const std::string& PrefillEngineOf(const EngineAssignment& assignment) {
  return assignment.prefill.empty() ? assignment.decode : assignment.prefill;
}

std::uint64_t SharedTokens(const CallerRequest& request) {
  const auto& parts = request.prompt_parts;
  const auto end =
      parts.begin() + static_cast<std::ptrdiff_t>(SharedPartCount(parts));
  return std::accumulate(
      parts.begin(), end, std::uint64_t{0},
      [](std::uint64_t n, const PromptPart& it) { return n + it.tokens; });
}

/// Sorts `engines` by their rendezvous weight for `prefix`, home first.
void SortByRendezvous(std::uint64_t prefix,
                      std::vector<const PlacementEngine*>* engines) {
  const std::string key = std::to_string(prefix);
  std::vector<std::pair<std::uint64_t, const PlacementEngine*>> ranked;
  ranked.reserve(engines->size());
  for (const PlacementEngine* it : *engines) {
    ranked.emplace_back(RendezvousWeight(key, it->instance), it);
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::transform(ranked.begin(), ranked.end(), engines->begin(),
                 [](const auto& it) { return it.second; });
}

}  // namespace

std::uint64_t SharedPrefixHash(const std::vector<PromptPart>& parts) {
  std::uint64_t hash = 0;
  for (std::size_t it = 0; it < SharedPartCount(parts); ++it) {
    hash = XXH64(&parts[it].id, sizeof(parts[it].id), hash);
  }
  return hash;
}

EnginePlacement::EnginePlacement(Options options, RandomSource random)
    : options_(options),
      random_(std::move(random)),
      prefill_time_(options_.prefill_time),
      unsplit_time_(options_.prefill_time),
      load_(options_.load) {}

RoleLoad EnginePlacement::Load(TimePoint now) const {
  return load_.Load(limits_, prefill_time_, now)
      .value_or(AssumedRoleLoad(limits_));
}

PlacementDecision EnginePlacement::Place(
    const CallerRequest& request, const std::vector<PlacementEngine>& engines,
    TimePoint now) {
  auto decode_engines = Usable(engines, EngineRole::kDecode, now);
  auto prefill_engines = Usable(engines, EngineRole::kPrefill, now);
  if (decode_engines.empty()) {
    return AnyRateLimited(engines, EngineRole::kDecode)
               ? PlacementDecision(EnginesRateLimited{})
               : PlacementDecision(NoEngine{});
  }
  if (AllFull(decode_engines, now)) {
    // The prefill would be wasted.
    return MakeBusy(options_.avoid_after_refusal, Duration{0});
  }
  if (prefill_engines.empty() &&
      AnyRateLimited(engines, EngineRole::kPrefill)) {
    // A prefill on a decode engine would stall the answers that it streams.
    return EnginesRateLimited{};
  }
  if (prefill_engines.empty()) {
    return PlaceUnsplit(request, decode_engines, now);
  }
  SortByRendezvous(SharedPrefixHash(request.prompt_parts), &prefill_engines);
  // A stream that goes on may not turn to the engines of another version, and
  // its caller has waited before: any engine will do.
  const bool continues = request.origin.has_value();
  const std::size_t n =
      continues ? prefill_engines.size()
                : std::min(prefill_engines.size(), options_.max_homes);
  const Duration limit =
      continues ? ContinuationLimit(request, now) : TimeLimit(request, now);
  Duration earliest = Duration::max();
  for (std::size_t it = 0; it < n; ++it) {
    const std::string& instance = prefill_engines[it]->instance;
    const bool cached = IsCached(request, instance, it == 0);
    const std::string copy_from =
        CopySource(request, engines, prefill_engines, instance);
    const double work = WorkOf(request, cached || !copy_from.empty());
    const Duration wait = WaitAt(*prefill_engines[it], prefill_time_, now);
    const Duration first_event =
        wait + prefill_time_.Predict(work) + ToDuration(answer_wait_s_);
    earliest = std::min(earliest, first_event);
    // An idle engine accepts any request, however long its prefill.
    if (wait == Duration{0} || first_event <= limit) {
      const PlacementEngine* decode =
          PickDecode(decode_engines, prefill_engines[it]->failure_domain);
      return EngineAssignment{instance,  decode->instance,
                              work,      cached,
                              copy_from, HasQueue(prefill_engines[it]->known)};
    }
  }
  return MakeBusy(earliest, limit);
}

// The prefill engine of a prefix changes when engines leave, crash or return,
// and when a busy home overflows to the next. Without a copy, each change would
// compute again a prefix that another engine holds. The holder is the first
// other engine in rendezvous order: the home after an overflow, the leaving
// engine after a drain, or the substitute after a home returns.
std::string EnginePlacement::CopySource(
    const CallerRequest& request, const std::vector<PlacementEngine>& engines,
    const std::vector<const PlacementEngine*>& prefill_engines,
    const std::string& prefill_engine) const {
  auto holders = prefill_engines;
  for (const PlacementEngine& it : engines) {
    if ((it.leaving || it.rate_limited) && it.role == EngineRole::kPrefill) {
      holders.push_back(&it);
    }
  }
  if (holders.size() > prefill_engines.size()) {
    SortByRendezvous(SharedPrefixHash(request.prompt_parts), &holders);
  }
  const auto it = std::find_if(holders.begin(), holders.end(),
                               [&prefill_engine](const PlacementEngine* e) {
                                 return e->instance != prefill_engine;
                               });
  return it == holders.end() ? "" : (*it)->instance;
}

PlacementDecision EnginePlacement::PlaceUnsplit(
    const CallerRequest& request,
    const std::vector<const PlacementEngine*>& from, TimePoint now) {
  auto engines = from;
  SortByRendezvous(SharedPrefixHash(request.prompt_parts), &engines);
  const Duration limit = request.origin ? ContinuationLimit(request, now)
                                        : TimeLimit(request, now);
  Duration earliest = Duration::max();
  for (const PlacementEngine* it : engines) {
    const bool cached = IsCached(request, it->instance, it == engines.front());
    const double work = WorkOf(request, cached);
    const Duration wait = WaitAt(*it, unsplit_time_, now);
    const Duration first_event = wait + unsplit_time_.Predict(work);
    earliest = std::min(earliest, first_event);
    if (wait == Duration{0} || first_event <= limit) {
      return EngineAssignment{"",     it->instance, work,
                              cached, "",           HasQueue(it->known)};
    }
  }
  return MakeBusy(earliest, limit);
}

Duration EnginePlacement::TimeLimit(const CallerRequest& request,
                                    TimePoint now) const {
  const Duration target = request.answer_target > Duration{0}
                              ? request.answer_target
                              : ToDuration(Seconds(request.deadline - now) *
                                           options_.share_without_target);
  return ToDuration(Seconds(target) * options_.max_target_share);
}

Duration EnginePlacement::ContinuationLimit(const CallerRequest& request,
                                            TimePoint now) const {
  return std::max(TimeLimit(request, now),
                  ToDuration(Seconds(request.deadline - now) *
                             options_.max_continuation_share));
}

Duration EnginePlacement::WaitAt(const PlacementEngine& engine,
                                 const PrefillTimeModel& model,
                                 TimePoint now) const {
  const EngineState* state = Find(engine.instance);
  // The observed queue shrinks as time passes, but prompts that are still
  // pending are known to be queued.
  const Duration observed_wait =
      state ? state->wait - (now - state->wait_observed_at) : Duration{0};
  const double work = (state ? state->backlog : 0) + engine.known.queued_work;
  const double prompts =
      static_cast<double>(state ? state->queued_prompts : 0) +
      engine.known.queued_prompts;
  const Duration queued =
      IsIdle(work) ? Duration{0} : model.PredictOccupancy(prompts, work);
  return std::max({observed_wait, queued, Duration{0}});
}

void EnginePlacement::UpdateTimeModel(const SentAttempt& sent,
                                      EngineState* prefill_engine,
                                      TimePoint now) {
  PrefillTimeModel& model =
      sent.assignment.prefill.empty() ? unsplit_time_ : prefill_time_;
  const Duration took = now - sent.sent_at;
  if (sent.found_idle) {
    model.OnPrefillDone(sent.assignment.prefill_work, took);
  }
  prefill_engine->wait =
      std::max(Duration{0}, took - model.Predict(sent.assignment.prefill_work));
  prefill_engine->wait_observed_at = now;
}

EnginesBusy EnginePlacement::MakeBusy(Duration first_event, Duration limit) {
  // Jitter: callers that all retried at the same moment would be refused again.
  const double spread = 0.75 + 0.5 * ToUnitInterval(random_());
  const Duration wait = ToDuration(Seconds(first_event - limit) * spread);
  return {std::clamp(wait, options_.min_retry_after, options_.max_retry_after),
          first_event};
}

std::vector<const PlacementEngine*> EnginePlacement::Usable(
    const std::vector<PlacementEngine>& engines, EngineRole role,
    TimePoint now) const {
  std::vector<const PlacementEngine*> usable;
  std::vector<const PlacementEngine*> fallback;
  for (const PlacementEngine& it : engines) {
    if (it.leaving || it.rate_limited || !Fits(it.role, role)) {
      continue;
    }
    const EngineState* state = Find(it.instance);
    const bool avoided =
        it.tried || it.avoided ||
        (state && (now < state->avoid_until || now < state->full_until ||
                   IsStalled(*state, now)));
    (avoided ? fallback : usable).push_back(&it);
  }
  return usable.empty() ? fallback : usable;
}

bool EnginePlacement::IsStalled(const EngineState& state, TimePoint now) const {
  return state.pending_calls > 0 &&
         now - state.progress_at >= options_.stall_after;
}

bool EnginePlacement::AllFull(
    const std::vector<const PlacementEngine*>& engines, TimePoint now) const {
  return std::all_of(engines.begin(), engines.end(), [&](const auto* it) {
    const EngineState* state = Find(it->instance);
    return state && now < state->full_until;
  });
}

void EnginePlacement::AddPendingCall(const std::string& instance,
                                     TimePoint now) {
  EngineState& state = GetOrCreate(instance);
  if (state.pending_calls++ == 0) {
    state.progress_at = now;
  }
}

void EnginePlacement::RecordResponse(EngineState* state, TimePoint now) {
  state->pending_calls -= state->pending_calls > 0 ? 1 : 0;
  state->progress_at = now;
  state->refusals = 0;
}

bool EnginePlacement::IsCached(const CallerRequest& request,
                               const std::string& instance,
                               bool is_home) const {
  const EngineState* state = Find(instance);
  // A prefix is assumed to be cached at its home, because other entry processes
  // send it there too.
  return is_home || (state && state->prefixes.count(
                                  SharedPrefixHash(request.prompt_parts)) > 0);
}

double EnginePlacement::WorkOf(const CallerRequest& request,
                               bool cached) const {
  const std::uint64_t shared = SharedTokens(request);
  const std::uint64_t own =
      request.prompt_tokens > shared ? request.prompt_tokens - shared : 0;
  return static_cast<double>(own) +
         static_cast<double>(shared) * (cached ? options_.cached_weight : 1.0);
}

const PlacementEngine* EnginePlacement::PickDecode(
    const std::vector<const PlacementEngine*>& engines,
    const std::string& near_domain) {
  const PlacementEngine* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const PlacementEngine* it : engines) {
    const EngineState* state = Find(it->instance);
    double domain_penalty = 0;
    if (it->failure_domain != options_.failure_domain) {
      domain_penalty += options_.own_domain_streams;
    }
    if (it->failure_domain != near_domain) {
      domain_penalty += options_.prefill_domain_streams;
    }
    const double streams =
        static_cast<double>(state ? state->streams : 0) + it->known.streams;
    const double cost =
        streams + domain_penalty + ToUnitInterval(random_()) * 0.5;
    if (cost < best_cost) {
      best = it;
      best_cost = cost;
    }
  }
  return best;
}

std::optional<std::string> EnginePlacement::PlaceDecode(
    const AttemptId& attempt, const std::vector<PlacementEngine>& engines,
    TimePoint now) {
  const auto sent = sent_.find(attempt);
  if (sent == sent_.end()) {
    return std::nullopt;
  }
  auto decode_engines = Usable(engines, EngineRole::kDecode, now);
  std::erase_if(decode_engines, [&refused_by = sent->second.refused_by](
                                    const PlacementEngine* it) {
    return std::find(refused_by.begin(), refused_by.end(), it->instance) !=
           refused_by.end();
  });
  if (decode_engines.empty()) {
    return std::nullopt;
  }
  EngineAssignment& assignment = sent->second.assignment;
  const auto prefill_engine = std::find_if(
      engines.begin(), engines.end(),
      [&](const auto& it) { return it.instance == assignment.prefill; });
  if (EngineState* state =
          FindRun(assignment.decode, sent->second.decode_epoch)) {
    state->streams -= state->streams > 0 ? 1 : 0;
  }
  const PlacementEngine* chosen = PickDecode(
      decode_engines,
      prefill_engine == engines.end() ? "" : prefill_engine->failure_domain);
  assignment.decode = chosen->instance;
  EngineState& decode = GetOrCreate(assignment.decode);
  sent->second.decode_epoch = decode.epoch;
  sent->second.decode_requested_at = now;
  ++decode.streams;
  // The fetched KV cache stays in the engine's prefix cache.
  RememberPrefix(&decode, sent->second);
  AddPendingCall(assignment.decode, now);
  return assignment.decode;
}

std::string EnginePlacement::CopySourceOf(const AttemptId& attempt) const {
  const auto it = sent_.find(attempt);
  return it == sent_.end() ? "" : it->second.assignment.copy_from;
}

void EnginePlacement::OnDecodeRefused(const AttemptId& attempt, TimePoint now) {
  const auto it = sent_.find(attempt);
  if (it == sent_.end()) {
    return;
  }
  SentAttempt& sent = it->second;
  sent.refused_by.push_back(sent.assignment.decode);
  if (EngineState* state = FindRun(sent.assignment.decode, sent.decode_epoch)) {
    RecordFailedCall(state, /*refused=*/true, now);
    state->full_until = now + options_.avoid_after_refusal;
  }
}

void EnginePlacement::OnSent(const AttemptId& attempt,
                             const CallerRequest& request,
                             const EngineAssignment& assignment,
                             TimePoint now) {
  EngineState& prefill_engine = GetOrCreate(PrefillEngineOf(assignment));
  EngineState& decode = GetOrCreate(assignment.decode);
  SentAttempt sent{assignment, SharedPrefixHash(request.prompt_parts),
                   SharedTokens(request), prefill_engine.epoch, decode.epoch};
  sent.tokens = request.prompt_tokens;
  sent.found_idle = IsIdle(prefill_engine.backlog) && !assignment.found_queue &&
                    assignment.cached;
  sent.sent_at = now;
  sent.decode_requested_at = now;
  prefill_engine.backlog += assignment.prefill_work;
  ++prefill_engine.queued_prompts;
  ++decode.streams;
  AddPendingCall(PrefillEngineOf(assignment), now);
  sent_[attempt] = std::move(sent);
}

void EnginePlacement::OnAnswerStarted(const AttemptId& attempt, TimePoint now) {
  const auto it = sent_.find(attempt);
  if (it != sent_.end() && !std::exchange(it->second.answer_started, true)) {
    OnPrefilled(attempt, now);
    SentAttempt& sent = it->second;
    sent.answer_started_at = now;
    if (!sent.assignment.prefill.empty()) {
      load_.OnFirstEvent(now - sent.decode_requested_at);
      answer_wait_s_ +=
          kAnswerWaitWeight *
          (Seconds(now - sent.decode_requested_at) - answer_wait_s_);
    }
    EngineState* decode = FindRun(sent.assignment.decode, sent.decode_epoch);
    if (decode && !sent.assignment.prefill.empty()) {
      RecordResponse(decode, now);
    }
  }
}

void EnginePlacement::OnPrefilled(const AttemptId& attempt, TimePoint now) {
  const auto it = sent_.find(attempt);
  if (it == sent_.end() || !std::exchange(it->second.prefill_pending, false)) {
    return;
  }
  const SentAttempt& sent = it->second;
  if (!sent.assignment.prefill.empty()) {
    load_.OnPrefillDone(sent.assignment.prefill_work, now);
  }
  EngineState* prefill_engine =
      FindRun(PrefillEngineOf(sent.assignment), sent.prefill_epoch);
  if (!prefill_engine) {
    return;
  }
  RecordResponse(prefill_engine, now);
  RemoveFromBacklog(prefill_engine, sent);
  UpdateTimeModel(sent, prefill_engine, now);
  RememberPrefix(prefill_engine, sent);
}

void EnginePlacement::OnEnded(const AttemptId& attempt, bool refused,
                              TimePoint now) {
  const auto it = sent_.find(attempt);
  if (it == sent_.end()) {
    return;
  }
  const SentAttempt sent = std::move(it->second);
  sent_.erase(it);
  if (sent.answer_started) {
    load_.OnAnswered(now - sent.answer_started_at,
                     static_cast<double>(sent.tokens), now);
  }
  if (EngineState* state =
          FindRun(PrefillEngineOf(sent.assignment), sent.prefill_epoch);
      state && sent.prefill_pending) {
    RemoveFromBacklog(state, sent);
    RecordFailedCall(state, refused, now);
  }
  if (EngineState* state = FindRun(sent.assignment.decode, sent.decode_epoch)) {
    state->streams -= state->streams > 0 ? 1 : 0;
    if (!sent.prefill_pending && !sent.answer_started &&
        !sent.assignment.prefill.empty()) {
      RecordFailedCall(state, refused, now);
      if (refused) {
        state->full_until = now + options_.avoid_after_refusal;
      }
    }
  }
  if (!sent.assignment.prefill.empty() && !sent.prefill_pending) {
    RecordHandleOutcome(sent, refused, now);
  }
}

void EnginePlacement::RememberPrefix(EngineState* state,
                                     const SentAttempt& sent) {
  if (state->prefixes.size() >= options_.max_known_prefixes) {
    state->prefixes.clear();
  }
  state->prefixes[sent.prefix] = sent.prefix_tokens;
}

void EnginePlacement::RemoveFromBacklog(EngineState* prefill_engine,
                                        const SentAttempt& sent) {
  prefill_engine->backlog =
      std::max(0.0, prefill_engine->backlog - sent.assignment.prefill_work);
  prefill_engine->queued_prompts -= prefill_engine->queued_prompts > 0 ? 1 : 0;
}

void EnginePlacement::RecordFailedCall(EngineState* state, bool refused,
                                       TimePoint now) {
  // An engine that refuses is alive; one whose call timed out may not be.
  const bool stalled = IsStalled(*state, now);
  state->pending_calls -= state->pending_calls > 0 ? 1 : 0;
  if (stalled) {
    state->avoid_until = now + options_.avoid_stalled;
  } else if (refused) {
    state->progress_at = now;
    // Refusals that arrive while the engine is avoided do not count.
    if (now >= state->avoid_until) {
      state->avoid_until = now + RefusalBackoff(state->refusals++);
    }
  }
}

Duration EnginePlacement::RefusalBackoff(std::uint32_t refusals) const {
  constexpr std::uint32_t kMaxDoublings = 8;
  return std::min(
      options_.avoid_after_refusal * (1U << std::min(refusals, kMaxDoublings)),
      options_.max_avoid_after_refusal);
}

void EnginePlacement::RecordHandleOutcome(const SentAttempt& sent, bool lost,
                                          TimePoint now) {
  EngineState* prefill_engine =
      FindRun(sent.assignment.prefill, sent.prefill_epoch);
  if (!prefill_engine) {
    return;
  }
  prefill_engine->lost_handles = lost ? prefill_engine->lost_handles + 1 : 0;
  if (prefill_engine->lost_handles >= options_.max_lost_handles) {
    prefill_engine->lost_handles = 0;
    prefill_engine->avoid_until = now + options_.avoid_lost_handles;
  }
}

void EnginePlacement::Forget(const std::string& instance) {
  engines_.erase(instance);
}

double EnginePlacement::BacklogOf(const std::string& instance) const {
  const EngineState* state = Find(instance);
  return state ? state->backlog : 0;
}

EngineQueue EnginePlacement::QueueOf(const std::string& instance) const {
  const EngineState* state = Find(instance);
  return state ? EngineQueue{state->backlog, state->queued_prompts,
                             state->streams}
               : EngineQueue{};
}

void EnginePlacement::VisitQueues(
    const std::function<void(const std::string& instance, const EngineQueue&)>&
        visit) const {
  for (const auto& [instance, state] : engines_) {
    visit(instance, {state.backlog, state.queued_prompts, state.streams});
  }
}

Duration EnginePlacement::QueueTime(double prompts, double work) const {
  const bool unsplit =
      unsplit_time_.calibrated() && !prefill_time_.calibrated();
  return (unsplit ? unsplit_time_ : prefill_time_)
      .PredictOccupancy(prompts, work);
}

const EnginePlacement::EngineState* EnginePlacement::Find(
    const std::string& instance) const {
  const auto it = engines_.find(instance);
  return it == engines_.end() ? nullptr : &it->second;
}

EnginePlacement::EngineState& EnginePlacement::GetOrCreate(
    const std::string& instance) {
  const auto [it, added] = engines_.try_emplace(instance);
  if (added) {
    it->second.epoch = ++last_epoch_;
  }
  return it->second;
}

EnginePlacement::EngineState* EnginePlacement::FindRun(
    const std::string& instance, std::uint64_t epoch) {
  const auto it = engines_.find(instance);
  const bool same = it != engines_.end() && it->second.epoch == epoch;
  return same ? &it->second : nullptr;
}

}  // namespace indigolead
