#include "standins/instance_table.h"

#include <utility>

namespace indigolead::standins {

void InstanceTable::Put(InstanceRecord record, SteadyTime shown_at) {
  pending_.push_back({shown_at, std::move(record), false});
}

void InstanceTable::Remove(const std::string& name, SteadyTime shown_at) {
  InstanceRecord record;
  record.name = name;
  pending_.push_back({shown_at, std::move(record), true});
}

InstanceList InstanceTable::Shown(SteadyTime now) {
  while (!pending_.empty() && pending_.front().shown_at <= now) {
    Change change = std::move(pending_.front());
    pending_.pop_front();
    ++version_;
    if (change.removed) {
      shown_.erase(change.record.name);
    } else {
      shown_[change.record.name] = std::move(change.record);
    }
  }
  InstanceList list;
  list.version = version_;
  for (const auto& [name, record] : shown_) {
    list.instances.push_back(record);
  }
  return list;
}

}  // namespace indigolead::standins
