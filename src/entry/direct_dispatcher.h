#ifndef INDIGOLEAD_ENTRY_DIRECT_DISPATCHER_H_
#define INDIGOLEAD_ENTRY_DIRECT_DISPATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/admission/entry_retry_budget.h"
#include "core/admission/retry_allowance.h"
#include "core/admission/shared_rate_limits.h"
#include "core/admission/target_cooldowns.h"
#include "core/base/random.h"
#include "core/membership/target_addresses.h"
#include "core/membership/target_directory.h"
#include "core/placement/engine_placement.h"
#include "core/placement/failure_guard.h"
#include "core/request/request_flow.h"
#include "core/request/route_table.h"
#include "entry/account_counters.h"
#include "entry/crash_detector.h"
#include "entry/direct_carrier.h"
#include "entry/messages.h"
#include "observe/event_log.h"
#include "observe/metrics.h"

namespace indigolead {

/// Joins request flow, placement, target directory and direct carrier, for an
/// entry that speaks to its targets itself.
///
/// Runs with its callers' server on one thread: on a fifth of a core each hop
/// between threads is a wake-up that costs more than the work it moves.
class DirectDispatcher {
 public:
  struct Options {
    std::string failure_domain;
    RequestFlowOptions flow;
    DirectCarrier::Options carrier;
    TargetDirectory::Options directory;
    EnginePlacement::Options placement;
    FailureGuard::Options guard;
    CrashDetector::Options crashes;
    EntryRetryBudget::Options retry_budget;  ///< Of each service.
    /// Divided among the entries in place of a fixed part of each budget.
    std::optional<RetryAllowance> retry_allowance;
    LimitShare::Options limit_share;
    /// Least time after which a caller may come back who was refused since
    /// every target was closed: by a limit that it names, or since it rests.
    Duration least_closed_wait = std::chrono::milliseconds(200);
    /// Bounds that time where limits alone are the reason.
    Duration longest_limited_wait = std::chrono::milliseconds(2500);
    /// A target that leaves holds what it has read for so long yet: at least
    /// the time for which a planned shutdown goes on serving.
    Duration copy_from_leaving = std::chrono::seconds(2);
    /// Plain services: attempts by which a target in the entry's own failure
    /// domain may be busier and still be preferred.
    std::uint32_t domain_attempts = 2;
  };
  struct Hooks {
    std::function<void(ToCallers&&)> to_callers;
    /// A change of what is known of a target.
    std::function<void(const TargetChange&)> on_target;
    /// Tells the other entries of a target's limit, in requests a second, or
    /// that it has none any more.
    std::function<void(const TargetRecord&, std::optional<double>)> share_limit;
    /// A target crashed under these requests of this entry.
    std::function<void(const TargetCrash&, const std::vector<Fingerprint>&)>
        on_crash;
    /// A target has answered the request with success.
    std::function<void(Fingerprint)> on_answered;
    /// Returns for how long the request is not to run, since targets crash
    /// under it; nothing if it may.
    std::function<std::optional<Duration>(Fingerprint)> stopped_for;
    /// A target began to run the request, or may have: once for each request.
    std::function<void(const CallerRequest&, TimePoint)> on_begun;
  };

  DirectDispatcher(boost::asio::io_context* io, Options options,
                   TargetDialect dialect, Hooks hooks, Clock clock,
                   const IdSource& ids, RandomSource random, EventLog log,
                   MetricsRegistry* metrics);
  DirectDispatcher(const DirectDispatcher&) = delete;
  DirectDispatcher& operator=(const DirectDispatcher&) = delete;

  void OnRequest(std::shared_ptr<const CallerRequest> request);
  void OnCallerGone(const RequestId& id);
  void OnCallerTook(const RequestId& id, std::uint64_t bytes);

