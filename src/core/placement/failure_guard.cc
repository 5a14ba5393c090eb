#include "core/placement/failure_guard.h"

#include <algorithm>

namespace indigolead {

Duration FailureGuard::RecordFailure(const std::string& instance,
                                     TimePoint now) {
  Record& record = records_[instance];
  // Calls that break while the target is avoided do not count.
  if (now < record.avoid_until) {
    return Duration{0};
  }
  ++record.consecutive_failures;
  if (record.consecutive_failures < options_.failures_to_avoid) {
    return Duration{0};
  }
  constexpr std::uint32_t kMaxDoublings = 8;
  const std::uint32_t doublings = std::min(
      record.consecutive_failures - options_.failures_to_avoid, kMaxDoublings);
  const Duration avoid_duration = std::min(
      options_.avoid_duration * (1U << doublings), options_.max_avoid_duration);
  record.avoid_until = now + avoid_duration;
  return avoid_duration;
}

bool FailureGuard::IsAvoided(const std::string& instance, TimePoint now) const {
  const auto it = records_.find(instance);
  return it != records_.end() && now < it->second.avoid_until;
}

}  // namespace indigolead
