#include "replay/engine_model.h"

#include <algorithm>

namespace indigolead::replay {
namespace {

/// Share of a full decode step that is independent of the batch size.
constexpr double kFixedStepShare = 0.5;

}  // namespace

std::uint32_t EngineModel::Add(Sequence sequence) {
  std::uint32_t found = 0;
  for (auto it = cache_.begin(); it != cache_.end(); ++it) {
    if (sequence.prefix != 0 && it->first == sequence.prefix &&
        sequence.prefill_left > 0) {
      found = std::min(it->second, sequence.prefix_tokens);
      cache_.splice(cache_.begin(), cache_, it);
      break;
    }
  }
  sequence.prefill_left = std::max(sequence.prefill_left - found,
                                   sequence.prefill_left > 0 ? 1.0 : 0.0);
  const auto place = std::upper_bound(
      waiting_.begin(), waiting_.end(), sequence,
      [](const auto& a, const auto& b) { return a.priority > b.priority; });
  waiting_.insert(place, sequence);
  return found;
}

void EngineModel::Cancel(std::uint64_t attempt) {
  const auto is_it = [attempt](const Sequence& it) {
    return it.attempt == attempt;
  };
  std::erase_if(waiting_, is_it);
  for (const Sequence& it : running_) {
    kv_used_ -= is_it(it) ? it.context_tokens : 0;
  }
  std::erase_if(running_, is_it);
}

void EngineModel::AdmitWaiting() {
  while (!waiting_.empty() && running_.size() < costs_.slots) {
    const Sequence& next = waiting_.front();
    const bool fits =
        running_.empty() ||
        kv_used_ + next.context_tokens <= static_cast<double>(costs_.kv_tokens);
    if (!fits) {
      return;
    }
    kv_used_ += next.context_tokens;
    running_.push_back(next);
    waiting_.pop_front();
  }
}

double EngineModel::BeginStep() {
  AdmitWaiting();
  double chunk = 0;
  double batch = 0;
  for (const Sequence& it : running_) {
    if (it.prefill_left <= 0) {
      batch += 1;
    } else if (chunk == 0) {
      chunk = std::min<double>(it.prefill_left, costs_.chunk_tokens);
    }
  }
  const double full_step_s = costs_.slots / costs_.decode_tokens_per_s;
  const double decode_s =
      batch == 0 ? 0
                 : full_step_s * (kFixedStepShare +
                                  (1 - kFixedStepShare) * batch / costs_.slots);
  const double prefill_s = chunk / costs_.prefill_tokens_per_s;
  double step_s =
      decode_s * (role == EngineRole::kPrefill ? costs_.mismatch_factor : 1) +
      prefill_s * (role == EngineRole::kDecode ? costs_.mismatch_factor : 1);
  if (chunk > 0 && batch > 0) {
    step_s *= costs_.interference_factor;
  }
  return step_s * slowdown;
}

StepResult EngineModel::EndStep() {
  StepResult result;
  bool prefilled = false;
  for (Sequence& it : running_) {
    if (it.prefill_left <= 0) {
      it.output_left -= 1;
      result.crashed = result.crashed || it.poison;
    } else if (!prefilled) {
      prefilled = true;
      it.prefill_left -= std::min<double>(it.prefill_left, costs_.chunk_tokens);
      if (it.prefill_left <= 0) {
        result.first_tokens.push_back(it.attempt);
        AddToCache(it, &result);
      }
    }
    if (it.prefill_left <= 0 && it.output_left <= 0) {
      result.finished.push_back(it.attempt);
    }
  }
  for (const std::uint64_t it : result.finished) {
    Cancel(it);
  }
  return result;
}

void EngineModel::AddToCache(const Sequence& sequence, StepResult* result) {
  const auto known =
      std::find_if(cache_.begin(), cache_.end(),
                   [&](const auto& it) { return it.first == sequence.prefix; });
  if (sequence.prefix == 0 || known != cache_.end()) {
    return;
  }
  cache_.emplace_front(sequence.prefix, sequence.prefix_tokens);
  result->cached.push_back(sequence.prefix);
  std::uint64_t total = 0;
  for (const auto& it : cache_) {
    total += it.second;
  }
  while (total > costs_.cache_tokens) {
    total -= cache_.back().second;
    result->evicted.push_back(cache_.back().first);
    cache_.pop_back();
  }
}

void EngineModel::Reset() {
  waiting_.clear();
  running_.clear();
  cache_.clear();
  kv_used_ = 0;
}

TargetLoadReport EngineModel::Report() const {
  TargetLoadReport report;
  report.running = static_cast<std::uint32_t>(running_.size());
  report.waiting = static_cast<std::uint32_t>(waiting_.size());
  double queued = 0;
  for (const Sequence& it : running_) {
    queued += it.prefill_left;
  }
  for (const Sequence& it : waiting_) {
    queued += it.prefill_left;
  }
  report.queued_prefill_tokens = static_cast<std::uint64_t>(queued);
  // The model counts one byte for each token.
  report.kv_used_bytes = static_cast<std::uint64_t>(std::max(0.0, kv_used_));
  report.kv_capacity_bytes = costs_.kv_tokens;
  report.slots = costs_.slots;
  report.prefill_tokens_per_s =
      static_cast<std::uint64_t>(costs_.prefill_tokens_per_s);
  report.decode_tokens_per_s =
      static_cast<std::uint64_t>(costs_.decode_tokens_per_s);
  return report;
}

double EngineModel::FinishSeconds(double prompt_tokens,
                                  double output_tokens) const {
  const double queued = static_cast<double>(Report().queued_prefill_tokens);
  const double full_step_s = costs_.slots / costs_.decode_tokens_per_s;
  return slowdown * ((queued + prompt_tokens) / costs_.prefill_tokens_per_s +
                     output_tokens * full_step_s);
}

}  // namespace indigolead::replay
