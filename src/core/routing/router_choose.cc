// Target selection of `Router`: collects, scores and chooses candidates.
#include <algorithm>
#include <cmath>
#include <limits>

#include "core/routing/router.h"

namespace indigolead {
namespace {

/// Share of a decode step's time that does not depend on the batch size
/// (reading the weights). The rest grows with the number of sequences.
constexpr double kFixedStepShare = 0.5;

constexpr double kInfinity = std::numeric_limits<double>::infinity();

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  // One day bounds the result of an invalid rate in a load report.
  const double bounded = std::clamp(seconds, 0.0, 86400.0);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(bounded));
}

/// Estimated time of a decode on a target.
struct DecodeTime {
  double wait_s = 0;      ///< Wait for a free slot.
  double run_s = 0;       ///< Decode at the resulting batch size.
  double slowdown_s = 0;  ///< Slowdown of the other requests in the batch.
};

DecodeTime EstimateDecode(const LoadEstimate& load, double output_tokens) {
  const double full_step_s = load.slots / load.decode_tokens_per_s;
  const double batch = std::min(load.requests + 1, load.slots);
  const double filled = batch / load.slots;
  const double excess = std::max(0.0, load.requests + 1 - load.slots);
  DecodeTime time;
  time.wait_s = excess / load.slots * output_tokens * full_step_s;
  time.run_s = output_tokens * full_step_s *
               (kFixedStepShare + (1 - kFixedStepShare) * filled);
  time.slowdown_s =
      output_tokens * full_step_s * (1 - kFixedStepShare) * filled;
  return time;
}

}  // namespace

std::optional<Router::RequiredBits> Router::Resolve(
    const RouteQuery& query) const {
  RequiredBits required;
  if (!query.model.empty()) {
    required.model = models_.Find(query.model);
    if (required.model == 0) {
      return std::nullopt;
    }
  }
  if (!query.adapter.empty()) {
    required.adapter = adapters_.Find(query.adapter);
    if (required.adapter == 0) {
      return std::nullopt;
    }
  }
  return required;
}

// In a fleet larger than `max_scored`, scans from two positions: one derived
// from the prompt's first block, so that requests with the same prefix find the
// targets that cache it, and a random one.
void Router::CollectCandidates(const RouteQuery& query,
                               const RequiredBits& required) {
  suitable_.clear();
  any_excluded_ = false;
  const auto n = static_cast<std::uint32_t>(serving_.size());
  const std::uint32_t limit = options_.max_scored;
  if (n <= limit) {
    ScanFrom(0, limit, query, required);
    return;
  }
  const std::uint64_t start_hash =
      query.prefix_blocks.empty() ? random_() : query.prefix_blocks.front();
  const std::uint32_t first = ToBoundedInteger(start_hash, n);
  ScanFrom(first, limit / 2, query, required);
  ScanFrom(ToBoundedInteger(random_(), n), limit, query, required);
}

void Router::ScanFrom(std::uint32_t start, std::uint32_t limit,
                      const RouteQuery& query, const RequiredBits& required) {
  const auto n = static_cast<std::uint32_t>(serving_.size());
  for (std::uint32_t it = 0; it < n && suitable_.size() < limit; ++it) {
    const std::uint32_t position = start + it < n ? start + it : start + it - n;
    const std::uint32_t index = serving_[position];
    const TargetState& state = targets_[index];
    const bool has_model =
        (state.model_bits & required.model) == required.model;
    const bool has_adapter =
        (state.adapter_bits & required.adapter) == required.adapter;
    if (!has_model || !has_adapter) {
      continue;
    }
    const auto& tried = query.excluded;
    if (std::find(tried.begin(), tried.end(), HandleOf(index)) != tried.end()) {
      any_excluded_ = true;
      continue;
    }
    suitable_.push_back(index);
  }
}

