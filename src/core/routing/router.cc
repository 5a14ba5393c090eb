#include "core/routing/router.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace indigolead {

std::uint64_t Router::NameBits::BitsOf(const std::string& name) {
  const std::uint64_t known = Find(name);
  if (known != 0 || names_.size() >= kMaxNames) {
    return known;
  }
  names_.push_back(name);
  return 1ULL << (names_.size() - 1);
}

std::uint64_t Router::NameBits::Find(std::string_view name) const {
  for (std::size_t it = 0; it < names_.size(); ++it) {
    if (names_[it] == name) {
      return 1ULL << it;
    }
  }
  return 0;
}

Router::Router(RouterOptions options, RandomSource random)
    : options_(std::move(options)),
      random_(std::move(random)),
      outliers_(options_.outlier),
      attempts_(options_.max_in_flight, options_.max_targets) {
  serving_.reserve(options_.max_targets);
  suitable_.reserve(options_.max_scored);
  scored_.reserve(options_.max_scored);
}

Router::TargetState* Router::Get(TargetHandle target) {
  if (target.index >= targets_.size()) {
    return nullptr;
  }
  TargetState& state = targets_[target.index];
  const bool current = state.in_use && state.generation == target.generation;
  return current ? &state : nullptr;
}

const Router::TargetState* Router::Get(TargetHandle target) const {
  return const_cast<Router*>(this)->Get(target);
}

TargetHandle Router::HandleOf(std::uint32_t index) const {
  return TargetHandle{index, targets_[index].generation};
}

std::optional<std::uint32_t> Router::SlotFor(const std::string& instance) {
  std::optional<std::uint32_t> unused;
  for (std::uint32_t it = 0; it < targets_.size(); ++it) {
    if (targets_[it].in_use && targets_[it].view.instance == instance) {
      return it;
    }
    if (!targets_[it].in_use && !unused) {
      unused = it;
    }
  }
  if (unused || targets_.size() >= options_.max_targets) {
    return unused;
  }
  targets_.emplace_back(options_.defaults, options_.cache);
  return static_cast<std::uint32_t>(targets_.size() - 1);
}

std::optional<TargetHandle> Router::UpdateTarget(const TargetView& view) {
  const std::optional<std::uint32_t> slot = SlotFor(view.instance);
  if (!slot) {
    return std::nullopt;
  }
  TargetState& state = targets_[*slot];
  state.in_use = true;
  state.view = view;
  state.local = view.failure_domain == options_.failure_domain;
  AssignNameBits(&state);
  if (models_.full() || adapters_.full()) {
    ReassignNameBits();
  }
  SetServing(*slot, view.serving && !view.leaving);
  return HandleOf(*slot);
}

void Router::AssignNameBits(TargetState* state) {
  state->model_bits = 0;
  for (const std::string& it : state->view.models) {
    state->model_bits |= models_.BitsOf(it);
    state->model_bits |= models_.BitsOf(it.substr(0, it.find('@')));
  }
  state->adapter_bits = 0;
  for (const std::string& it : state->view.adapters) {
    state->adapter_bits |= adapters_.BitsOf(it);
  }
}

// Every rollout adds a new "name@version". Unless names that no target has any
// more are dropped, a process that runs for months has no bit left for the
// newest version and refuses all requests for it.
void Router::ReassignNameBits() {
  models_.Clear();
  adapters_.Clear();
  for (TargetState& it : targets_) {
    if (it.in_use) {
      AssignNameBits(&it);
    }
  }
}

void Router::SetServing(std::uint32_t index, bool serving) {
  const auto it = std::find(serving_.begin(), serving_.end(), index);
  if (serving && it == serving_.end()) {
    serving_.push_back(index);
  } else if (!serving && it != serving_.end()) {
    *it = serving_.back();
    serving_.pop_back();
  }
}

void Router::ForgetAttempts(std::uint32_t index) {
  std::uint32_t slot = attempts_.First(index);
  while (slot != InFlightTable::kNone) {
    const std::uint32_t next = attempts_.Next(slot);
    attempts_.Erase(slot);
    slot = next;
  }
}

void Router::RemoveTarget(TargetHandle target) {
  TargetState* state = Get(target);
  if (state == nullptr) {
    return;
  }
  OnRestart(target);
  SetServing(target.index, false);
  state->in_use = false;
  ++state->generation;
  state->view = TargetView{};
}

void Router::OnRestart(TargetHandle target) {
  TargetState* state = Get(target);
  if (state == nullptr) {
    return;
  }
  ForgetAttempts(target.index);
  state->load = TargetLoad(options_.defaults);
  state->outlier = OutlierState{};
  state->hint.Clear();
}

void Router::OnLoadReport(TargetHandle target, const TargetLoadReport& report,
                          TimePoint now) {
  if (TargetState* state = Get(target)) {
    state->load.OnReport(report, target.index, now, &attempts_);
  }
}

