#include "core/admission/admission.h"

#include <algorithm>
#include <chrono>

namespace indigolead {
namespace {

/// Length of a window over which the rate of work is measured.
constexpr Duration kRateWindow = std::chrono::seconds(1);

/// Minimum time between two scans of the queue for requests that can no longer
/// meet their deadline.
constexpr Duration kScanInterval = std::chrono::milliseconds(10);

/// Maximum number of requests evicted for one new request.
constexpr int kMaxEvicted = 8;

Duration FromSeconds(double seconds) {
  // A rate near zero yields huge values; they are limited to one day.
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(seconds, 0.0, 86400.0)));
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::string_view RefusalCauseName(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kNone:
      return "none";
    case RefusalCause::kUnknownAccount:
      return "unknown-account";
    case RefusalCause::kDeadlineTooShort:
      return "deadline-too-short";
    case RefusalCause::kDeadline:
      return "deadline";
    case RefusalCause::kRequestRate:
      return "request-rate";
    case RefusalCause::kTokenRate:
      return "token-rate";
    case RefusalCause::kConcurrency:
      return "concurrency";
    case RefusalCause::kQueueFull:
      return "queue-full";
    case RefusalCause::kDisplaced:
      return "displaced";
  }
  return "none";
}

Admission::Admission(const AdmissionOptions& options)
    : options_(options),
      queue_(options.queue),
      concurrency_(options.concurrency),
      accounts_(options.queue.max_accounts) {}

std::optional<std::uint32_t> Admission::FindAccount(
    std::string_view name) const {
  for (std::uint32_t it = 0; it < accounts_.size(); ++it) {
    if (accounts_[it].in_use && accounts_[it].spec.name == name) {
      return it;
    }
  }
  return std::nullopt;
}

std::optional<std::uint32_t> Admission::IndexFor(
    const std::string& name) const {
  if (const auto known = FindAccount(name)) {
    return known;
  }
  for (std::uint32_t it = 0; it < accounts_.size(); ++it) {
    const AccountState& state = accounts_[it];
    const bool drained = state.running == 0 && queue_.CountOf(it) == 0;
    if (!state.in_use || (!state.accepts && drained)) {
      return it;
    }
  }
  return std::nullopt;
}

void Admission::Configure(const DeploymentSpec& spec) {
  for (AccountState& it : accounts_) {
    it.accepts = false;
  }
  for (const ClientAccountSpec& it : spec.client_accounts) {
    const std::optional<std::uint32_t> index = IndexFor(it.name);
    if (!index) {
      continue;
    }
    AccountState& state = accounts_[*index];
    if (!state.in_use || state.spec.name != it.name) {
      state = AccountState{};
    }
    state.spec = it;
    state.in_use = true;
    state.accepts = true;
    state.requests.SetRate(it.requests_per_second);
    state.tokens.SetRate(it.tokens_per_second);
    queue_.SetAccount(*index, it.priority, it.weight);
  }
}

double Admission::ServiceRate() const {
  return rate_ratio_ * fleet_.prefill_tokens_per_s;
}

bool Admission::CanDispatch() const {
  const double max_queued =
      options_.max_target_backlog_s * fleet_.prefill_tokens_per_s;
  return fleet_.serving > 0 && concurrency_.HasRoom() &&
         fleet_.queued_prefill_tokens <= max_queued &&
         fleet_.requests + 0.5 < fleet_.slots * options_.max_slots_share;
}

bool Admission::FleetIsIdle() const {
  return fleet_.serving > 0 && queue_.size() == 0 &&
         fleet_.queued_prefill_tokens == 0 && fleet_.requests < 1;
}

double Admission::WorkOf(const AdmissionRequest& request) const {
  const bool known = fleet_.decode_tokens_per_s > 0;
  const double output_work =
      known ? fleet_.prefill_tokens_per_s / fleet_.decode_tokens_per_s
            : options_.output_token_work;
  return std::max(1.0,
                  static_cast<double>(request.prompt_tokens) +
                      output_work * static_cast<double>(request.output_tokens));
}

