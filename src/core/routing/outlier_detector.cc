#include "core/routing/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace indigolead {
namespace {

/// Times below this reflect noise of the machine, not the target.
constexpr double kFloorSeconds = 0.02;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void OutlierDetector::OnObserved(OutlierState* state, Duration observed,
                                 Duration expected, TimePoint now) {
  const double ratio = std::max(Seconds(observed), kFloorSeconds) /
                       std::max(Seconds(expected), kFloorSeconds);
  const double sample = std::clamp(std::log(ratio), -3.0, 5.0);
  state->consecutive_failures = 0;
  if (state->suspect) {
    if (sample - fleet_log_ratio_ <= std::log(options_.healthy_ratio)) {
      // The old samples describe the slow period, so the state is reset.
      *state = OutlierState{};
    }
    return;
  }
  const double weight = state->samples == 0 ? 1.0 : options_.smoothing;
  state->log_ratio += weight * (sample - state->log_ratio);
  ++state->samples;
  // The step is bounded, so that a single broken target cannot shift the
  // fleet's average until it looks normal itself.
  const double step = std::clamp(sample - fleet_log_ratio_, -1.0, 1.0);
  fleet_log_ratio_ += 0.02 * step;
  if (state->samples >= options_.min_samples &&
      state->log_ratio - fleet_log_ratio_ > std::log(options_.slow_ratio)) {
    MakeSuspect(state, now);
  }
}

void OutlierDetector::OnFailure(OutlierState* state, TimePoint now) {
  ++state->consecutive_failures;
  if (!state->suspect &&
      state->consecutive_failures >= options_.failures_to_suspect) {
    MakeSuspect(state, now);
  }
}

void OutlierDetector::MakeSuspect(OutlierState* state, TimePoint now) const {
  state->suspect = true;
  state->probe_interval = options_.probe_interval;
  state->probe_at = now + options_.probe_interval;
}

void OutlierDetector::OnProbe(OutlierState* state, TimePoint now) const {
  state->probe_interval =
      std::min(state->probe_interval * 2, options_.max_probe_interval);
  state->probe_at = now + state->probe_interval;
}

double OutlierDetector::Slowness(const OutlierState& state) const {
  if (state.samples < options_.min_samples) {
    return 1.0;
  }
  return std::exp(std::max(0.0, state.log_ratio - fleet_log_ratio_));
}

}  // namespace indigolead
