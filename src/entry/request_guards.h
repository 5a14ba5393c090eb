#ifndef INDIGOLEAD_ENTRY_REQUEST_GUARDS_H_
#define INDIGOLEAD_ENTRY_REQUEST_GUARDS_H_

#include <functional>
#include <string>
#include <variant>

#include "entry/claim_service.h"
#include "entry/dispatcher.h"
#include "entry/quarantine_service.h"

namespace indigolead {

/// A side registered as a home of idempotency keys or changed its state.
struct HomeStateReported {
  std::string deployment;
  HomeState state;
};

/// The connection to a side has ended.
struct HomeDisconnected {
  std::string instance;
};

/// A quarantine to write to the store, or to delete there if it was lifted.
struct PersistQuarantine {
  SuspicionNotice notice;
};

/// A message from the guards to the platform thread.
using GuardMessage = std::variant<std::monostate, HomeStateReported,
                                  HomeDisconnected, PersistQuarantine>;

/// A deployment's slot map was read from the store.
struct SlotMapRead {
  std::string deployment;
  SlotMap map;
};

/// A quarantine was read from the store, or its object was deleted.
struct QuarantineChanged {
  SuspicionNotice notice;
};

/// An event from the platform thread to the guards.
using GuardEvent = std::variant<std::monostate, SlotMapRead, QuarantineChanged>;

/// Runs a request with an idempotency key at most once, and quarantines
/// requests that crash their targets. Connects both checks to the request flow.
/// Runs on the entry's dispatch thread.
class RequestGuards {
 public:
  struct Options {
    ClaimService::Options claims;
    QuarantineService::Options quarantine;
  };
  struct Hooks {
    std::function<bool(LinkId, const wire::Envelope&)> send;
    /// Returns the request flow. Called only while the process runs.
    std::function<RequestFlow&()> flow;
    std::function<Quarantine::Policy(const std::string& deployment)> policy;
    std::function<void(GuardMessage&&)> to_platform;
  };

  /// `metrics` must outlive this object.
  RequestGuards(Options options, Incarnation self, Hooks hooks, Clock clock,
                EventLog log, MetricsRegistry* metrics);

  /// Installs the guards in front of the functions already set in `hooks`.
  void InstallHooks(RequestFlowHooks* hooks);

  /// Returns the service to add to the dispatcher.
  EntryService MakeService();

  void OnEvent(GuardEvent&& event, TimePoint now);

  QuarantineService& quarantine() { return quarantine_; }

 private:
  ClaimService::Hooks ClaimHooks(const Hooks& hooks);
  static QuarantineService::Hooks QuarantineHooks(const Hooks& hooks);

  ClaimService claims_;
  QuarantineService quarantine_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_REQUEST_GUARDS_H_