  /// Takes over newer routes; older ones are ignored. Returns true if taken.
  bool OnRoutes(RouteConfiguration routes);
  void OnTargets(const std::vector<TargetRecord>& listed);
  void OnStoreLost(TimePoint heard_at);
  void OnStoreFollowed();
  /// As `TargetDirectory::AbsenceDue`.
  std::optional<TimePoint> AbsenceDue() const {
    return directory_.AbsenceDue();
  }
  /// Every change of the targets until `known_until` has been told.
  void OnTargetsKnownUntil(TimePoint known_until) {
    directory_.OnKnownUntil(known_until);
  }
  /// Takes the list of entries, among which targets' limits and the allowance
  /// of further attempts are parted.
  void OnEntries(EntryView view);
  /// Returns true while a target names a limit.
  bool any_limited() const { return limits_.size() > 0; }

  /// Returns the load that the work of `service` puts on its engines.
  RoleLoad LoadOf(const std::string& service);
  /// Returns the services that run on model engines.
  std::vector<std::string> EngineServices() const;

  /// Acts on what time alone decides. Call every 20 to 50 ms.
  void Tick();

  /// Returns the routes in force, or null before the first.
  std::shared_ptr<const RouteTable> routes() const { return routes_; }
  DirectCarrier& carrier() { return carrier_; }
  std::size_t open_requests() const { return open_.size(); }

 private:
  /// A request on its way, for logs and metrics.
  struct Open {
    std::shared_ptr<const CallerRequest> request;
    std::uint32_t attempts = 0;
    std::string last_target;
    bool streaming = false;
    bool begun = false;                 ///< `on_begun` was told.
    std::optional<TimePoint> sent_at;   ///< Of its latest attempt.
    std::optional<TimePoint> first_at;  ///< Of its answer's first bytes.
    TimePoint latest_at{};              ///< Of the latest ones.
    Duration longest_pause{0};          ///< Between two of them.
  };

