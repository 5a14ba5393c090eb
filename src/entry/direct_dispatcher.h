#ifndef INDIGOLEAD_ENTRY_DIRECT_DISPATCHER_H_
#define INDIGOLEAD_ENTRY_DIRECT_DISPATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/admission/entry_retry_budget.h"
#include "core/admission/retry_allowance.h"
#include "core/admission/shared_rate_limits.h"
#include "core/admission/target_cooldowns.h"
#include "core/base/random.h"
#include "core/membership/software_history.h"
#include "core/membership/target_addresses.h"
#include "core/membership/target_directory.h"
#include "core/placement/engine_placement.h"
#include "core/placement/failure_guard.h"
#include "core/placement/role_change_wait.h"
#include "core/request/request_block.h"
#include "core/request/request_flow.h"
#include "core/request/route_table.h"
#include "core/request/stream_origins.h"
#include "entry/account_counters.h"
#include "entry/crash_detector.h"
#include "entry/direct_transport.h"
#include "entry/messages.h"
#include "entry/stray_answers.h"
#include "observe/event_log.h"
#include "observe/metrics.h"

namespace indigolead {

/// Connects the request flow, placement, target directory and direct transport
/// in an entry that calls its targets without sides.
///
/// Shares one thread with the callers' server: an entry that is limited to
/// a fifth of a core spends more on waking another thread than on the work
/// handed to it.
class DirectDispatcher {
 public:
  struct Options {
    std::string failure_domain;
    RequestFlowOptions flow;
    DirectTransport::Options transport;
    TargetDirectory::Options directory;
    SoftwareHistory::Options software;
    EnginePlacement::Options placement;
    FailureGuard::Options guard;
    CrashDetector::Options crashes;
    /// Time after its first event in which a request that crashes its target
    /// does so.
    Duration outlived_after = std::chrono::seconds(2);
    EntryRetryBudget::Options retry_budget;  ///< Per service.
    /// If set, an allowance of retries for all entries together, divided among
    /// them, replaces the fixed part of each budget.
    std::optional<RetryAllowance> retry_allowance;
    LimitShare::Options limit_share;
    /// Minimum retry delay told to a caller that was refused because no target
    /// accepts requests, because of limits or requested cooldowns.
    Duration min_closed_wait = std::chrono::milliseconds(200);
    /// Upper bound of that delay if limits are the only reason.
    Duration max_limited_wait = std::chrono::milliseconds(2500);
    /// How long KV cache may be copied from a leaving target: at least the time
    /// for which a planned shutdown keeps serving.
    Duration leaving_copy_window = std::chrono::seconds(2);
    /// Plain services: extra open attempts that a target in the entry's own
    /// failure domain may have and still be preferred.
    std::uint32_t domain_attempt_margin = 2;
    RoleChangeWait::Options role_change;
    /// Time between two routings of a stream that waits for a change of role.
    /// Each takes some 0.3 ms with 5,000 targets.
    Duration waiting_route_interval = std::chrono::milliseconds(200);
    /// Longest time that a request which continues a stream waits for room.
    /// Callers wait two seconds at least for the next event.
    Duration max_room_wait = std::chrono::milliseconds(1500);
    /// Time that it must have left then.
    Duration min_time_after_wait = std::chrono::milliseconds(500);
    /// Time after a crash in which a target does not count as able to continue
    /// a stream, unless it answers: longer than the platform lists a silent
    /// target.
    Duration down_after_crash = std::chrono::seconds(5);
    /// Retry delay told to a caller whose stream no target may continue now.
    /// Targets that crashed are back within seconds.
    Duration stream_retry_after = std::chrono::seconds(1);
  };
  struct Hooks {
    std::function<void(ToCallers&&)> to_callers;
    /// The directory's record of a target changed.
    std::function<void(const TargetChange&)> on_target;
    /// Shares a target's limit with the other entries, in requests per second;
    /// nullopt if the target no longer has one.
    std::function<void(const TargetRecord&, std::optional<double>)> share_limit;
    /// A target crashed while it ran these requests of this entry.
    std::function<void(const TargetCrash&, const std::vector<RunningRequest>&)>
        on_crash;
    /// A target answered the request successfully.
    std::function<void(const RunningRequest&)> on_answered;
    /// A target has been sending the answer for `outlived_after`.
    std::function<void(const RunningRequest&)> on_outlived;
    /// Returns why the request must not run, because targets crashed while
    /// running it or requests like it; nullopt if it may run.
    std::function<std::optional<RequestBlock>(const RunningRequest&)> block_of;
    /// Returns what is known of a target of `service` beyond this entry's own
    /// calls. Unset: nothing is.
    std::function<TargetKnowledge(const std::string& service,
                                  const std::string& instance)>
        knowledge_of;
    /// Finds what began the stream whose first event the caller's request `id`
    /// delivered.
    std::function<void(const std::string& id, StreamOrigins::Done)> find_origin;
    /// Finds the same where no entry has a record of it.
    std::function<void(
        const std::string& id,
        std::function<void(const std::optional<StreamOrigin>&)> done)>
        find_archived_origin;
    /// Brings the list of targets up to date and calls `done` with true once
    /// every change up to `needed_at` has been reported, or with false if that
    /// takes too long. Calls it exactly once, possibly before it returns.
    /// Unset: the list is never known to be that recent.
    std::function<void(TimePoint needed_at, std::function<void(bool)> done)>
        confirm_targets;
    /// The first event of a stream went to the caller of request `id`.
    std::function<void(const std::string& id, const StreamOrigin&)>
        on_stream_begun;
    /// Request `id`, which begins a stream, is sent to its first target.
    std::function<void(const std::string& id, const StreamOrigin&)>
        on_stream_placed;
    /// See `RequestFlowHooks::withdraw_placement`.
    std::function<bool(const std::string& id)> withdraw_placement;
    /// A target started to run the request, or may have. Called once per
    /// request.
    std::function<void(const CallerRequest&, TimePoint)> on_run_started;
  };

