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

/// Sidecar process of one target, and the only process that talks to it.
///
/// Two threads, connected by bounded rings: dispatch (links, attempts, orders)
/// and target (HTTP). The process connects to the entries named in its
/// settings, then to entries that it chooses from the instance list that
/// entries relay.
class SideProcess {
 public:
  struct Hooks {
    /// Called with the link address once the process accepts connections.
    std::function<void(const std::string&)> on_ready;
  };

  SideProcess(Settings settings, EventLog log);
  SideProcess(Settings settings, EventLog log, Hooks hooks);
  ~SideProcess();
  SideProcess(const SideProcess&) = delete;
  SideProcess& operator=(const SideProcess&) = delete;

  /// Runs until `RequestStop` is called and the attempts running then have
  /// ended or the drain timeout has passed. Returns the exit status: 0 if no
  /// attempt was cut off, 1 if some were, 2 if the process could not start.
  int Run();

  /// Starts a planned stop: new attempts are refused, running ones finish. Safe
  /// to call from any thread; a second call has no effect.
  void RequestStop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_SIDE_PROCESS_H_
