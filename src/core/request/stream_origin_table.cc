#include "core/request/stream_origin_table.h"

namespace indigolead {

bool StreamOriginTable::Add(const std::string& id, const StreamOrigin& origin,
                            TimePoint now) {
  RemoveExpired(now);
  if (!origins_.try_emplace(id, origin).second) {
    return false;
  }
  expiries_.push_back({id, now + options_.retention});
  if (expiries_.size() > options_.max_streams) {
    RemoveOldest();
  }
  return true;
}

void StreamOriginTable::Visit(
    TimePoint now, const std::function<void(const std::string& id)>& visit) {
  RemoveExpired(now);
  for (const Expiry& it : expiries_) {
    visit(it.id);
  }
}

const StreamOrigin* StreamOriginTable::Find(const std::string& id,
                                            TimePoint now) {
  RemoveExpired(now);
  const auto it = origins_.find(id);
  return it == origins_.end() ? nullptr : &it->second;
}

void StreamOriginTable::RemoveOldest() {
  origins_.erase(expiries_.front().id);
  expiries_.pop_front();
}

void StreamOriginTable::RemoveExpired(TimePoint now) {
  while (!expiries_.empty() && expiries_.front().at <= now) {
    RemoveOldest();
  }
}

}  // namespace indigolead