  DirectDispatcher(boost::asio::io_context* io, Options options,
                   TargetDialect dialect, Hooks hooks, Clock clock,
                   const IdSource& ids, RandomSource random, EventLog log,
                   MetricsRegistry* metrics);
  DirectDispatcher(const DirectDispatcher&) = delete;
  DirectDispatcher& operator=(const DirectDispatcher&) = delete;

  void OnRequest(std::shared_ptr<const CallerRequest> request);
  void OnCallerDisconnected(const RequestId& id);
  void OnAnswerBytesWritten(const RequestId& id, std::uint64_t bytes);

  /// Applies routes of a newer version and ignores others. Returns true if they
  /// were applied.
  bool OnRoutes(RouteConfiguration routes);
  /// Handles a complete list of the targets.
  void OnTargets(const std::vector<TargetRecord>& listed);
  /// Handles the targets that were read so far of the first list.
  void OnTargetsSoFar(const std::vector<TargetRecord>& listed);
  /// Handles a target that was in the list between two that were reported.
  void OnTargetPassed(const TargetRecord& target) {
    software_.OnSeen({target}, clock_());
  }
  void OnStoreLost(TimePoint heard_at);
  void OnStoreFollowed();
  /// This or another entry has seen the target crash. Returns false if the
  /// listed run of the target is another one.
  bool OnTargetDown(const TargetCrash& crash);
  /// Another entry has seen the target crash. Suspects of this entry that were
  /// running in it are reported with `on_crash`.
  void OnCrashReported(const TargetCrash& crash);
  /// See `TargetDirectory::AbsenceDue`.
  std::optional<TimePoint> AbsenceDue() const {
    return directory_.AbsenceDue();
  }
  /// All target changes up to `known_until` have been reported.
  void OnTargetsKnownUntil(TimePoint known_until) {
    directory_.OnKnownUntil(known_until);
  }
  /// Sets the list of entries among which the targets' limits and the retry
  /// allowance are divided.
  void OnEntries(EntryView view);
  /// Returns true while any target has a limit.
  bool any_limited() const { return limits_.size() > 0; }

  /// Returns true if `service` was listed with several software versions
  /// during a stream's life, as far as this process has seen.
  bool HasSeveralVersions(const std::string& service) const {
    return !software_.OnlyVersionSeen(service, clock_());
  }