void Router::OnCacheEvents(TargetHandle target,
                           std::span<const std::uint64_t> added,
                           std::span<const std::uint64_t> removed,
                           std::uint64_t lost, TimePoint now) {
  TargetState* state = Get(target);
  if (state == nullptr) {
    return;
  }
  state->hint.OnLostEvents(lost);
  for (const std::uint64_t it : removed) {
    state->hint.Remove(it);
  }
  for (const std::uint64_t it : added) {
    state->hint.Add(it, now);
  }
}

bool Router::OnSent(AttemptId attempt, const RouteLeg& leg,
                    std::span<const std::uint64_t> prefix_blocks,
                    TimePoint now) {
  TargetState* state = Get(leg.target);
  if (state == nullptr) {
    return false;
  }
  InFlightAttempt sent;
  sent.id = attempt;
  sent.target = leg.target.index;
  sent.work = leg.work;
  sent.expected_first_token = leg.expected_first_token;
  sent.expected_end = leg.expected_end;
  sent.sent_at = now;
  if (attempts_.Insert(sent) == InFlightTable::kNone) {
    return false;
  }
  state->load.OnSent(sent);
  for (const std::uint64_t it : prefix_blocks) {
    state->hint.Add(it, now);
  }
  return true;
}

void Router::OnFirstToken(AttemptId attempt, TimePoint now) {
  const std::uint32_t slot = attempts_.Find(attempt);
  if (slot == InFlightTable::kNone) {
    return;
  }
  InFlightAttempt& sent = attempts_.At(slot);
  if (sent.first_token_seen || sent.ended) {
    return;
  }
  sent.first_token_seen = true;
  TargetState& state = targets_[sent.target];
  state.load.OnFirstToken(sent);
  outliers_.OnObserved(&state.outlier,
                       std::max(now - sent.sent_at, Duration{0}),
                       sent.expected_first_token, now);
}

void Router::OnEnded(AttemptId attempt, AttemptResult result, TimePoint now) {
  const std::uint32_t slot = attempts_.Find(attempt);
  if (slot == InFlightTable::kNone || attempts_.At(slot).ended) {
    return;
  }
  InFlightAttempt& sent = attempts_.At(slot);
  TargetState& state = targets_[sent.target];
  state.load.OnEnded(sent);
  if (result == AttemptResult::kTargetFailed) {
    outliers_.OnFailure(&state.outlier, now);
  } else if (result == AttemptResult::kFinished) {
    CalibrateFinish(sent, now);
  }
  sent.ended = true;
  sent.ended_at = now;
  // An attempt sent after the last report no longer affects the estimate. An
  // attempt that the last report counts is kept until a report measured after
  // its end arrives.
  if (!state.load.has_report() ||
      sent.sent_at > state.load.report().measured_at) {
    attempts_.Erase(slot);
  }
}

void Router::CalibrateFinish(const InFlightAttempt& attempt, TimePoint now) {
  // Shorter attempts are mostly overhead that does not grow with the work.
  constexpr Duration kShortest = std::chrono::milliseconds(50);
  if (attempt.expected_end < kShortest || now < attempt.sent_at) {
    return;
  }
  const double ratio = std::chrono::duration<double>(now - attempt.sent_at) /
                       std::chrono::duration<double>(attempt.expected_end);
  finish_ratio_ += 0.05 * (std::clamp(ratio, 0.2, 5.0) - finish_ratio_);
}

std::optional<TargetHandle> Router::Find(std::string_view instance) const {
  for (std::uint32_t it = 0; it < targets_.size(); ++it) {
    if (targets_[it].in_use && targets_[it].view.instance == instance) {
      return HandleOf(it);
    }
  }
  return std::nullopt;
}

const TargetView* Router::View(TargetHandle target) const {
  const TargetState* state = Get(target);
  return state == nullptr ? nullptr : &state->view;
}

std::optional<LoadEstimate> Router::Estimate(TargetHandle target,
                                             TimePoint now) const {
  const TargetState* state = Get(target);
  if (state == nullptr) {
    return std::nullopt;
  }
  return state->load.Estimate(now);
}

std::optional<TargetLoadReport> Router::LastReport(TargetHandle target) const {
  const TargetState* state = Get(target);
  if (state == nullptr) {
    return std::nullopt;
  }
  return state->load.report();
}

FleetLoad Router::Fleet(TimePoint now) const {
  FleetLoad fleet;
  for (const std::uint32_t it : serving_) {
    const LoadEstimate load = targets_[it].load.Estimate(now);
    ++fleet.serving;
    fleet.queued_prefill_tokens += load.queued_prefill_tokens;
    fleet.requests += load.requests;
    fleet.slots += load.slots;
    fleet.prefill_tokens_per_s += load.prefill_tokens_per_s;
    fleet.decode_tokens_per_s += load.decode_tokens_per_s;
  }
  return fleet;
}

std::uint32_t Router::suspects() const {
  return static_cast<std::uint32_t>(
      std::count_if(serving_.begin(), serving_.end(),
                    [this](auto it) { return targets_[it].outlier.suspect; }));
}

}  // namespace indigolead
