#include "core/membership/target_addresses.h"

namespace indigolead {

void TargetAddresses::Set(const std::string& id, const std::string& address) {
  const std::string* current = Find(id);
  if (current && *current == address) {
    return;
  }
  Remove(id);
  address_of_[id] = address;
  ids_by_address_[address].insert(id);
}

void TargetAddresses::Remove(const std::string& id) {
  const auto it = address_of_.find(id);
  if (it == address_of_.end()) {
    return;
  }
  const auto ids = ids_by_address_.find(it->second);
  ids->second.erase(id);
  if (ids->second.empty()) {
    ids_by_address_.erase(ids);
  }
  address_of_.erase(it);
}

const std::string* TargetAddresses::Find(const std::string& id) const {
  const auto it = address_of_.find(id);
  return it == address_of_.end() ? nullptr : &it->second;
}

const TargetAddresses::Ids& TargetAddresses::TargetsAt(
    const std::string& address) const {
  static const Ids kNone;
  const auto it = ids_by_address_.find(address);
  return it == ids_by_address_.end() ? kNone : it->second;
}

}  // namespace indigolead
