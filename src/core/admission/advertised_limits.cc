#include "core/admission/advertised_limits.h"

namespace indigolead {

std::optional<LimitChange> AdvertisedLimits::OnAnswer(const std::string& target,
                                                      const LimitNotice& notice,
                                                      TimePoint now) {
  const std::optional<double> before = Find(target);
  if (notice.limit) {
    limits_[target] = {*notice.limit, now, 0};
    if (before == notice.limit) {
      return std::nullopt;
    }
    return LimitChange{before, notice.limit};
  }
  const auto it = limits_.find(target);
  // An answer to a request sent before the limit became known may predate the
  // limit.
  if (it == limits_.end() || !notice.served ||
      notice.sent_at < it->second.advertised_at) {
    return std::nullopt;
  }
  if (++it->second.missing < max_missing_) {
    return std::nullopt;
  }
  limits_.erase(it);
  return LimitChange{before, std::nullopt};
}

std::optional<LimitChange> AdvertisedLimits::OnShared(
    const std::string& target, std::optional<double> limit, TimePoint now) {
  const std::optional<double> before = Find(target);
  if (before.has_value() == limit.has_value()) {
    return std::nullopt;
  }
  if (limit) {
    limits_[target] = {*limit, now, 0};
  } else {
    limits_.erase(target);
  }
  return LimitChange{before, limit};
}

std::optional<double> AdvertisedLimits::Find(const std::string& target) const {
  const auto it = limits_.find(target);
  return it == limits_.end() ? std::nullopt : std::optional(it->second.value);
}

}  // namespace indigolead