  /// Returns the load of `service` on its engines.
  RoleLoad LoadOf(const std::string& service);
  /// Returns the services that run on model engines.
  std::vector<std::string> EngineServices() const;

  /// Performs time-driven work. Call every 20 to 50 ms.
  void Tick();

  /// Prepares for a planned stop; see `RequestFlow::BeginStop`.
  void BeginStop(TimePoint answer_by) { flow_.BeginStop(answer_by); }
  /// See `RequestFlow::RefuseLongRequests`.
  void RefuseLongRequests() { flow_.RefuseLongRequests(); }

  /// Returns the active routes, or null before the first.
  std::shared_ptr<const RouteTable> routes() const { return routes_; }
  /// Returns the placements, by service.
  const std::map<std::string, EnginePlacement>& placements() const {
    return placements_;
  }
  DirectTransport& transport() { return transport_; }
  std::size_t open_requests() const { return open_requests_.size(); }

 private:
  /// An open request, for logs and metrics.
  struct OpenRequest {
    std::shared_ptr<const CallerRequest> request;
    std::uint32_t attempts = 0;
    std::string last_target;
    bool streaming = false;
    bool waits_for_role = false;        ///< The log has a line on that.
    bool run_started = false;           ///< `on_run_started` was called.
    bool outlived = false;              ///< `on_outlived` was called.
    bool doubtful = false;              ///< Its answer may be incomplete.
    std::optional<TimePoint> sent_at;   ///< Time of the latest attempt.
    std::optional<TimePoint> first_at;  ///< First bytes of the answer.
    TimePoint latest_at{};              ///< Latest bytes of the answer.
    Duration longest_pause{0};          ///< Longest gap between bytes.
  };

