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

/// Objects with versions, conditional updates and a bounded log of changes.
///
/// The rules of the object API without its transport, so that the server and
/// the in-memory fake cannot drift apart.
class ObjectTable {
 public:
  /// Outcome of a conditional write: done with its new version, or refused
  /// with the version found.
  struct WriteOutcome {
    bool done = false;
    std::uint64_t version = 0;
  };

  /// Keeps the last `max_events` changes for watches.
  explicit ObjectTable(std::size_t max_events = 10000);

  std::optional<StoredObject> Get(const std::string& key) const;
  ObjectStore::Listing List(const std::string& prefix) const;
  WriteOutcome Put(const std::string& key, const std::string& value,
                   ExpectedVersion expected);
  WriteOutcome Delete(const std::string& key, ExpectedVersion expected);

  /// Returns the version of the last change; 0 before the first.
  std::uint64_t version() const { return version_; }

  /// Returns true if every change after `version` is still in the log.
  bool Holds(std::uint64_t version) const;

  /// Returns the changes after `version` below `prefix`, oldest first.
  std::vector<WatchEvent> EventsAfter(std::uint64_t version,
                                      const std::string& prefix) const;

 private:
  WriteOutcome Check(const std::string& key, ExpectedVersion expected) const;
  void Log(WatchEvent event);

  std::size_t max_events_;
  std::uint64_t version_ = 0;
  std::uint64_t dropped_to_ = 0;
  std::map<std::string, StoredObject> objects_;
  std::deque<WatchEvent> events_;
};

/// Returns true if `key` is not empty and made of the letters allowed.
bool IsValidKey(const std::string& key);

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_OBJECT_TABLE_H_
