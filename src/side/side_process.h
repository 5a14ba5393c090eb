#ifndef INDIGOLEAD_SIDE_SIDE_PROCESS_H_
#define INDIGOLEAD_SIDE_SIDE_PROCESS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/config/settings.h"
#include "observe/event_log.h"
#include "store/object_store.h"

namespace indigolead {

/// The process beside one target, and the only one that talks to it.
///
/// Two threads: dispatch (links, attempts, orders) and target (HTTP), joined by
/// bounded rings. It connects to the entries named in its settings, then to
/// those that it chooses from the instance list, which entries pass on to it.
class SideProcess {
 public:
  struct Hooks {
    /// Told once the process accepts connections, with its link address.
    std::function<void(const std::string&)> on_ready;
  };

  SideProcess(Settings settings, EventLog log);
  SideProcess(Settings settings, EventLog log, Hooks hooks);
  ~SideProcess();
  SideProcess(const SideProcess&) = delete;
  SideProcess& operator=(const SideProcess&) = delete;

  /// Runs until `RequestStop` and until the attempts running then have ended,
  /// or the drain timeout has passed. Returns the exit status: 0 if no attempt
  /// was cut, 1 if some were, 2 if it could not start.
  int Run();

  /// Starts a planned stop: no new attempts, running ones finish. Safe from
  /// any thread; a second call has no effect.
  void RequestStop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_SIDE_PROCESS_H_