Duration Admission::ExpectedWait(std::uint32_t account) const {
  const double rate = ServiceRate();
  // Without a target there is no rate to estimate the wait from. The request is
  // queued, and refused once its deadline cannot be met.
  return rate > 0 ? FromSeconds(queue_.WorkAhead(account) / rate) : Duration{0};
}

AdmissionDecision Admission::Refuse(const RequestId& id, RefusalCause cause,
                                    std::optional<Duration> retry_after) const {
  AdmissionDecision decision;
  decision.id = id;
  decision.verdict = AdmissionVerdict::kRefused;
  decision.cause = cause;
  if (retry_after) {
    decision.retry_after = std::clamp(*retry_after, options_.min_retry_after,
                                      options_.max_retry_after);
  }
  return decision;
}

AdmissionDecision Admission::Admit(const QueuedRequest& request,
                                   TimePoint now) {
  ++accounts_[request.account].running;
  concurrency_.OnStarted();
  AdmissionDecision decision;
  decision.id = request.id;
  decision.verdict = AdmissionVerdict::kAdmitted;
  decision.ticket =
      AdmissionTicket{request.account, request.work, now, request.service};
  return decision;
}

std::optional<AdmissionDecision> Admission::CheckLimits(
    const AdmissionRequest& request, std::uint32_t account, TimePoint now) {
  AccountState& state = accounts_[account];
  const std::uint32_t outstanding = state.running + queue_.CountOf(account);
  if (outstanding >= state.spec.max_concurrent) {
    return Refuse(request.id, RefusalCause::kConcurrency,
                  FromSeconds(average_service_s_));
  }
  if (!state.requests.Allows(now)) {
    return Refuse(request.id, RefusalCause::kRequestRate,
                  state.requests.TimeUntilAllowed());
  }
  if (!state.tokens.Allows(now)) {
    return Refuse(request.id, RefusalCause::kTokenRate,
                  state.tokens.TimeUntilAllowed());
  }
  return std::nullopt;
}

std::optional<AdmissionDecision> Admission::CheckDeadline(
    const AdmissionRequest& request, Duration wait, TimePoint now) const {
  const Duration late = now + wait + request.service - request.deadline;
  if (late <= Duration{0}) {
    return std::nullopt;
  }
  if (FleetIsIdle()) {
    return Refuse(request.id, RefusalCause::kDeadlineTooShort, std::nullopt);
  }
  // After this delay, enough of the work ahead is done for the same request to
  // meet its deadline.
  return Refuse(request.id, RefusalCause::kDeadline, late);
}

AdmissionDecision Admission::Offer(const AdmissionRequest& request,
                                   TimePoint now,
                                   const OnDecision& on_evicted) {
  const std::optional<std::uint32_t> account = FindAccount(request.account);
  if (!account || !accounts_[*account].accepts) {
    return Refuse(request.id, RefusalCause::kUnknownAccount, std::nullopt);
  }
  if (auto refused = CheckLimits(request, *account, now)) {
    return *refused;
  }
  const bool can_run_now = queue_.size() == 0 && CanDispatch();
  const Duration wait = can_run_now ? Duration{0} : ExpectedWait(*account);
  if (auto refused = CheckDeadline(request, wait, now)) {
    return *refused;
  }
  const QueuedRequest queued{request.id, *account, WorkOf(request),
                             request.deadline, request.service};
  AdmissionDecision decision =
      can_run_now ? Admit(queued, now) : Enqueue(queued, on_evicted);
  if (decision.verdict != AdmissionVerdict::kRefused) {
    // Only accepted requests count towards the rate limits.
    AccountState& state = accounts_[*account];
    state.requests.Take(1);
    state.tokens.Take(static_cast<double>(request.prompt_tokens) +
                      static_cast<double>(request.output_tokens));
  }
  return decision;
}

