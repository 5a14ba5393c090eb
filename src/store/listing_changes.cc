#include "store/listing_changes.h"

#include <map>
#include <string>
#include <string_view>

namespace indigolead {

std::vector<WatchEvent> DiffListings(const ObjectStore::Listing& before,
                                     const ObjectStore::Listing& after) {
  std::map<std::string_view, std::string_view> unmatched;
  for (const StoredObject& it : before.objects) {
    unmatched.emplace(it.key, it.value);
  }
  std::vector<WatchEvent> changes;
  for (const StoredObject& it : after.objects) {
    const auto known = unmatched.find(it.key);
    if (known == unmatched.end() || known->second != it.value) {
      changes.push_back({it.key, it.value, after.version});
    }
    if (known != unmatched.end()) {
      unmatched.erase(known);
    }
  }
  for (const auto& [key, value] : unmatched) {
    changes.push_back({std::string(key), std::nullopt, after.version});
  }
  return changes;
}

}  // namespace indigolead
