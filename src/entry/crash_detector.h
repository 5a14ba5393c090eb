#ifndef INDIGOLEAD_ENTRY_CRASH_DETECTOR_H_
#define INDIGOLEAD_ENTRY_CRASH_DETECTOR_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/base/result.h"
#include "core/base/time.h"
#include "core/request/crash_ledger.h"
#include "core/request/running_request.h"
#include "observe/event_log.h"

namespace indigolead {

/// Distinguishes the crash of a target from the loss of a single connection.
///
/// Both look the same to a request. After a crash nothing listens at the
/// target's address, or another run of it already does, so the detector probes
/// the target: only a refused connection and the answer of another run are
/// taken as a crash. Any other outcome means that the target is alive, or
/// proves nothing.
///
/// Runs on one thread.
class CrashDetector {
 public:
  struct Options {
    /// Connections that break within this time after a crash belong to it.
    Duration crash_window = std::chrono::seconds(1);
    /// Maximum number of probes. The connection of a probe may break like those
    /// of the requests.
    int max_probes = 3;
  };
  struct Hooks {
    /// Probes the target without running a request. Must not call `done` before
    /// it returns; never calls `done` if the target cannot be called now.
    /// The error `kConflict` means that another run of it answered.
    std::function<void(const std::string& target,
                       std::function<void(const Status&)> done)>
        call;
    std::function<void(const TargetCrash&, const std::vector<RunningRequest>&)>
        on_crash;
  };

  CrashDetector(const Options& options, Hooks hooks, Clock clock, EventLog log);

  /// The connection of a request broke after it had been written.
  void OnBroken(const TargetCrash& run, const RunningRequest& request);
  /// Removes expired entries. Call several times a second.
  void Tick();

 private:
  struct SuspectedCrash {
    std::vector<RunningRequest> running;
    int calls = 0;
    bool crashed = false;
    TimePoint until;  ///< Time of removal.
  };

  void Call(const TargetCrash& run);
  void OnCalled(const TargetCrash& run, const Status& status);
  void LogOutcome(const EventInfo& event, const TargetCrash& run,
                  const SuspectedCrash& suspected,
                  const std::string& call) const;

  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  std::map<TargetCrash, SuspectedCrash> suspected_crashes_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CRASH_DETECTOR_H_
