#ifndef INDIGOLEAD_ENTRY_CRASH_DETECTOR_H_
#define INDIGOLEAD_ENTRY_CRASH_DETECTOR_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/base/result.h"
#include "core/base/time.h"
#include "core/request/crash_ledger.h"
#include "observe/event_log.h"

namespace indigolead {

/// Tells the crash of a target from the break of one connection to it.
///
/// Both look the same to a request. After a crash nobody listens at the
/// target's address, so the target is called once: only a refused connection
/// makes a crash of the breaks. Whatever else comes of the call says that the
/// target lives, or nothing.
///
/// Runs on one thread.
class CrashDetector {
 public:
  struct Options {
    /// Breaks within this time after a crash belong to it.
    Duration same_crash = std::chrono::seconds(1);
    /// Calls of one target: a kept connection may break like the requests'.
    int max_calls = 3;
  };
  struct Hooks {
    /// Makes a call that runs nothing. Must not answer from inside the call;
    /// never answers if the target cannot be called now.
    std::function<void(const std::string& target,
                       std::function<void(const Status&)> done)>
        call;
    std::function<void(const TargetCrash&, const std::vector<Fingerprint>&)>
        on_crash;
  };

  CrashDetector(const Options& options, Hooks hooks, Clock clock, EventLog log);

  /// The connection of a request broke after it had been written.
  void OnBroken(const TargetCrash& run, Fingerprint request);
  /// Forgets what is over. Call several times a second.
  void Tick();

 private:
  struct Suspected {
    std::vector<Fingerprint> running;
    int calls = 0;
    bool crashed = false;
    TimePoint until;  ///< Forgotten then.
  };

  void Call(const TargetCrash& run);
  void OnCalled(const TargetCrash& run, const Status& status);

  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  std::map<TargetCrash, Suspected> suspected_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CRASH_DETECTOR_H_