  RequestFlowHooks FlowHooks();
  CrashDetector::Hooks CrashHooks();
  DirectCarrier::Hooks CarrierHooks();
  RouteResult Route(const CallerRequest& request,
                    const std::vector<Candidate>& candidates, TimePoint now);
  /// Returns the refusal of a request that is stopped since targets crash under
  /// it; nothing if it may run.
  std::optional<Refusal> RefuseCrashing(const CallerRequest& request) const;
  void OnRequestBroke(const std::string& instance,
                      const std::optional<TargetRun>& run,
                      const CallerRequest& request);
  RouteResult RouteToEngine(const CallerRequest& request,
                            const std::vector<Candidate>& candidates,
                            TimePoint now);
  std::optional<std::string> ChooseRunner(const AttemptId& id,
                                          const CallerRequest& request);
  RouteResult RouteToService(const std::string& service,
                             const std::vector<Candidate>& candidates,
                             TimePoint now) const;
  /// Returns the time until targets of each kind take a request of this entry.
  Duration WaitForTargets(const std::vector<Candidate>& candidates,
                          TimePoint now) const;
  Refusal TargetsClosed(const std::string& service,
                        const std::vector<Candidate>& candidates,
                        TimePoint now) const;
  std::vector<PlacementEngine> EnginesOf(
      const std::string& service, const std::vector<Candidate>& candidates,
      TimePoint now) const;
  void NoteLeaving(const TargetChange& change);
  /// Which doubts about targets are believed, given how many they concern.
  struct Doubts {
    bool broken = false;  ///< Their calls broke one after the other.
    bool left = false;    ///< They are off the list, and may be alive.
  };
  Doubts DoubtsOf(const std::vector<Candidate>& candidates,
                  TimePoint now) const;
  /// Returns true if the target gets work only where no other can.
  bool IsSecondChoice(const std::string& instance, const Doubts& doubts,
                      TimePoint now) const;
  bool GuardIsPlausible(const std::vector<Candidate>& candidates,
                        TimePoint now) const;
  void OnCallEnd(const std::string& instance, bool broke);
  void OnLimitNotice(const std::string& instance, const LimitNotice& notice);
  void OnSharedLimit(const TargetRecord& target);
  /// Keeps limits with the address that they hold for.
  void FollowAddress(const TargetChange& change);
  /// Returns what limits of a target are kept by: its address. What is sent for
  /// an earlier target of an address reaches the one that has it now.
  const std::string& LimitKeyOf(const std::string& instance) const;
  /// Returns the time until the target may be sent a request; zero if it may.
  Duration WaitToSend(const std::string& instance, TimePoint now) const;
  bool MaySendTo(const std::string& instance, TimePoint now) const {
    return WaitToSend(instance, now) == Duration{0};
  }
  /// Returns the targets that may have given an answer of `instance`: all that
  /// are listed at its address.
  std::vector<std::string> MaySpeakFor(const std::string& instance) const;
  void OnRestAsked(const std::string& instance, Duration length);
  void OnLeavingTold(const std::string& instance);
  /// Stops what was decided before its target asked for rest or left, and what
  /// no choice among targets decides.
  Status MayWrite(const std::string& instance, bool is_new_work);
  void EndRests();
  void NoteLimitChange(const std::string& instance, const LimitChange& change,
                       const std::string& source);
  void LogStanding(LimitShare::Standing before);
  void OnSent(const CallerRequest& request, const AttemptId& id,
              const SideInfo& side, TimePoint now);
  void OnAttemptEnd(const CallerRequest& request, const AttemptId& id,
                    AttemptOutcome outcome, TimePoint now);
  bool SpendRetry(const CallerRequest& request, AttemptReach reach);
  /// Takes over what lists and time have made of this entry's part.
  void FollowRetryPart();
  void LogRetry(const CallerRequest& request, double arrivals, double left,
                bool granted);
  EnginePlacement& PlacementOf(const std::string& service);
  EngineLimits LimitsOf(const std::string& service) const;
  EntryRetryBudget& BudgetOf(const std::string& service);
  /// Returns the most arrivals that one attempt at the service makes.
  double ArrivalsOfAttempt(const std::string& service) const;
  void Apply(const std::vector<TargetChange>& changes);
  void Flush();
  void Act(RequestAction& action);
  void LogEnd(const RequestAction& action);
  void NoteBytes(const RequestId& id);
  void NoteBegun(Open* open, TimePoint at);
  void NoteEndedRun(Open* open);
  void LogAnswered(const RequestId& id, int status);
  void LogRefused(const RequestId& id, const Refusal& refusal);
  void CloseRequest(const RequestId& id);

  Options options_;
  Hooks hooks_;
  Clock clock_;
  RandomSource random_;
  EventLog log_;
  RequestFlow flow_;
  DirectCarrier carrier_;
  TargetDirectory directory_;
  FailureGuard guard_;
  CrashDetector crashes_;
  TargetAddresses addresses_;
  SharedRateLimits limits_;  ///< By the targets' addresses.
  TargetCooldowns rests_;
  EntryView entries_;
  std::shared_ptr<const RouteTable> routes_;
  std::map<std::string, EnginePlacement> placements_;
  std::map<std::string, EntryRetryBudget> budgets_;
  /// Targets that left a moment ago, by id.
  struct Leaving {
    TargetRecord record;
    TimePoint until;  ///< What it holds may be copied until then.
  };
  std::map<std::string, Leaving> leaving_;
  std::unordered_map<RequestId, Open> open_;
  /// Decided by `Route` for the `OnSent` that follows it.
  std::optional<EngineAssignment> decided_;
  std::vector<RequestAction> actions_;
  bool flushing_ = false;
  AccountCounters accounts_;
  Counter& answered_;
  Counter& refused_;
  Counter& broken_;
  Counter& abandoned_;
  Counter& retries_denied_;
  Counter& further_arrivals_;
  Counter& further_arrivals_unmade_;
  Gauge& targets_;
  Gauge& limited_targets_;
  Gauge& targets_at_rest_;
  Counter& calls_held_back_;
  Counter& answers_ended_by_close_;
  Counter& streams_ended_inside_event_;
  Histogram& answer_seconds_;
  Histogram& refusal_seconds_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_DIRECT_DISPATCHER_H_
