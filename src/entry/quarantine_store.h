#ifndef INDIGOLEAD_ENTRY_QUARANTINE_STORE_H_
#define INDIGOLEAD_ENTRY_QUARANTINE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/request/quarantine.h"
#include "observe/event_log.h"
#include "store/list_watcher.h"
#include "store/object_store.h"
#include "store/run_after.h"

namespace indigolead {

/// Persists quarantines in the store, so that they survive every entry and an
/// operator can list and lift them. Runs on the platform thread.
///
/// A quarantine is lifted by deleting its object. To avoid comparing wall clock
/// times between processes, the object holds the time remaining when it was
/// written. The entry that wrote it deletes it when that time is over. An entry
/// that reads it after a start counts the time anew, so a restart can only
/// lengthen a quarantine.
class QuarantineStore {
 public:
  struct Options {
    Duration call_deadline = std::chrono::seconds(2);
    std::size_t max_quarantines = 4096;
  };
  struct Hooks {
    std::function<void(const SuspicionNotice&)> on_quarantine_read;
    std::function<void(Fingerprint)> on_quarantine_lifted;
    std::function<double()> jitter;
  };

  /// `store` must outlive this object.
  QuarantineStore(ObjectStore* store, Options options, Hooks hooks, Clock clock,
                  RunAfter run_after, EventLog log);

  void Start() { watcher_.Start(); }

  /// Writes a quarantine to the store, or deletes one that was lifted.
  void Persist(const SuspicionNotice& notice);
  /// Deletes expired quarantines written here. Should be called about once a
  /// second.
  void Tick();

 private:
  void OnState(const ListWatcher::State& state);
  void Delete(const std::string& key);

  ObjectStore* store_;
  Options options_;
  Hooks hooks_;
  Clock clock_;
  /// Quarantines read from the store, by key.
  std::map<std::string, Fingerprint> quarantines_;
  /// Expiry of the quarantines written by this entry, by key.
  std::map<std::string, TimePoint> own_expiries_;
  ListWatcher watcher_;
};

/// Returns the store key of a quarantine: "quarantines/" and 16 hex digits.
std::string QuarantineKey(Fingerprint fingerprint);

/// Encodes a quarantine as JSON.
std::string EncodeQuarantine(const SuspicionNotice& notice);

/// Decodes a quarantine from `json`, or returns the parse error.
Result<SuspicionNotice> DecodeQuarantine(const std::string& json);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_QUARANTINE_STORE_H_
