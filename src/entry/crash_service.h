#ifndef INDIGOLEAD_ENTRY_CRASH_SERVICE_H_
#define INDIGOLEAD_ENTRY_CRASH_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/request/crash_ledger.h"
#include "entry/single_writer_object.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "store/list_watcher.h"
#include "store/run_after.h"

namespace indigolead {

/// Synchronizes the crash ledgers of all entries through the store.
///
/// Each entry writes one object with the crashes that it has seen, and watches
/// the objects of the others. Writes therefore never conflict, and the reports
/// survive restarts. While the store is unavailable each entry counts alone.
///
/// For entries that call their targets directly; `QuarantineService` is for
/// entries that reach them through sides. Runs on the thread of its stores.
class CrashService {
 public:
  struct Options {
    /// Name of this entry's object, stable across restarts.
    std::string instance;
    std::string prefix = "crashes/";
    CrashLedger::Options ledger;
    ListWatcher::Options watch;  ///< Without the prefix.
    CallOptions write{CallPriority::kConfig, std::chrono::milliseconds(1500)};
    /// Delay that batches non-urgent reports of answered requests, which are no
    /// longer suspects.
    Duration clear_batch_delay = std::chrono::seconds(2);
    /// Delay before a failed write is retried.
    Duration write_retry_delay = std::chrono::milliseconds(500);
  };

  /// Writes to `store` and watches `watched`; both must outlive this object.
  CrashService(ObjectStore* store, ObjectStore* watched, Options options,
               std::function<double()> jitter, Clock clock, RunAfter run_after,
               EventLog log, MetricsRegistry* metrics);
  CrashService(const CrashService&) = delete;
  CrashService& operator=(const CrashService&) = delete;
  ~CrashService();

  void Start() { watcher_.Start(); }
  /// Returns true once the reports have been listed.
  bool listed() const { return listed_; }
  /// Returns the reports known to this entry.
  ObjectStore::Listing Known() const { return watcher_.Known(); }

  void OnCrash(const TargetCrash& crash,
               const std::vector<Fingerprint>& running);
  /// Records that a target answered the request completely.
  void OnAnswered(Fingerprint request);
  /// Returns how much longer the request is blocked; nullopt if it may run.
  std::optional<Duration> BlockedFor(Fingerprint request) const {
    return ledger_.BlockedFor(request, clock_());
  }
  void Tick();

 private:
  void OnState(const ListWatcher::State& state);
  void PublishChanges();
  void Write();
  void OnWritten(bool written);

  Options options_;
  Clock clock_;
  RunAfter run_after_;
  EventLog log_;
  CrashLedger ledger_;
  SingleWriterObject own_object_;
  bool listed_ = false;
  bool unpublished_ = false;             ///< The stored object is out of date.
  std::optional<TimePoint> publish_at_;  ///< Due time of non-urgent changes.
  bool writing_ = false;  ///< A write is in flight or its retry is scheduled.
  Gauge& suspects_;
  Counter& crashes_;
  std::shared_ptr<bool> alive_;
  ListWatcher watcher_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CRASH_SERVICE_H_
