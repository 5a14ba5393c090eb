#ifndef INDIGOLEAD_STANDINS_OBJECT_TABLE_H_
#define INDIGOLEAD_STANDINS_OBJECT_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "store/object_store.h"

namespace indigolead::standins {

/// Versioned objects with conditional writes and a bounded change log.
///
/// Implements the object API without a transport. The server and the in-memory
/// fake share it, so that their behaviour cannot diverge.
class ObjectTable {
 public:
  /// Outcome of a conditional write: applied, with the new version, or refused,
  /// with the current version.
  struct WriteOutcome {
    bool done = false;
    std::uint64_t version = 0;
  };

  /// Keeps the most recent `max_events` changes for watches.
  explicit ObjectTable(std::size_t max_events = 10000);

  std::optional<StoredObject> Get(const std::string& key) const;
  ObjectStore::Listing List(const std::string& prefix) const;
  WriteOutcome Put(const std::string& key, const std::string& value,
                   ExpectedVersion expected);
  WriteOutcome Delete(const std::string& key, ExpectedVersion expected);

  /// Returns the version of the last change, or 0 if there was none.
  std::uint64_t version() const { return version_; }

  /// Returns true if every change after `version` is still in the log.
  bool HasChangesAfter(std::uint64_t version) const;

  /// Returns the changes after `version` to keys that start with `prefix`,
  /// oldest first.
  std::vector<WatchEvent> EventsAfter(std::uint64_t version,
                                      const std::string& prefix) const;

 private:
  WriteOutcome Check(const std::string& key, ExpectedVersion expected) const;
  void Log(WatchEvent event);

  std::size_t max_events_;
  std::uint64_t version_ = 0;
  std::uint64_t last_dropped_version_ = 0;
  std::map<std::string, StoredObject> objects_;
  std::deque<WatchEvent> events_;
};

/// Returns true if `key` is non-empty and has only allowed characters.
bool IsValidKey(const std::string& key);

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_OBJECT_TABLE_H_