  RequestFlowHooks FlowHooks();
  CrashDetector::Hooks CrashHooks();
  DirectTransport::Hooks TransportHooks();
  void Forward(std::shared_ptr<const CallerRequest> request);
  /// Forwards a request that continues a stream once it is known what began the
  /// stream, or refuses it.
  void ContinueStream(const std::shared_ptr<const CallerRequest>& request);
  /// What began a stream, if that is known, and how, for logs.
  struct KnownOrigin {
    std::optional<StreamOrigin> origin;
    std::string_view source;
    std::string_view records{};  ///< What the entries' records tell of it.
    bool by_list = false;        ///< Known from the versions listed only.
  };
  /// Looks for the origin elsewhere if no entry has a record of it.
  void OnFound(const std::shared_ptr<const CallerRequest>& request,
               const OriginResult& found);
  /// Finds the origin of a stream without a record: only one
  /// software version can have begun it, as a list shows that was read after
  /// the request arrived.
  void ProveByList(const std::shared_ptr<const CallerRequest>& request,
                   OriginUnknown why);
  /// Returns the origin of a stream that only one software version can have
  /// begun, if the list is up to date.
  std::optional<StreamOrigin> OnlyOrigin(const CallerRequest& request) const;
  /// Returns the origin of a stream whose caller names no request.
  KnownOrigin UnnamedOrigin(const CallerRequest& request,
                            OriginUnknown why) const;
  void OnOrigin(const std::shared_ptr<const CallerRequest>& request,
                const KnownOrigin& known);
  /// Returns the refusal of a request that continues a stream; nullopt if it
  /// may be forwarded.
  std::optional<Refusal> RefuseContinuation(const CallerRequest& request,
                                            const KnownOrigin& known) const;
  RouteResult Route(const CallerRequest& request,
                    const std::vector<Candidate>& candidates, TimePoint now);
  RouteResult ChooseTarget(const CallerRequest& request,
                           const std::vector<Candidate>& candidates,
                           TimePoint now);
  /// Decides about a request that continues a stream which no target may
  /// continue now; nullopt if one may, or it is not such a request.
  std::optional<RouteResult> RouteWithoutDecodeTarget(
      const CallerRequest& request, const std::vector<Candidate>& candidates,
      TimePoint now);
  /// Lets a request that continues a stream wait until a target of `version`
  /// decodes, or refuses it. `prefills` of its targets prefill.
  RouteResult WaitForDecodeTarget(const CallerRequest& request,
                                  const ServiceVersion& version,
                                  std::int64_t prefills, TimePoint now);
  /// Returns true if the request continues a stream and its caller still waits
  /// long enough for an engine to have room.
  bool MayWaitForRoom(const CallerRequest& request, TimePoint now) const;
  /// Returns true if the target has crashed, and nothing shows that it is back.
  bool IsDown(const std::string& instance, TimePoint now) const;
  /// Records that a request that continues a stream was refused.
  void NoteStreamNotPlaced(const CallerRequest& request,
                           const std::vector<Candidate>& candidates,
                           const Refusal& refusal, TimePoint now);
  /// Returns the refusal of a request that is blocked because targets crashed
  /// while running it; nullopt if it may run.
  std::optional<Refusal> RefuseBlocked(const CallerRequest& request) const;
  void OnRequestBroke(const std::string& instance,
                      const std::optional<TargetRun>& run,
                      const CallerRequest& request);
  void OnRequestAbandoned(const std::string& instance,
                          const std::optional<TargetRun>& run,
                          const CallerRequest& request);
  void OnDoubtfulEnd(const std::string& instance,
                     const std::optional<TargetRun>& run,
                     const CallerRequest& request);
  /// Returns true if the end of the target would be a crash: it is known and
  /// not leaving. A leaving target cuts off unfinished requests.
  bool MayCrash(const std::string& instance) const;
  void OnRunEnded(const std::string& instance,
                  const std::optional<TargetRun>& run,
                  std::string_view evidence);
  /// Finds the runs that a change of the list shows to have ended. Must be
  /// called before the change is applied.
  void NoteEndedRuns(const TargetChange& change);
  RouteResult RouteToEngine(const CallerRequest& request,
                            const std::vector<Candidate>& candidates,
                            TimePoint now);
  std::optional<std::string> ChooseDecodeTarget(const AttemptId& id,
                                                const CallerRequest& request);
  /// Returns the software version of a target; empty if it is not known.
  std::string SoftwareVersionOf(const std::string& instance) const;
  RouteResult RouteToService(const std::string& service,
                             const std::vector<Candidate>& candidates,
                             TimePoint now) const;
  /// Returns the time until a target of every role accepts a request of this
  /// entry, at least `min_closed_wait`.
  Duration WaitForTargets(const std::vector<Candidate>& candidates,
                          TimePoint now) const;
  Refusal TargetsRateLimited(const std::string& service,
                             const std::vector<Candidate>& candidates,
                             TimePoint now) const;
  std::vector<PlacementEngine> EnginesOf(
      const std::string& service, const std::vector<Candidate>& candidates,
      TimePoint now) const;
  void NoteLeaving(const TargetChange& change);
  /// Which suspicions about targets are acted on. A suspicion that concerns too
  /// many targets at once is not plausible and is ignored.
  struct PlausibleSuspicions {
    bool broken = false;  ///< Consecutive calls broke.
    bool left = false;    ///< Off the list, but possibly alive.
  };
  PlausibleSuspicions SuspicionsOf(const std::vector<Candidate>& candidates,
                                   TimePoint now) const;
  /// Returns true if the target gets work only when no other can take it.
  bool IsLastResort(const std::string& instance,
                    const PlausibleSuspicions& suspicions, TimePoint now) const;
  bool GuardIsPlausible(const std::vector<Candidate>& candidates,
                        TimePoint now) const;
  void OnCallEnd(const std::string& instance, bool broke);
  void OnLimitNotice(const std::string& instance, const LimitNotice& notice);
  void OnSharedLimit(const TargetRecord& target);
  /// Tracks the target's address. Drops the limit of an address when its only
  /// target restarts or gives it up.
  void UpdateAddress(const TargetChange& change);
  /// Returns the key of a target's limit: its address, because requests for a
  /// former target at an address reach the target that has it now.
  const std::string& LimitKeyOf(const std::string& instance) const;
  /// Returns the time until a request may be sent to the target; zero if now.
  Duration WaitToSend(const std::string& instance, TimePoint now) const;
  bool MaySendTo(const std::string& instance, TimePoint now) const {
    return WaitToSend(instance, now) == Duration{0};
  }
  /// Returns the targets that may have sent an answer attributed to `instance`:
  /// all that are listed at its address.
  std::vector<std::string> TargetsSharingAddress(
      const std::string& instance) const;
  void OnTargetCooldownRequested(const std::string& instance, Duration length);
  void OnLeavingNotice(const std::string& instance);
  /// Stops calls to a target that asks for a cooldown, and new work for one
  /// that is leaving. Covers calls that were routed before, and calls that are
  /// not routed at all.
  Status MayWrite(const std::string& instance, bool is_new_work);
  void RemoveExpiredCooldowns();
  void NoteLimitChange(const std::string& instance, const LimitChange& change,
                       const std::string& source);
  void LogStanding(LimitShare::Standing before);
  void OnSent(const CallerRequest& request, const AttemptId& id,
              const SideInfo& side, TimePoint now);
  void OnAttemptEnd(const CallerRequest& request, const AttemptId& id,
                    AttemptOutcome outcome, TimePoint now);
  bool SpendRetry(const CallerRequest& request, AttemptReach reach);
  /// Updates this entry's part of the retry allowance.
  void UpdateRetryPart();
  void LogRetry(const CallerRequest& request, double arrivals, double left,
                bool granted);
  EnginePlacement& PlacementOf(const std::string& service);
  EngineLimits LimitsOf(const std::string& service) const;
  EntryRetryBudget& BudgetOf(const std::string& service);
  /// Returns the maximum number of arrivals per attempt at the service.
  double MaxArrivalsPerAttempt(const std::string& service) const;
  void Apply(const std::vector<TargetChange>& changes);
  void Flush();
  void Act(RequestAction& action);
  void LogEnd(const RequestAction& action);
  void NoteBytes(const RequestId& id);
  void NoteOutlived(OpenRequest* open, TimePoint now);
  void NoteRunStarted(OpenRequest* open, TimePoint at);
  void NoteEndedRun(OpenRequest* open);
  void LogAnswered(const RequestId& id, int status);
  void LogRefused(const RequestId& id, const Refusal& refusal);
  void CloseRequest(const RequestId& id);