std::optional<std::uint32_t> Router::DueProbe(TimePoint now) const {
  for (const std::uint32_t it : suitable_) {
    const TargetState& state = targets_[it];
    if (state.outlier.suspect && state.outlier.probe_at <= now &&
        state.load.own_requests() == 0) {
      return it;
    }
  }
  return std::nullopt;
}

Router::Candidate Router::Score(std::uint32_t index, const RouteQuery& query,
                                RequestPhase phase, TimePoint now) const {
  const TargetState& state = targets_[index];
  const LoadEstimate load = options_.correct_reports
                                ? state.load.Estimate(now)
                                : state.load.ReportedLoad();
  const CachedPrefix cached = state.hint.Find(query.prefix_blocks, now);
  Candidate result;
  result.index = index;
  result.cached_tokens = static_cast<std::uint64_t>(
      cached.confidence *
      static_cast<double>(std::min<std::uint64_t>(
          cached.blocks * options_.block_tokens, query.prompt_tokens)));

  double prefill_s = 0;
  double prefill_cost_s = 0;
  if (phase != RequestPhase::kDecode) {
    const double mismatch = state.view.role == EngineRole::kDecode
                                ? options_.role_mismatch_cost
                                : 1.0;
    const double wait_s =
        load.queued_prefill_tokens / load.prefill_tokens_per_s;
    const double own_s =
        mismatch *
        static_cast<double>(query.prompt_tokens - result.cached_tokens) /
        load.prefill_tokens_per_s;
    prefill_s = wait_s + own_s;
    prefill_cost_s = wait_s + options_.prefill_weight * own_s;
  }
  DecodeTime decode;
  double decode_mismatch = 1.0;
  if (phase != RequestPhase::kPrefill) {
    // A call without output tokens still takes a slot in the batch.
    const double output =
        std::max(1.0, static_cast<double>(query.output_tokens));
    decode = EstimateDecode(load, output);
    decode_mismatch = state.view.role == EngineRole::kPrefill
                          ? options_.role_mismatch_cost
                          : 1.0;
  }
  result.first_token_s = prefill_s + decode.wait_s;
  result.finish_s = result.first_token_s + decode_mismatch * decode.run_s;
  result.cost = prefill_cost_s + decode.wait_s +
                decode_mismatch * (decode.run_s + decode.slowdown_s);
  result.cost *= outliers_.Slowness(state.outlier);
  const double kv_needed =
      static_cast<double>(options_.kv_bytes_per_token) *
      static_cast<double>(query.prompt_tokens + query.output_tokens);
  if (load.kv_capacity_bytes > 0 &&
      load.kv_used_bytes + kv_needed > load.kv_capacity_bytes) {
    result.cost += Seconds(options_.kv_full_cost);
  }
  if (!state.local) {
    result.cost += Seconds(options_.domain_cost);
  }
  return result;
}

Router::Candidate Router::ChooseBest(const RouteQuery& query,
                                     RequestPhase phase, TimePoint now) {
  const auto suspects = static_cast<double>(
      std::count_if(suitable_.begin(), suitable_.end(),
                    [this](auto it) { return targets_[it].outlier.suspect; }));
  const bool trust_all = suspects > options_.max_suspect_share *
                                        static_cast<double>(suitable_.size());
  scored_.clear();
  double best = kInfinity;
  for (const std::uint32_t it : suitable_) {
    const TargetState& state = targets_[it];
    const bool wrong_role = (phase == RequestPhase::kPrefill &&
                             state.view.role == EngineRole::kDecode) ||
                            (phase == RequestPhase::kDecode &&
                             state.view.role == EngineRole::kPrefill);
    if (wrong_role || (state.outlier.suspect && !trust_all)) {
      continue;
    }
    scored_.push_back(Score(it, query, phase, now));
    best = std::min(best, scored_.back().cost);
  }
  Candidate chosen;
  chosen.cost = kInfinity;
  const double limit = best * (1 + options_.tie_share) + Seconds(options_.tie);
  std::uint32_t tied = 0;
  for (const Candidate& it : scored_) {
    // Reservoir sampling: each tied candidate is chosen with equal probability.
    if (it.cost <= limit && ToBoundedInteger(random_(), ++tied) == 0) {
      chosen = it;
    }
  }
  return chosen;
}

