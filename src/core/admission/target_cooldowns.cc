#include "core/admission/target_cooldowns.h"

#include <algorithm>

namespace indigolead {

Duration TargetCooldowns::OnCooldownRequested(const std::string& target,
                                              Duration length, TimePoint now) {
  if (length > Duration{0}) {
    TimePoint& end = ends_[target];
    end = std::max(end, now + std::min(length, kMaxCooldown));
  }
  return WaitFor(target, now);
}

Duration TargetCooldowns::WaitFor(const std::string& target,
                                  TimePoint now) const {
  const auto it = ends_.find(target);
  return it == ends_.end() ? Duration{0}
                           : std::max(Duration{0}, it->second - now);
}

std::vector<std::string> TargetCooldowns::Tick(TimePoint now) {
  std::vector<std::string> over;
  for (auto it = ends_.begin(); it != ends_.end();) {
    if (it->second <= now) {
      over.push_back(it->first);
      it = ends_.erase(it);
    } else {
      ++it;
    }
  }
  return over;
}

}  // namespace indigolead
