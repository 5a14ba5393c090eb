#include "core/request/attempt_memory.h"

#include <algorithm>

namespace indigolead {

bool AttemptMemory::AddPeer(const Incarnation& peer) {
  if (highest_forgotten_.contains(peer)) {
    return true;
  }
  if (highest_forgotten_.size() >= options_.max_peers) {
    return false;
  }
  highest_forgotten_.emplace(peer, 0);
  return true;
}

AttemptMemory::Status AttemptMemory::Find(const Incarnation& peer,
                                          const AttemptId& id,
                                          std::uint64_t start_sequence) const {
  if (const auto it = statuses_.find(id); it != statuses_.end()) {
    return it->second;
  }
  const auto it = highest_forgotten_.find(peer);
  const bool is_new =
      it != highest_forgotten_.end() && start_sequence > it->second;
  return is_new ? Status::kNew : Status::kLost;
}

void AttemptMemory::Refuse(const Incarnation& peer, const AttemptId& id,
                           std::uint64_t start_sequence, TimePoint now) {
  AddRecord({id, peer, start_sequence, now}, Status::kRefused);
}

void AttemptMemory::Finish(const Incarnation& peer, const AttemptId& id,
                           std::uint64_t start_sequence, TimePoint now) {
  AddRecord({id, peer, start_sequence, now}, Status::kFinished);
}

void AttemptMemory::Tick(TimePoint now) {
  while (!records_.empty() &&
         now - records_.front().recorded_at >= options_.retention) {
    ForgetOldest();
  }
}

void AttemptMemory::AddRecord(const Record& record, Status status) {
  if (!statuses_.emplace(record.id, status).second) {
    return;  // The first recorded result is final.
  }
  records_.push_back(record);
  if (records_.size() > options_.max_ids) {
    ForgetOldest();
  }
}

void AttemptMemory::ForgetOldest() {
  const Record& oldest = records_.front();
  if (const auto it = highest_forgotten_.find(oldest.peer);
      it != highest_forgotten_.end()) {
    it->second = std::max(it->second, oldest.start_sequence);
  }
  statuses_.erase(oldest.id);
  records_.pop_front();
}

}  // namespace indigolead
