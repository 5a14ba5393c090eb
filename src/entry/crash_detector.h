#ifndef INDIGOLEAD_ENTRY_CRASH_DETECTOR_H_
#define INDIGOLEAD_ENTRY_CRASH_DETECTOR_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/result.h"
#include "core/base/time.h"
#include "core/request/crash_ledger.h"
#include "core/request/running_request.h"
#include "observe/event_log.h"

namespace indigolead {

/// Finds crashes of targets and the requests of this entry that were running.
///
/// To a request, a crash may look like the loss of its connection, like the end
/// of its answer, or like nothing at all if its caller has left. Requests that
/// ended in such a way are suspects, and are kept until there is evidence:
/// - A refused probe, a probe answered by another run, or a replaced
///   registration shows that the target crashed.
/// - A probe answered by the same run shows that it survived.
/// A probe that breaks or gets no answer proves nothing and is repeated, since
/// something else may accept connections at the address of a crashed target.
///
/// Runs on one thread.
class CrashDetector {
 public:
  struct Options {
    /// Requests that end within this time after a crash belong to it.
    Duration crash_window = std::chrono::seconds(1);
    /// How long a suspect is kept without evidence: longer than the platform
    /// lists a silent target.
    Duration evidence_window = std::chrono::seconds(5);
    /// Number of probes in a row that may break before the next one waits. The
    /// connection of a probe may break like those of the requests.
    int max_probes = 3;
    /// Time between further probes.
    Duration probe_interval = std::chrono::milliseconds(500);
    /// Delay of the probe after a doubtful end, which batches them.
    Duration doubt_probe_delay = std::chrono::milliseconds(300);
    /// Bound on the suspects of one run; the oldest are dropped.
    std::size_t max_suspects = 512;
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
    /// The doubtful end of this request's answer was not a crash. Optional.
    std::function<void(const RunningRequest&)> on_answered;
  };

  CrashDetector(const Options& options, Hooks hooks, Clock clock, EventLog log);

  /// The connection of a request broke after it had been written.
  void OnBroken(const TargetCrash& run, const RunningRequest& request);
  /// An answer ended in a way that does not prove that it is complete.
  void OnDoubtfulEnd(const TargetCrash& run, const RunningRequest& request);
  /// This entry stopped waiting for an answer; the target may still be working.
  void OnAbandoned(const TargetCrash& run, const RunningRequest& request);
  /// The run has ended without announcing it, as `evidence` shows. `open` are
  /// the requests that it has not answered.
  void OnRunEnded(const TargetCrash& run,
                  const std::vector<RunningRequest>& open,
                  std::string_view evidence);
  /// The target is no longer listed, but has not announced that it leaves: it
  /// may still serve, unless a connection to it broke.
  void OnUnlisted(const TargetCrash& run);
  /// The target has announced that it leaves, so its end will be no crash.
  void OnLeavingAnnounced(const TargetCrash& run);
  /// Sends due probes and removes expired entries. Call several times a second.
  void Tick();

 private:
  enum class Ending { kBroken, kDoubtful, kAbandoned };
  struct Suspect {
    RunningRequest request;
    Ending ending;
    TimePoint at;
  };
  struct SuspectedRun {
    std::deque<Suspect> suspects;  ///< Oldest first.
    int calls = 0;                 ///< Probes since the last one answered.
    std::optional<TimePoint> called_at;  ///< Start of the open probe.
    std::optional<TimePoint> next_call;
    bool crashed = false;
    TimePoint until{};  ///< End of the crash window.
  };

  SuspectedRun* Add(const TargetCrash& run, const RunningRequest& request,
                    Ending ending);
  void Call(const TargetCrash& run);
  void OnCalled(const TargetCrash& run, TimePoint started_at,
                const Status& status);
  /// Clears the suspects that ended before the answered probe was sent.
  void OnSurvived(const TargetCrash& run, TimePoint started_at);
  void Confirm(const TargetCrash& run, std::string_view evidence);
  void Expire(const TargetCrash& run, SuspectedRun* suspected, TimePoint now);
  bool IsProbeDue(const SuspectedRun& suspected, TimePoint now) const;
  static bool NeedsProbe(const SuspectedRun& suspected);
  /// Stops suspecting a request without evidence of a crash.
  void Release(const Suspect& suspect);
  void LogOutcome(const EventInfo& event, const TargetCrash& run,
                  std::size_t running, std::string_view call) const;

  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  std::map<TargetCrash, SuspectedRun> runs_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CRASH_DETECTOR_H_
