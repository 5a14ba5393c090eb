#ifndef INDIGOLEAD_ENTRY_LOAD_CONTROL_H_
#define INDIGOLEAD_ENTRY_LOAD_CONTROL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/admission/admission.h"
#include "core/base/random.h"
#include "core/config/deployment.h"
#include "core/request/request_flow.h"
#include "core/routing/prefix_blocks.h"
#include "core/routing/router.h"
#include "entry/dispatcher.h"
#include "observe/metrics.h"

namespace indigolead {

/// Connects admission and routing to the request flow, with a separate
/// `Admission` and `Router` for each deployment.
///
/// Feeds them with the reports of sides and the flow's attempts, and implements
/// the flow's hooks. Runs on the dispatch thread.
class LoadControl {
 public:
  struct Options {
    std::string failure_domain;
    std::uint32_t max_targets = 512;
    std::size_t max_requests = 8192;
    std::size_t max_deployments = 256;
    std::size_t block_bytes = 1024;  ///< Prompt bytes per prefix block.
  };
  /// Callbacks that report the decision on a queued request to the flow.
  struct Outputs {
    std::function<void(const RequestId&, TimePoint)> admitted;
    std::function<void(const RequestId&, Refusal, TimePoint)> refused;
  };

  /// `metrics` must outlive this object.
  LoadControl(Options options, Outputs outputs, RandomSource random,
              MetricsRegistry* metrics);

  /// Sets the hooks that this object implements.
  void Install(RequestFlowHooks* hooks);

  /// Returns the service that receives the messages of sides. This object must
  /// outlive it.
  EntryService Service(Clock clock);

  /// Applies the limits and client accounts of a deployment.
  void OnRevision(const Revision& revision);

 private:
  struct Target {
    TargetHandle handle;
    SideInfo info;
    bool offered = false;  ///< Among the candidates of this decision.
  };
  /// Ratio of the actual to the expected duration of an account's requests. The
  /// expectation assumes that the output reaches its length limit.
  struct DurationRatio {
    double ratio = 1;
    std::uint32_t samples = 0;
    TimePoint seen_at{};
  };
  struct Deployment {
    Deployment(const RouterOptions& router, const AdmissionOptions& admission,
               RandomSource random)
        : router(router, std::move(random)), admission(admission) {}
    Router router;
    Admission admission;
    std::map<std::string, Target> targets;
    std::map<std::string, DurationRatio> ratios;  ///< By client account.
  };
  struct OpenRequest {
    std::string deployment;
    std::optional<AdmissionTicket> ticket;  ///< Absent while queued.
    AdmissionEnd end = AdmissionEnd::kNeutral;
  };
  struct SentAttempt {
    std::string deployment;
    std::string account;
    RouteLeg leg;
    TimePoint at{};
  };

  Deployment* Find(const std::string& name);
  void Observe(Deployment* deployment, const SideInfo& info);
  void SyncCandidates(Deployment* deployment,
                      const std::vector<Candidate>& candidates,
                      std::vector<TargetHandle>* tried);
  FleetLoad FleetOf(const Deployment& deployment, TimePoint now) const;
  RouteQuery QueryOf(const Deployment& deployment, const CallerRequest& request,
                     const PrefixBlocks& blocks) const;
  Duration ServiceOf(const Deployment& deployment, const CallerRequest& request,
                     const RouteLeg& leg, TimePoint now) const;

  GateResult Admit(const CallerRequest& request, TimePoint now);
  RouteResult Route(const CallerRequest& request,
                    const std::vector<Candidate>& candidates, TimePoint now);
  void OnSent(const CallerRequest& request, const AttemptId& attempt,
              const SideInfo& side, TimePoint now);
  void OnFirstFrame(const AttemptId& attempt, TimePoint now);
  void OnAttemptEnd(const CallerRequest& request, const AttemptId& attempt,
                    AttemptOutcome outcome, TimePoint now);
  void OnDone(const CallerRequest& request, TimePoint now);
  void UpdateRatio(Deployment* deployment, const SentAttempt& sent,
                   TimePoint now);
  void Tick(TimePoint now);
  void ApplyDecision(const AdmissionDecision& decision, TimePoint now);
  Refusal RefusalOf(const AdmissionDecision& decision);

  void OnLinkUp(LinkId link, const wire::Hello& hello);
  bool OnEnvelope(LinkId link, const wire::Envelope& message, TimePoint now);
  void OnLoad(LinkId link, const wire::LoadReport& load, TimePoint now);

  Options options_;
  Outputs outputs_;
  RandomSource random_;
  std::map<std::string, std::unique_ptr<Deployment>> deployments_;
  std::map<LinkId, SideInfo> sides_;
  std::unordered_map<RequestId, OpenRequest> open_requests_;
  std::unordered_map<AttemptId, SentAttempt> sent_attempts_;
  /// Set by `Route` for the `OnSent` that follows.
  RouteLeg decided_leg_;
  /// Refusals of requests that others displaced. Reported on the next tick,
  /// because the flow is still processing the request that displaced them.
  std::vector<AdmissionDecision> displaced_;
  Counter& refusals_;
  Gauge& queued_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_LOAD_CONTROL_H_
