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

/// Runs `indigolead entry`: serves HTTP to callers and holds links to the sides
/// of targets.
///
/// Uses three threads, connected by bounded rings: callers, dispatch and
/// platform. Only the platform thread waits for the store, so a request never
/// does.
class EntryProcess {
 public:
  EntryProcess(Settings settings, EventLog log);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// Binds the addresses and starts the threads.
  Status Start();

  /// Calls `Start` if needed, and returns once a requested stop is complete:
  /// open requests are answered, or `drain_timeout` has passed.
  Status Run();

  /// Begins a planned stop. Thread-safe and async-signal-safe.
  void RequestStop();

  /// Return the bound addresses as "IP:port", once started.
  std::string http_address() const;
  std::string link_address() const;

  /// Applies a revision as if it had been read from the store.
  void OfferRevision(const std::string& json);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_ENTRY_PROCESS_H_
