#ifndef INDIGOLEAD_ENTRY_CLAIM_SERVICE_H_
#define INDIGOLEAD_ENTRY_CLAIM_SERVICE_H_

#include <functional>
#include <map>
#include <string>

#include "core/claims/claim_client.h"
#include "core/request/request_flow.h"
#include "envelope.pb.h"
#include "observe/metrics.h"
#include "wire/links.h"

namespace indigolead {

/// Connects the request flow to the sides that record idempotency keys (their
/// homes), and holds marks on the journals of the homes (as a witness, see
/// claim_journal.h). Runs on the entry's dispatch thread.
class ClaimService {
 public:
  struct Options {
    ClaimClient::Options client;
    /// The claim is decided this long before the request's own deadline, so
    /// that the flow does not end a keyed request before its home answers.
    Duration margin = std::chrono::milliseconds(50);
  };
  struct Hooks {
    std::function<bool(LinkId, const wire::Envelope&)> send;
    std::function<void(const RequestId&, TimePoint)> granted;
    std::function<void(const RequestId&, WholeAnswer, TimePoint)> answered;
    std::function<void(const RequestId&, Refusal, TimePoint)> refused;
    /// Called when a side registers as a home or reports a changed state.
    std::function<void(const std::string& deployment, const HomeState&)>
        on_home;
    /// Called when the connection to a side has ended.
    std::function<void(const std::string& instance)> on_home_down;
  };

  /// `metrics` must outlive this object.
  ClaimService(Options options, Incarnation self, Hooks hooks, Clock clock,
               MetricsRegistry* metrics);

  /// @name Hooks of `RequestFlow`: `claim`, `settle_claim` and `on_done`.
  /// @{
  GateResult Claim(const CallerRequest& request, TimePoint now);
  void Settle(const CallerRequest& request, ClaimSettlement settlement,
              const WholeAnswer* answer, TimePoint now);
  void Done(const CallerRequest& request, TimePoint now);
  /// @}

  bool HandleMessage(LinkId link, const wire::Envelope& message);
  void OnLinkUp(LinkId link, const wire::Hello& hello);
  void OnLinkDown(LinkId link);
  void Tick(TimePoint now);

  /// Stores a deployment's slot map if it is newer than the current one, and
  /// sends it to the deployment's sides.
  void OnSlotMap(const std::string& deployment, const SlotMap& map);

 private:
  struct Side {
    std::string instance;
    std::string failure_domain;
    std::string deployment;
  };

  void ExecuteActions(TimePoint now);
  void DeliverDecision(const ClaimDecided& decided, TimePoint now);
  void SendTo(const std::string& instance, const wire::Envelope& message);
  void SendSlotMap(LinkId link, const std::string& deployment);
  void OnWitnessAsk(LinkId link, const wire::WitnessAsk& ask);
  void OnHomeState(LinkId link, const wire::HomeState& state);

  Options options_;
  Hooks hooks_;
  Clock clock_;
  ClaimClient client_;
  WitnessTable witness_;
  std::map<LinkId, Side> sides_;
  std::map<std::string, LinkId> link_by_instance_;
  std::map<std::string, SlotMap> slot_maps_;
  Counter& granted_;
  Counter& replayed_;
  Counter& refused_;
  Gauge& open_claims_;
};

/// Returns the refusal for a keyed request that does not run.
///
/// "not-run" describes the key, not this one request: a caller that reads it
/// may send the job under a new key, so it is returned only if the home knows
/// that the key is free. If the home cannot be reached, the state is "unknown".
Refusal RefusalOf(const ClaimDecision& decision);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CLAIM_SERVICE_H_
