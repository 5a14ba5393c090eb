#ifndef INDIGOLEAD_ENTRY_CRASH_SERVICE_H_
#define INDIGOLEAD_ENTRY_CRASH_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/request/crash_ledger.h"
#include "core/request/prompt_part_ledger.h"
#include "core/request/request_block.h"
#include "core/request/running_request.h"
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
    PromptPartLedger::Options part_ledger;
    ListWatcher::Options watch;  ///< Without the prefix.
    CallOptions write{CallPriority::kConfig, std::chrono::milliseconds(1500)};
    /// Delay that batches non-urgent reports of answered requests, which are no
    /// longer suspects.
    Duration clear_batch_delay = std::chrono::seconds(2);
    /// Upper bound of the random delay of a report of answered prompt parts.
    /// All entries see answers with a common part, and one report is enough.
    Duration max_part_delay = std::chrono::milliseconds(500);
    /// Delay before a failed write is retried.
    Duration write_retry_delay = std::chrono::milliseconds(500);
  };

  struct Hooks {
    /// Called once for each crash that another entry reports after the first
    /// list. Optional.
    std::function<void(const TargetCrash&)> on_reported;
    std::function<double()> jitter;
  };

  /// Writes to `store` and watches `watched`; both must outlive this object.
  CrashService(ObjectStore* store, ObjectStore* watched, Options options,
               Hooks hooks, Clock clock, RunAfter run_after, EventLog log,
               MetricsRegistry* metrics);
  CrashService(const CrashService&) = delete;
  CrashService& operator=(const CrashService&) = delete;
  ~CrashService();

  void Start() { watcher_.Start(); }
  /// Returns true once the reports have been listed.
  bool listed() const { return listed_; }
  /// Returns the reports known to this entry.
  ObjectStore::Listing Known() const { return watcher_.Known(); }

  /// Sets the number of entries.
  void SetEntries(std::size_t entries) { part_ledger_.SetEntries(entries); }
  void OnCrash(const TargetCrash& crash,
               const std::vector<RunningRequest>& running);
  /// Records that a target answered the request completely.
  void OnAnswered(const RunningRequest& request);
  /// Records that a target has been answering the request for longer than one
  /// that it crashes under could.
  void OnOutlived(const RunningRequest& request);
  /// Returns why the request must not run; nullopt if it may.
  std::optional<RequestBlock> BlockOf(const RunningRequest& request);
  void Tick();

 private:
  void OnState(const ListWatcher::State& state);
  void NoteReported(const std::vector<CrashReport>& reports, bool first);
  void ClearRequest(Fingerprint request);
  void ClearParts(const std::vector<PromptPartId>& parts);
  void LogBlocked(const PromptPartBlock& block);
  void LogReleased();
  void UpdateGauges();
  void PublishChanges();
  void Write();
  void OnWritten(bool written);

  Options options_;
  Clock clock_;
  RunAfter run_after_;
  EventLog log_;
  Hooks hooks_;
  CrashLedger ledger_;
  PromptPartLedger part_ledger_;
  SingleWriterObject own_object_;
  std::set<TargetCrash> reported_;  ///< By other entries.
  bool listed_ = false;
  bool unpublished_ = false;             ///< The stored object is out of date.
  std::optional<TimePoint> publish_at_;  ///< Due time of non-urgent changes.
  /// Due time of a report of answered prompt parts.
  std::optional<TimePoint> publish_parts_at_;
  std::set<PromptPartId>
      blocking_parts_;    ///< Under which requests were refused.
  bool writing_ = false;  ///< A write is in flight or its retry is scheduled.
  Gauge& suspects_;
  Gauge& suspect_parts_;
  Counter& crashes_;
  std::shared_ptr<bool> alive_;
  ListWatcher watcher_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CRASH_SERVICE_H_
