#ifndef INDIGOLEAD_ENTRY_GUARD_RUNNER_H_
#define INDIGOLEAD_ENTRY_GUARD_RUNNER_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/config/deployment.h"
#include "core/config/settings.h"
#include "entry/guard_state_store.h"
#include "entry/messages.h"
#include "entry/request_guards.h"
#include "runtime/mailbox.h"
#include "runtime/outbox.h"

namespace indigolead {

/// Runs the request guards on an entry's threads: claims and quarantine on the
/// dispatch thread, slot maps and stored quarantines on the platform thread,
/// with a bounded mailbox in each direction.
class GuardRunner {
 public:
  struct Hooks {
    /// Called on the dispatch thread.
    std::function<bool(LinkId, const wire::Envelope&)> send;
    std::function<RequestFlow&()> flow;
    /// Executes the flow's actions after an event from the platform thread.
    std::function<void()> flush;
    /// Returns the fencing number while this entry holds the control lease.
    /// Called on the platform thread.
    std::function<std::optional<FencingNumber>()> fencing_number;
  };

  /// The io_contexts, `store` and `metrics` must outlive this object.
  GuardRunner(boost::asio::io_context* platform_io,
              boost::asio::io_context* dispatch_io, ObjectStore* store,
              const Settings& settings, const Incarnation& incarnation,
              Hooks hooks, EventLog log, MetricsRegistry* metrics);
  GuardRunner(const GuardRunner&) = delete;
  GuardRunner& operator=(const GuardRunner&) = delete;

  /// Installs the guards in front of the functions already set in `hooks`.
  void InstallHooks(RequestFlowHooks* hooks) { guards_.InstallHooks(hooks); }
  /// Returns the service to add to the dispatcher.
  EntryService Service();

  /// Applies the quarantine policy of a revision that takes effect. Called on
  /// the dispatch thread.
  void OnRevision(const Revision& revision);

  /// Start and stop the work on the platform thread. Called on that thread.
  void Start();
  void Stop();
  /// Handles an event of the platform. Called on the platform thread.
  void OnPlatformEvent(const PlatformEvent& event);

 private:
  RequestGuards::Hooks GuardHooks();
  GuardStateStore::Hooks StateStoreHooks();
  void ArmTick();

  Hooks hooks_;
  std::map<std::string, Quarantine::Policy> policies_;
  Mailbox<GuardMessage> to_platform_;
  Mailbox<GuardEvent> to_dispatch_;
  Outbox<GuardMessage> platform_outbox_;
  Outbox<GuardEvent> dispatch_outbox_;
  RequestGuards guards_;
  GuardStateStore state_store_;
  boost::asio::steady_timer tick_timer_;
  bool stopped_ = false;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_GUARD_RUNNER_H_
