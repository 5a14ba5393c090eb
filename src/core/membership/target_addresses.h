#ifndef INDIGOLEAD_CORE_MEMBERSHIP_TARGET_ADDRESSES_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_TARGET_ADDRESSES_H_

#include <set>
#include <string>
#include <unordered_map>

namespace indigolead {

/// Tells which targets are listed at which address.
///
/// An address is used again once its target is gone, and a target that is gone
/// may stay listed for a while: two targets of the list then share an address,
/// and what is sent for the one reaches the other.
///
/// Not thread-safe. Memory: one record for each target and for each address.
class TargetAddresses {
 public:
  using Ids = std::set<std::string>;

  /// The target is listed at `address`, and nowhere else.
  void Set(const std::string& id, const std::string& address);

  /// The target is off the list.
  void Remove(const std::string& id);

  /// Returns the address of the target, or null.
  const std::string* Find(const std::string& id) const;

  /// Returns the targets at `address`.
  const Ids& HoldersOf(const std::string& address) const;

 private:
  std::unordered_map<std::string, std::string> address_of_;
  std::unordered_map<std::string, Ids> holders_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_TARGET_ADDRESSES_H_
