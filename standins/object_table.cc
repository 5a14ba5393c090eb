#include "standins/object_table.h"

#include <algorithm>
#include <cctype>

namespace indigolead::standins {

ObjectTable::ObjectTable(std::size_t max_events) : max_events_(max_events) {}

std::optional<StoredObject> ObjectTable::Get(const std::string& key) const {
  const auto it = objects_.find(key);
  if (it == objects_.end()) {
    return std::nullopt;
  }
  return it->second;
}

ObjectStore::Listing ObjectTable::List(const std::string& prefix) const {
  ObjectStore::Listing listing;
  listing.version = version_;
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    listing.objects.push_back(it->second);
  }
  return listing;
}

ObjectTable::WriteOutcome ObjectTable::Check(const std::string& key,
                                             ExpectedVersion expected) const {
  const auto it = objects_.find(key);
  const std::uint64_t found = it == objects_.end() ? 0 : it->second.version;
  return {found == expected, found};
}

ObjectTable::WriteOutcome ObjectTable::Put(const std::string& key,
                                           const std::string& value,
                                           ExpectedVersion expected) {
  const WriteOutcome check = Check(key, expected);
  if (!check.done) {
    return check;
  }
  ++version_;
  objects_[key] = StoredObject{key, value, version_};
  Log(WatchEvent{key, value, version_});
  return {true, version_};
}

ObjectTable::WriteOutcome ObjectTable::Delete(const std::string& key,
                                              ExpectedVersion expected) {
  const WriteOutcome check = Check(key, expected);
  if (!check.done || check.version == 0) {
    return {check.done, check.version};
  }
  ++version_;
  objects_.erase(key);
  Log(WatchEvent{key, std::nullopt, version_});
  return {true, version_};
}

bool ObjectTable::HasChangesAfter(std::uint64_t version) const {
  return version >= last_dropped_version_ && version <= version_;
}

std::vector<WatchEvent> ObjectTable::EventsAfter(
    std::uint64_t version, const std::string& prefix) const {
  std::vector<WatchEvent> out;
  auto it = std::upper_bound(events_.begin(), events_.end(), version,
                             [](std::uint64_t v, const WatchEvent& event) {
                               return v < event.version;
                             });
  for (; it != events_.end(); ++it) {
    if (it->key.starts_with(prefix)) {
      out.push_back(*it);
    }
  }
  return out;
}

void ObjectTable::Log(WatchEvent event) {
  events_.push_back(std::move(event));
  if (events_.size() > max_events_) {
    last_dropped_version_ = events_.front().version;
    events_.pop_front();
  }
}

bool IsValidKey(const std::string& key) {
  return !key.empty() && std::all_of(key.begin(), key.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
           c == '_' || c == '.' || c == '/';
  });
}

}  // namespace indigolead::standins
