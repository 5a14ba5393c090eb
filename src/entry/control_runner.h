#ifndef INDIGOLEAD_ENTRY_CONTROL_RUNNER_H_
#define INDIGOLEAD_ENTRY_CONTROL_RUNNER_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

#include "core/config/settings.h"
#include "entry/control_service.h"
#include "entry/dispatcher.h"
#include "entry/messages.h"
#include "runtime/mailbox.h"
#include "runtime/outbox.h"

namespace indigolead {

/// Runs a `ControlService` across an entry's threads: links and revisions
/// belong to the dispatch thread, everything that waits for the store runs on
/// the platform thread, and bounded rings pass messages between the two.
class ControlRunner {
 public:
  struct Hooks {
    /// Sends on a link. Called on the dispatch thread.
    std::function<bool(LinkId, const wire::Envelope&)> send;
    RolePlan role_plan;  ///< If unset, the declaration fixes the roles.
  };

  /// The io_contexts, `store` and `revision_table` must outlive this object;
  /// `revision_table` is read on the dispatch thread.
  ControlRunner(boost::asio::io_context* platform_io,
                boost::asio::io_context* dispatch_io, ObjectStore* store,
                const RevisionTable* revision_table, const Settings& settings,
                const Incarnation& incarnation, Hooks hooks, EventLog log);
  ControlRunner(const ControlRunner&) = delete;
  ControlRunner& operator=(const ControlRunner&) = delete;

  /// Returns the part that runs on the dispatch thread.
  EntryService Service();

  /// Takes a revision that is now in force on this entry. Called on the
  /// dispatch thread.
  void OnRevision(const Revision& revision);

  /// Starts and stops the part on the platform thread; must be called there.
  /// `Stop` releases the lease if this entry holds it.
  void Start();
  void Stop();
  /// Returns true once the store no longer names this entry as the holder. Must
  /// be called on the platform thread, repeatedly after `Stop`.
  bool Stopped();

  /// Returns the fencing number while this entry holds the control lease. Must
  /// be called on the platform thread.
  std::optional<FencingNumber> HeldFencingNumber() const {
    return service_.HeldFencingNumber();
  }

  /// Handles an event of the platform. Called on the platform thread.
  void OnPlatformEvent(const PlatformEvent& event);

  /// Returns the status as JSON, at most `kStatusInterval` old, or an empty
  /// string before the first one. Thread-safe; never waits for the platform
  /// thread.
  std::string StatusJson() const;
  static constexpr std::chrono::milliseconds kStatusInterval{500};

 private:
  struct LinkUp {
    LinkId link;
    wire::Hello hello;
  };
  struct LinkDown {
    LinkId link;
  };
  struct IncomingMessage {
    LinkId link;
    wire::Envelope message;
  };
  struct OutgoingMessage {
    LinkId link;
    wire::Envelope message;
  };
  using ToPlatform =
      std::variant<std::monostate, LinkUp, LinkDown, IncomingMessage,
                   std::shared_ptr<const Revision>, ConfigSnapshot>;

  ControlService::Hooks ServiceHooks();
  void OnPlatformMessage(ToPlatform&& event);
  bool OnMessage(LinkId link, const wire::Envelope& message);
  void DispatchTick(TimePoint now);
  void PublishStatus(TimePoint now);
  void ArmTick();

  const RevisionTable* revision_table_;
  Hooks hooks_;
  EventLog log_;
  Mailbox<ToPlatform> to_platform_;
  Mailbox<OutgoingMessage> to_send_;
  Outbox<ToPlatform> platform_outbox_;
  Outbox<OutgoingMessage> send_outbox_;
  ControlService service_;
  boost::asio::steady_timer tick_timer_;
  TimePoint next_snapshot_;
  TimePoint next_status_;
  mutable std::mutex status_mutex_;
  std::string status_;  ///< Guarded by `status_mutex_`.
  bool stopped_ = false;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CONTROL_RUNNER_H_
