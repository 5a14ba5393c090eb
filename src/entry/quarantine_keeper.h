#ifndef INDIGOLEAD_ENTRY_QUARANTINE_KEEPER_H_
#define INDIGOLEAD_ENTRY_QUARANTINE_KEEPER_H_

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

/// Keeps quarantines in the store, so that they outlive every entry and an
/// operator can list and lift them. Lives on the platform thread.
///
/// A quarantine is lifted by deleting its object. No process compares calendar
/// times: the object holds the time that was left when it was written, and the
/// entry that wrote it deletes it in the end; one that reads it after a start
/// counts that time anew, so an entry's restart can only lengthen it.
class QuarantineKeeper {
 public:
  struct Options {
    Duration call_deadline = std::chrono::seconds(2);
    std::size_t max_kept = 4096;
  };
  struct Hooks {
    std::function<void(const SuspicionNotice&)> on_kept;
    std::function<void(Fingerprint)> on_lifted;
    std::function<double()> jitter;
  };

  /// `store` must outlive this object.
  QuarantineKeeper(ObjectStore* store, Options options, Hooks hooks,
                   Clock clock, RunAfter run_after, EventLog log);

  void Start() { watcher_.Start(); }

  /// Writes a quarantine, or deletes one that was lifted.
  void Keep(const SuspicionNotice& notice);
  /// Deletes what is over; call about once a second.
  void Tick();

 private:
  void OnState(const ListWatcher::State& state);
  void Delete(const std::string& key);

  ObjectStore* store_;
  Options options_;
  Hooks hooks_;
  Clock clock_;
  std::map<std::string, Fingerprint> seen_;  ///< Objects read, by key.
  std::map<std::string, TimePoint> own_;     ///< Ends of those written here.
  ListWatcher watcher_;
};

/// Returns the key of a quarantine: "quarantines/" and 16 hex digits.
std::string QuarantineKey(Fingerprint fingerprint);

/// Returns a quarantine as JSON.
std::string EncodeQuarantine(const SuspicionNotice& notice);

/// Returns the quarantine in `json`, or the error in it.
Result<SuspicionNotice> DecodeQuarantine(const std::string& json);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_QUARANTINE_KEEPER_H_
