#include "core/admission/connection_gate.h"

#include <algorithm>

namespace indigolead {
namespace {

/// Smallest limit, so that the entry finds out when it can keep up again.
constexpr double kMinLimit = 1;
/// Calm intervals in a row without need of the limit that end it.
constexpr int kUnusedIntervals = 10;

}  // namespace

bool ConnectionGate::OnInterval(Duration lag) {
  const bool was_limited = limit_.has_value();
  const auto accepted = static_cast<double>(accepted_);
  const bool late = lag > options_.max_lag;
  const bool calm = lag < options_.calm_lag;
  const bool used = limit_ && accepted >= *limit_;
  late_in_a_row_ = late ? late_in_a_row_ + 1 : 0;
  unused_in_a_row_ = calm && !used ? unused_in_a_row_ + 1 : 0;
  if (late && (limit_ || late_in_a_row_ >= options_.late_intervals)) {
    const double base = limit_.value_or(accepted);
    limit_ = std::max(kMinLimit, base * options_.decrease);
  } else if (limit_ && unused_in_a_row_ >= kUnusedIntervals) {
    limit_.reset();
  } else if (limit_ && calm) {
    limit_ = std::max(*limit_ + 1, *limit_ * options_.increase);
  }
  accepted_ = 0;
  return was_limited != limit_.has_value();
}

}  // namespace indigolead