  Options options_;
  Hooks hooks_;
  Clock clock_;
  RandomSource random_;
  EventLog log_;
  RequestFlow flow_;
  DirectTransport transport_;
  TargetDirectory directory_;
  SoftwareHistory software_;
  FailureGuard guard_;
  CrashDetector crashes_;
  RoleChangeWait role_changes_;
  /// Until when a crashed target counts as down, by id.
  std::map<std::string, TimePoint> down_until_;
  TargetAddresses addresses_;
  SharedRateLimits limits_;  ///< By target address.
  TargetCooldowns cooldowns_;
  EntryView entries_;
  std::shared_ptr<const RouteTable> routes_;
  std::map<std::string, EnginePlacement> placements_;
  std::map<std::string, EntryRetryBudget> budgets_;
  /// Targets that started leaving recently, by id.
  struct Leaving {
    TargetRecord record;
    TimePoint until;  ///< End of copying its KV cache.
  };
  std::map<std::string, Leaving> leaving_;
  std::unordered_map<RequestId, OpenRequest> open_requests_;
  /// Set by `Route` for the `OnSent` that follows.
  std::optional<EngineAssignment> decided_assignment_;
  std::vector<RequestAction> actions_;
  bool flushing_ = false;
  AccountCounters accounts_;
  StrayAnswers stray_answers_;
  Counter& answered_;
  Counter& refused_;
  Counter& broken_;
  Counter& abandoned_;
  Counter& retries_denied_;
  Counter& further_arrivals_;
  Counter& further_arrivals_unmade_;
  Gauge& targets_;
  Gauge& limited_targets_;
  Gauge& targets_in_cooldown_;
  Counter& calls_held_back_;
  Counter& streams_continued_;
  Counter& streams_continued_by_list_;
  Counter& streams_not_continued_;
  Counter& streams_not_placed_;
  Counter& streams_waited_;
  Counter& answers_ended_by_close_;
  Counter& streams_ended_inside_event_;
  Histogram& answer_seconds_;
  Histogram& refusal_seconds_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_DIRECT_DISPATCHER_H_
