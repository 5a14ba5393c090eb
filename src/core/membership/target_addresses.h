#ifndef INDIGOLEAD_CORE_MEMBERSHIP_TARGET_ADDRESSES_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_TARGET_ADDRESSES_H_

#include <set>
#include <string>
#include <unordered_map>

namespace indigolead {

/// Maps targets to their listed addresses and back.
///
/// The address of a target that is gone is reused, while the target may stay
/// listed for some time. Two listed targets then share an address, and requests
/// for one of them reach the other.
///
/// Not thread-safe. Holds one record per target and one per address.
class TargetAddresses {
 public:
  using Ids = std::set<std::string>;

  /// Sets the only address of the target to `address`.
  void Set(const std::string& id, const std::string& address);

  /// Removes a target that is no longer listed.
  void Remove(const std::string& id);

  /// Returns the address of the target, or null if it is unknown.
  const std::string* Find(const std::string& id) const;

  /// Returns the targets at `address`.
  const Ids& TargetsAt(const std::string& address) const;

 private:
  std::unordered_map<std::string, std::string> address_of_;
  std::unordered_map<std::string, Ids> ids_by_address_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_TARGET_ADDRESSES_H_
