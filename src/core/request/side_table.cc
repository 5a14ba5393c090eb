#include "core/request/side_table.h"

#include <algorithm>
#include <utility>

namespace indigolead {

SideTable::ConnectResult SideTable::Connect(SideLink link, SideInfo info) {
  ConnectResult result;
  auto it = sides_.find(info.instance);
  if (it == sides_.end()) {
    if (sides_.size() >= max_sides_) {
      return result;
    }
    it = sides_.try_emplace(info.instance).first;
  }
  Side& side = it->second;
  if (side.link) {
    links_.erase(*side.link);
  }
  if (side.info.incarnation != info.incarnation) {
    result.lost.assign(side.attempts.begin(), side.attempts.end());
    side.pending_cancels.clear();
  }
  side.info = std::move(info);
  side.link = link;
  side.leave_requested = leaving_.count(side.info.instance) > 0;
  side.drained = drains_.count(side.info.instance) > 0;
  links_[link] = side.info.instance;
  result.side = &side;
  return result;
}

SideTable::Side* SideTable::Disconnect(SideLink link, TimePoint now) {
  Side* side = FindByLink(link);
  if (side == nullptr) {
    return nullptr;
  }
  links_.erase(link);
  side->link.reset();
  side->absent_since = now;
  return side;
}

SideTable::Side* SideTable::FindByLink(SideLink link) {
  const auto it = links_.find(link);
  return it == links_.end() ? nullptr : Find(it->second);
}

const SideTable::Side* SideTable::FindByLink(SideLink link) const {
  const auto it = links_.find(link);
  return it == links_.end() ? nullptr : Find(it->second);
}

SideTable::Side* SideTable::Find(const std::string& instance) {
  const auto it = sides_.find(instance);
  return it == sides_.end() ? nullptr : &it->second;
}

const SideTable::Side* SideTable::Find(const std::string& instance) const {
  const auto it = sides_.find(instance);
  return it == sides_.end() ? nullptr : &it->second;
}

void SideTable::SetLeaving(const std::string& instance, bool leaving) {
  if (!leaving) {
    leaving_.erase(instance);
  } else if (leaving_.size() < max_sides_) {
    leaving_.insert(instance);
  }
  if (Side* side = Find(instance)) {
    side->leave_requested = leaving;
  }
}

void SideTable::SetDrains(const std::vector<std::string>& instances) {
  const std::size_t n = std::min(instances.size(), max_sides_);
  drains_ = {instances.begin(),
             instances.begin() + static_cast<std::ptrdiff_t>(n)};
  for (auto& [name, side] : sides_) {
    side.drained = drains_.count(name) > 0;
  }
}

bool SideTable::AcceptsAttempts(const Side& side) {
  return side.link && side.info.target_up && !side.info.leaving &&
         !side.leave_requested && !side.drained;
}

std::vector<Candidate> SideTable::CandidatesFor(
    const std::string& deployment,
    const std::vector<std::string>& tried) const {
  std::vector<Candidate> candidates;
  for (const auto& [name, side] : sides_) {
    if (side.info.deployment != deployment || !AcceptsAttempts(side)) {
      continue;
    }
    const bool was_tried =
        std::find(tried.begin(), tried.end(), name) != tried.end();
    candidates.push_back({&side.info,
                          static_cast<std::uint32_t>(side.attempts.size()),
                          was_tried});
  }
  return candidates;
}

void SideTable::DropAbsent(Duration limit, TimePoint now) {
  for (auto it = sides_.begin(); it != sides_.end();) {
    const Side& side = it->second;
    const bool drop =
        !side.link && side.attempts.empty() && now - side.absent_since > limit;
    it = drop ? sides_.erase(it) : std::next(it);
  }
}

}  // namespace indigolead
