#include "core/request/attempt_memory.h"

#include <algorithm>

namespace indigolead {

bool AttemptMemory::AddPeer(const Incarnation& peer) {
  if (forgotten_.contains(peer)) {
    return true;
  }
  if (forgotten_.size() >= options_.max_peers) {
    return false;
  }
  forgotten_.emplace(peer, 0);
  return true;
}

AttemptMemory::Fate AttemptMemory::Find(const Incarnation& peer,
                                        const AttemptId& id,
                                        std::uint64_t start_sequence) const {
  if (const auto it = fates_.find(id); it != fates_.end()) {
    return it->second;
  }
  const auto it = forgotten_.find(peer);
  const bool provable = it != forgotten_.end() && start_sequence > it->second;
  return provable ? Fate::kNew : Fate::kLost;
}

void AttemptMemory::Refuse(const Incarnation& peer, const AttemptId& id,
                           std::uint64_t start_sequence, TimePoint now) {
  Remember({id, peer, start_sequence, now}, Fate::kRefused);
}

void AttemptMemory::Finish(const Incarnation& peer, const AttemptId& id,
                           std::uint64_t start_sequence, TimePoint now) {
  Remember({id, peer, start_sequence, now}, Fate::kFinished);
}

void AttemptMemory::Tick(TimePoint now) {
  while (!by_age_.empty() && now - by_age_.front().at >= options_.retention) {
    ForgetOldest();
  }
}

void AttemptMemory::Remember(const Record& record, Fate fate) {
  if (!fates_.emplace(record.id, fate).second) {
    return;  // The first recorded result is final.
  }
  by_age_.push_back(record);
  if (by_age_.size() > options_.max_ids) {
    ForgetOldest();
  }
}

void AttemptMemory::ForgetOldest() {
  const Record& oldest = by_age_.front();
  if (const auto it = forgotten_.find(oldest.peer); it != forgotten_.end()) {
    it->second = std::max(it->second, oldest.start_sequence);
  }
  fates_.erase(oldest.id);
  by_age_.pop_front();
}

}  // namespace indigolead
