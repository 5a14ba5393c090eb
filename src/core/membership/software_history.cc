#include "core/membership/software_history.h"

#include <utility>

namespace indigolead {

void SoftwareHistory::OnListed(const std::vector<TargetRecord>& listed,
                               TimePoint now) {
  if (!std::exchange(any_list_, true)) {
    complete_since_ = options_.first_start ? now - options_.stream_life : now;
  }
  for (auto& [service, versions] : services_) {
    for (auto& [version, left_at] : versions) {
      left_at = left_at.value_or(now);
    }
  }
  for (const TargetRecord& it : listed) {
    services_[it.service][it.software_version].reset();
  }
  for (auto& [service, versions] : services_) {
    std::erase_if(versions, [&](const auto& it) {
      return it.second && now - *it.second > options_.stream_life;
    });
  }
}

void SoftwareHistory::OnSeen(const std::vector<TargetRecord>& seen,
                             TimePoint now) {
  for (const TargetRecord& it : seen) {
    const auto [held, added] =
        services_[it.service].try_emplace(it.software_version, now);
    if (!added && held->second) {
      held->second = now;
    }
  }
}

void SoftwareHistory::OnStoreFollowed(TimePoint now) {
  if (any_list_ && !complete_since_) {
    complete_since_ = now;
  }
}

std::optional<std::string> SoftwareHistory::OnlyVersion(
    const std::string& service, TimePoint now) const {
  const bool complete =
      complete_since_ && now - *complete_since_ >= options_.stream_life;
  return complete ? OnlyVersionSeen(service, now) : std::nullopt;
}

std::optional<std::string> SoftwareHistory::OnlyVersionSeen(
    const std::string& service, TimePoint now) const {
  const auto held = services_.find(service);
  if (held == services_.end()) {
    return std::nullopt;
  }
  std::optional<std::string> only;
  for (const auto& [version, left_at] : held->second) {
    if (left_at && now - *left_at > options_.stream_life) {
      continue;
    }
    if (only) {
      return std::nullopt;
    }
    only = version;
  }
  return only;
}

}  // namespace indigolead
