#ifndef INDIGOLEAD_ENTRY_ENTRY_PROCESS_H_
#define INDIGOLEAD_ENTRY_ENTRY_PROCESS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/base/result.h"
#include "core/config/settings.h"
#include "observe/event_log.h"

namespace indigolead {

/// One run of `indigolead entry`: callers' HTTP on one side, links to the sides
/// of targets on the other.
///
/// Three threads, joined by bounded rings: callers, dispatch and platform. The
/// platform thread alone waits for the store, so that a request never does.
class EntryProcess {
 public:
  EntryProcess(Settings settings, EventLog log);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// Binds the addresses and starts the threads.
  Status Start();

  /// Starts, unless that was done, and returns once a requested stop is
  /// complete: open requests answered, or `drain_timeout` over.
  Status Run();

  /// Begins the planned stop. Safe from any thread and in a signal handler.
  void RequestStop();

  /// Addresses bound, "IP:port", once started.
  std::string http_address() const;
  std::string link_address() const;

  /// Takes a revision in, as if it had been read from the store.
  void OfferRevision(const std::string& json);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_ENTRY_PROCESS_H_