AdmissionDecision Admission::Enqueue(const QueuedRequest& request,
                                     const OnDecision& on_evicted) {
  const double work = request.work;
  for (int it = 0; it < kMaxEvicted && !queue_.HasRoom(work); ++it) {
    const auto evicted_request = queue_.EvictFor(request.account, work);
    if (!evicted_request) {
      break;
    }
    on_evicted(Refuse(evicted_request->id, RefusalCause::kDisplaced,
                      ExpectedWait(evicted_request->account)));
  }
  if (!queue_.HasRoom(work)) {
    return Refuse(request.id, RefusalCause::kQueueFull,
                  ExpectedWait(request.account));
  }
  queue_.Push(request);
  AdmissionDecision decision;
  decision.id = request.id;
  decision.verdict = AdmissionVerdict::kQueued;
  return decision;
}

void Admission::RefuseUnmeetable(TimePoint now, const OnDecision& on_decision) {
  const bool due = now < scanned_at_ || now - scanned_at_ >= kScanInterval;
  if (!due) {
    return;
  }
  scanned_at_ = now;
  queue_.RemoveIf(
      [now](const QueuedRequest& it) { return now + it.service > it.deadline; },
      [&](const QueuedRequest& it) {
        on_decision(
            Refuse(it.id, RefusalCause::kDeadline, ExpectedWait(it.account)));
      });
}

void Admission::Advance(TimePoint now, const std::function<FleetLoad()>& fleet,
                        const OnDecision& on_decision) {
  RefuseUnmeetable(now, on_decision);
  fleet_ = fleet();
  while (queue_.size() > 0 && CanDispatch()) {
    const QueuedRequest next = *queue_.Pop();
    if (now + next.service > next.deadline) {
      on_decision(
          Refuse(next.id, RefusalCause::kDeadline, ExpectedWait(next.account)));
      continue;
    }
    on_decision(Admit(next, now));
    fleet_ = fleet();
  }
  window_saturated_ = window_saturated_ && queue_.size() > 0;
}

// Only time spent at the targets indicates overload. If requests that are late
// because of their wait in this queue were counted too, the concurrency limit
// would drop, the wait would grow and further requests would be late: the
// engines would idle with a full queue, even after the load peak.
bool Admission::IndicatesOverload(const AdmissionTicket& ticket,
                                  AdmissionEnd end, TimePoint now) const {
  constexpr int kMinSlowdown = 2;
  return end == AdmissionEnd::kOverloaded ||
         (end == AdmissionEnd::kLate &&
          now - ticket.started_at > kMinSlowdown * ticket.service);
}

void Admission::OnEnded(const AdmissionTicket& ticket, AdmissionEnd end,
                        TimePoint now) {
  AccountState& state = accounts_[ticket.account];
  state.running -= state.running > 0 ? 1 : 0;
  concurrency_.OnEnded(IndicatesOverload(ticket, end, now), now);
  if (end != AdmissionEnd::kInTime) {
    return;
  }
  const double service_s = std::max(0.0, Seconds(now - ticket.started_at));
  average_service_s_ += 0.05 * (service_s - average_service_s_);
  MeasureRate(ticket.work, now);
}

// Only a window during which the queue was never empty measures the capacity of
// the targets; otherwise, it measures the arrival rate.
void Admission::MeasureRate(double work, TimePoint now) {
  window_work_ += work;
  const Duration elapsed = now - window_start_;
  if (elapsed >= Duration{0} && elapsed < kRateWindow) {
    return;
  }
  if (window_saturated_ && elapsed > Duration{0} &&
      fleet_.prefill_tokens_per_s > 0) {
    const double share =
        window_work_ / Seconds(elapsed) / fleet_.prefill_tokens_per_s;
    rate_ratio_ += 0.2 * (std::clamp(share, 0.05, 4.0) - rate_ratio_);
  }
  window_start_ = now;
  window_work_ = 0;
  window_saturated_ = queue_.size() > 0;
}

bool Admission::Cancel(const RequestId& id) {
  return queue_.Remove(id).has_value();
}

}  // namespace indigolead