RouteLeg Router::MakeLeg(const Candidate& candidate, const RouteQuery& query,
                         RequestPhase phase) const {
  RouteLeg leg;
  leg.target = HandleOf(candidate.index);
  leg.cached_tokens =
      phase == RequestPhase::kDecode ? 0 : candidate.cached_tokens;
  leg.expected_first_token = FromSeconds(candidate.first_token_s);
  leg.expected_end = FromSeconds(candidate.finish_s);
  if (phase != RequestPhase::kDecode) {
    leg.work.prefill_tokens = query.prompt_tokens - candidate.cached_tokens;
  }
  if (phase != RequestPhase::kPrefill) {
    leg.work.output_tokens = query.output_tokens;
  }
  leg.work.kv_bytes = options_.kv_bytes_per_token *
                      (query.prompt_tokens + leg.work.output_tokens);
  return leg;
}

RouteDecision Router::WholeDecision(const Candidate& whole,
                                    const RouteQuery& query, bool probe) const {
  RouteDecision decision;
  decision.verdict = RouteVerdict::kChosen;
  decision.leg = MakeLeg(whole, query, RequestPhase::kWhole);
  decision.expected_finish = FromSeconds(finish_ratio_ * whole.finish_s);
  decision.probe = probe;
  return decision;
}

std::optional<RouteDecision> Router::ChooseSplit(const RouteQuery& query,
                                                 const Candidate& whole,
                                                 TimePoint now) {
  const Candidate prefill = ChooseBest(query, RequestPhase::kPrefill, now);
  const Candidate decode = ChooseBest(query, RequestPhase::kDecode, now);
  if (prefill.index == UINT32_MAX || decode.index == UINT32_MAX ||
      prefill.index == decode.index) {
    return std::nullopt;
  }
  const double transfer_s =
      static_cast<double>(options_.kv_bytes_per_token * query.prompt_tokens) /
      options_.transfer_bytes_per_s;
  if (prefill.cost + transfer_s + decode.cost >= whole.cost) {
    return std::nullopt;
  }
  RouteDecision decision;
  decision.verdict = RouteVerdict::kChosen;
  decision.prefill = MakeLeg(prefill, query, RequestPhase::kPrefill);
  decision.leg = MakeLeg(decode, query, RequestPhase::kDecode);
  decision.expected_finish = FromSeconds(
      finish_ratio_ * (prefill.finish_s + transfer_s + decode.finish_s));
  return decision;
}

RouteDecision Router::DecisionFor(TargetHandle target, const RouteQuery& query,
                                  TimePoint now) const {
  return WholeDecision(Score(target.index, query, RequestPhase::kWhole, now),
                       query, false);
}

RouteDecision Router::Choose(const RouteQuery& query, TimePoint now) {
  RouteDecision none;
  const std::optional<RequiredBits> required = Resolve(query);
  if (!required || serving_.empty()) {
    none.verdict =
        serving_.empty() ? RouteVerdict::kNoTarget : RouteVerdict::kNotLoaded;
    return none;
  }
  CollectCandidates(query, *required);
  if (suitable_.empty()) {
    none.verdict =
        any_excluded_ ? RouteVerdict::kExcluded : RouteVerdict::kNotLoaded;
    return none;
  }
  if (query.may_probe) {
    if (const auto index = DueProbe(now)) {
      outliers_.OnProbe(&targets_[*index].outlier, now);
      return WholeDecision(Score(*index, query, RequestPhase::kWhole, now),
                           query, true);
    }
  }
  const Candidate whole = ChooseBest(query, RequestPhase::kWhole, now);
  if (query.may_split) {
    if (const auto split = ChooseSplit(query, whole, now)) {
      return *split;
    }
  }
  return WholeDecision(whole, query, false);
}

}  // namespace indigolead
