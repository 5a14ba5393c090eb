#include "core/membership/target_directory.h"

#include <set>
#include <utility>

namespace indigolead {
namespace {

/// Returns true if `now` belongs to another run than `before`. A registration
/// without a run does not prove a restart.
bool IsOtherRun(const TargetRecord& before, const TargetRecord& now) {
  return before.run && now.run && *before.run != *now.run;
}

}  // namespace

std::vector<TargetChange> TargetDirectory::OnListed(
    const std::vector<TargetRecord>& listed, TimePoint now) {
  std::vector<TargetChange> changes;
  std::set<std::string> seen;
  for (const TargetRecord& it : listed) {
    seen.insert(it.id);
    ApplyRecord(it, &changes);
  }
  for (auto& [id, entry] : targets_) {
    if (seen.count(id) == 0 && !entry.missing_since) {
      entry.missing_since = now;
    }
  }
  const std::vector<TargetChange> timed = Tick(now);
  changes.insert(changes.end(), timed.begin(), timed.end());
  return changes;
}

void TargetDirectory::ApplyRecord(const TargetRecord& record,
                                  std::vector<TargetChange>* changes) {
  const auto found = targets_.find(record.id);
  if (found == targets_.end()) {
    if (targets_.size() < options_.max_targets) {
      Entry& added = targets_[record.id];
      added.record = record;
      added.reported_leaving = record.leaving;
      changes->push_back({TargetChange::Kind::kAdded, record});
    }
    return;
  }
  Entry& entry = found->second;
  entry.missing_since.reset();
  const bool updated = entry.record != record;
  const bool restarted = IsOtherRun(entry.record, record);
  entry.record = record;
  if (restarted) {
    entry.announced_leaving = false;
    changes->push_back({TargetChange::Kind::kRestarted, record});
  } else if (updated) {
    changes->push_back({TargetChange::Kind::kUpdated, record});
  }
  if (record.leaving || entry.announced_leaving) {
    MarkLeaving(&entry, changes);
  } else if (entry.reported_leaving) {
    entry.reported_leaving = false;
    changes->push_back({TargetChange::Kind::kReturned, record});
  }
}

void TargetDirectory::MarkLeaving(Entry* entry,
                                  std::vector<TargetChange>* changes) {
  if (!std::exchange(entry->reported_leaving, true)) {
    changes->push_back({TargetChange::Kind::kLeaving, entry->record});
  }
}

std::vector<TargetChange> TargetDirectory::OnLeavingNotice(
    const std::string& id) {
  std::vector<TargetChange> changes;
  if (const auto it = targets_.find(id); it != targets_.end()) {
    it->second.announced_leaving = true;
    MarkLeaving(&it->second, &changes);
  }
  return changes;
}

void TargetDirectory::OnStoreLost(TimePoint heard_at) {
  if (!std::exchange(store_lost_, true)) {
    lost_at_ = heard_at;
  }
}

void TargetDirectory::OnStoreFollowed(TimePoint now) {
  if (!std::exchange(store_lost_, false)) {
    return;
  }
  if (!followed_since_) {
    followed_since_ = now;
  } else if (now - lost_at_ >= options_.min_outage) {
    followed_since_ = now;
    had_outage_ = true;
  }
}

bool TargetDirectory::IsAbsenceConclusive(TimePoint now) const {
  if (store_lost_ || !followed_since_) {
    return false;
  }
  const TimePoint known_until = known_until_.value_or(now);
  return !had_outage_ ||
         known_until - *followed_since_ >= options_.return_grace;
}

std::optional<TimePoint> TargetDirectory::AbsenceDue() const {
  const bool depends_on_return =
      undecided() && !store_lost_ && followed_since_ && had_outage_;
  return depends_on_return
             ? std::optional(*followed_since_ + options_.return_grace)
             : std::nullopt;
}

std::vector<TargetChange> TargetDirectory::Tick(TimePoint now) {
  std::vector<TargetChange> changes;
  const bool conclusive = IsAbsenceConclusive(now);
  undecided_.clear();
  for (auto it = targets_.begin(); it != targets_.end();) {
    Entry& entry = it->second;
    if (entry.missing_since && conclusive) {
      MarkLeaving(&entry, &changes);
    }
    if (entry.missing_since && !entry.reported_leaving) {
      undecided_.insert(it->first);
    }
    if (entry.missing_since && entry.reported_leaving &&
        now - *entry.missing_since >= options_.forget_after) {
      changes.push_back({TargetChange::Kind::kRemoved, entry.record});
      it = targets_.erase(it);
    } else {
      ++it;
    }
  }
  return changes;
}

bool TargetDirectory::IsMissing(const std::string& id) const {
  const auto it = targets_.find(id);
  return it != targets_.end() && it->second.missing_since.has_value();
}

const TargetRecord* TargetDirectory::Find(const std::string& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? nullptr : &it->second.record;
}

}  // namespace indigolead
