#include "core/placement/failure_guard.h"

#include <algorithm>

namespace indigolead {

Duration FailureGuard::OnBroken(const std::string& instance, TimePoint now) {
  Record& record = records_[instance];
  // Calls sent before the target was avoided do not count.
  if (now < record.avoid_until) {
    return Duration{0};
  }
  ++record.in_a_row;
  if (record.in_a_row < options_.max_in_a_row) {
    return Duration{0};
  }
  constexpr std::uint32_t kMostDoublings = 8;
  const std::uint32_t doublings =
      std::min(record.in_a_row - options_.max_in_a_row, kMostDoublings);
  const Duration avoid =
      std::min(options_.avoid * (1U << doublings), options_.longest_avoid);
  record.avoid_until = now + avoid;
  return avoid;
}

bool FailureGuard::IsAvoided(const std::string& instance, TimePoint now) const {
  const auto it = records_.find(instance);
  return it != records_.end() && now < it->second.avoid_until;
}

}  // namespace indigolead
