#include "core/admission/retry_budget.h"

#include <algorithm>

namespace indigolead {

void RetryBudget::OnFirstAttempt() {
  ++first_attempts_;
  level_ = std::min(level_ + options_.share, options_.burst);
}

void RetryBudget::SetBurst(double burst) {
  options_.burst = burst;
  level_ = std::min(level_, burst);
}

void RetryBudget::Grant(double arrivals) {
  level_ = std::min(level_ + arrivals, options_.burst);
}

bool RetryBudget::TryTake(double arrivals) {
  // Tolerance for rounding: ten times 0.1 adds up to slightly less than 1.
  constexpr double kRounding = 1e-9;
  if (level_ < arrivals - kRounding) {
    return false;
  }
  level_ = std::max(0.0, level_ - arrivals);
  ++retries_;
  return true;
}

Duration Backoff::Delay(std::uint32_t retry, std::uint64_t random_bits) const {
  Duration max_delay = base;
  for (std::uint32_t it = 0; it < retry && max_delay < cap; ++it) {
    max_delay *= 2;
  }
  max_delay = std::min(max_delay, cap);
  return std::chrono::duration_cast<Duration>(max_delay *
                                              ToUnitInterval(random_bits));
}

}  // namespace indigolead
