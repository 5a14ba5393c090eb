#include "core/placement/role_change_wait.h"

#include <algorithm>

namespace indigolead {

RoleChangeDecision RoleChangeWait::Decide(const ServiceVersion& version,
                                          Duration change_time,
                                          TimePoint deadline, TimePoint now) {
  std::erase_if(changes_, [&](const auto& it) {
    return now - it.second.last_at > options_.forget_after;
  });
  Change& change =
      changes_.try_emplace(version, Change{now, now}).first->second;
  change.last_at = now;
  const TimePoint done_at = change.since + change_time + options_.overhead;
  const Duration expected = done_at - now;
  if (expected > Duration{0} && done_at + options_.min_time_left <= deadline) {
    return WaitForRoleChange{expected};
  }
  return RefuseUntilRoleChange{std::max(expected, options_.min_retry_after)};
}

}  // namespace indigolead
