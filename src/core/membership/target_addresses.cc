#include "core/membership/target_addresses.h"

namespace indigolead {

void TargetAddresses::Set(const std::string& id, const std::string& address) {
  const std::string* held = Find(id);
  if (held && *held == address) {
    return;
  }
  Remove(id);
  address_of_[id] = address;
  holders_[address].insert(id);
}

void TargetAddresses::Remove(const std::string& id) {
  const auto it = address_of_.find(id);
  if (it == address_of_.end()) {
    return;
  }
  const auto holders = holders_.find(it->second);
  holders->second.erase(id);
  if (holders->second.empty()) {
    holders_.erase(holders);
  }
  address_of_.erase(it);
}

const std::string* TargetAddresses::Find(const std::string& id) const {
  const auto it = address_of_.find(id);
  return it == address_of_.end() ? nullptr : &it->second;
}

const TargetAddresses::Ids& TargetAddresses::HoldersOf(
    const std::string& address) const {
  static const Ids kNone;
  const auto it = holders_.find(address);
  return it == holders_.end() ? kNone : it->second;
}

}  // namespace indigolead
