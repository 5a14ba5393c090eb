#ifndef INDIGOLEAD_ENTRY_CRASH_SERVICE_H_
#define INDIGOLEAD_ENTRY_CRASH_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/request/crash_ledger.h"
#include "entry/own_object.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "store/list_watcher.h"
#include "store/run_after.h"

namespace indigolead {

/// Keeps the crash ledgers of all entries in step through the store.
///
/// Each entry writes one object, the crashes that it has seen, and watches
/// those of all others. So no write has a rival, and what is known outlives
/// every process. While the store is away each entry counts alone.
///
/// Runs on the thread of its stores.
class CrashService {
 public:
  struct Options {
    std::string
        instance;  ///< Names this entry's object; the same at a restart.
    std::string prefix = "crashes/";
    CrashLedger::Options ledger;
    ListWatcher::Options watch;  ///< Without the prefix.
    CallOptions write{CallPriority::kConfig, std::chrono::milliseconds(1500)};
    /// Answers that clear requests are told together, if nothing is urgent.
    Duration clear_together = std::chrono::seconds(2);
    /// After a write that failed.
    Duration write_again = std::chrono::milliseconds(500);
  };

  /// Writes to `store` and watches `watched`; both must outlive this object.
  CrashService(ObjectStore* store, ObjectStore* watched, Options options,
               std::function<double()> jitter, Clock clock, RunAfter run_after,
               EventLog log, MetricsRegistry* metrics);
  CrashService(const CrashService&) = delete;
  CrashService& operator=(const CrashService&) = delete;
  ~CrashService();

  void Start() { watcher_.Start(); }
  /// Returns true once the reports have been read.
  bool listed() const { return listed_; }
  /// Returns what this entry knows of the reports.
  ObjectStore::Listing Known() const { return watcher_.Known(); }

  void OnCrash(const TargetCrash& crash,
               const std::vector<Fingerprint>& running);
  /// The request has a whole answer of a target.
  void OnAnswered(Fingerprint request);
  /// Returns for how long the request is not to run; nothing if it may.
  std::optional<Duration> StoppedFor(Fingerprint request) const {
    return ledger_.StoppedFor(request, clock_());
  }
  void Tick();

 private:
  void OnState(const ListWatcher::State& state);
  void Tell();
  void Write();
  void OnWritten(bool written);

  Options options_;
  Clock clock_;
  RunAfter run_after_;
  EventLog log_;
  CrashLedger ledger_;
  OwnObject own_object_;
  bool listed_ = false;
  bool untold_ = false;               ///< The own object lacks something.
  std::optional<TimePoint> tell_at_;  ///< Of what is not urgent.
  bool writing_ = false;  ///< A write is in flight, or one waits for its time.
  Gauge& suspects_;
  Counter& crashes_;
  std::shared_ptr<bool> alive_;
  ListWatcher watcher_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CRASH_SERVICE_H_
