#include "store/listing_changes.h"

#include <map>
#include <string>
#include <string_view>

namespace indigolead {

std::vector<WatchEvent> ChangesBetween(const ObjectStore::Listing& before,
                                       const ObjectStore::Listing& after) {
  std::map<std::string_view, std::string_view> gone;
  for (const StoredObject& it : before.objects) {
    gone.emplace(it.key, it.value);
  }
  std::vector<WatchEvent> changes;
  for (const StoredObject& it : after.objects) {
    const auto known = gone.find(it.key);
    if (known == gone.end() || known->second != it.value) {
      changes.push_back({it.key, it.value, after.version});
    }
    if (known != gone.end()) {
      gone.erase(known);
    }
  }
  for (const auto& [key, value] : gone) {
    changes.push_back({std::string(key), std::nullopt, after.version});
  }
  return changes;
}

}  // namespace indigolead
