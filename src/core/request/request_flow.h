#ifndef INDIGOLEAD_CORE_REQUEST_REQUEST_FLOW_H_
#define INDIGOLEAD_CORE_REQUEST_REQUEST_FLOW_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/admission/retry_budget.h"
#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/request/attempt.h"
#include "core/request/event_cursor.h"
#include "core/request/request_types.h"
#include "core/request/side_table.h"

namespace indigolead {

/// Whether a request may proceed.
enum class Gate {
  kOpen,  ///< Proceed at once.
  kWait,  ///< Wait for `OnAdmitted` or `OnClaimGranted`.
};

/// Result of a hook that may delay or refuse a request.
using GateResult = std::variant<Gate, Refusal>;

/// Forwards a request to a target.
struct RouteTo {
  std::string instance;
  std::string prefill_at = {};  ///< Runs the prefill; empty: `instance` does.
};
/// No target can take the request now; routing is repeated soon. If `held` is
/// true, the request is delayed deliberately (see `Quarantine`) and may wait
/// until its deadline; otherwise, it waits for at most `no_target_wait`.
struct RouteWait {
  bool held = false;
  Duration again_after{0};  ///< Time until routing is repeated, if held.
};
using RouteResult = std::variant<RouteTo, RouteWait, Refusal>;

/// Returns true if the engine has loaded the model or does not report its
/// models. Always true for a target that is not an engine.
bool HoldsModel(const SideInfo& side, const std::string& model);

/// Chooses the untried candidate with the fewest attempts in flight. Default of
/// `RequestFlowHooks::route`.
RouteResult LeastOutstanding(const CallerRequest& request,
                             const std::vector<Candidate>& candidates,
                             TimePoint now);

/// How the claim of a keyed request, that is, one with an idempotency key,
/// ended.
enum class ClaimSettlement { kFinished, kNotRun, kUnknown };

/// Limits and timeouts of the request flow.
struct RequestFlowOptions {
  std::size_t max_requests = 8192;
  std::size_t max_sides = 4096;
  std::size_t max_pending_cancels = 1024;  ///< For each side.
  /// Bytes of an answer that a target may send before the caller has consumed
  /// them. For a resumable stream, up to half of this is buffered until an
  /// event is complete.
  std::uint64_t stream_window_bytes = 256U << 10;
  /// Answers that are not streamed are buffered up to this size until their end
  /// frame is checked, so that a failure can still become a retry or an error.
  std::uint64_t max_buffered_bytes = 64U << 10;
  std::uint64_t max_stored_answer_bytes = 1U << 20;
  /// Longest time to buffer an answer that has no Content-Length.
  Duration max_buffer_time = std::chrono::milliseconds(250);
  std::uint32_t max_forwards = 8;
  Duration resume_timeout = std::chrono::seconds(10);
  /// Time that a side may be absent before an idempotent request that can still
  /// be retried is sent to another target.
  Duration absence_grace = std::chrono::seconds(1);
  /// Longest wait for a target to become available.
  Duration no_target_wait = std::chrono::seconds(1);
  /// Delay before the tried targets are tried again. A few such delays are
  /// longer than the heartbeat interval, so that a later round sees the changed
  /// state of a target.
  Duration retry_round_delay = std::chrono::milliseconds(200);
  /// Time without a message about an attempt after which the entry asks its
  /// side for the attempt's state.
  Duration probe_interval = std::chrono::seconds(1);
  /// Retries an idempotent request that a target answered with a 5xx status at
  /// another target, within the retry budget.
  bool retry_failed_answers = false;
  /// Charges attempts that a target refused to the retry budget, for targets
  /// whose operator counts every arrival.
  bool charge_refused_attempts = false;
};

/// Decisions and notifications handled by the owner of the request flow. Each
/// hook is optional and has a working default.
struct RequestFlowHooks {
  /// Refuses requests known to crash targets. Called before any other hook and
  /// again before each retry.
  std::function<std::optional<Refusal>(const CallerRequest&, TimePoint)>
      check_quarantine;
  /// Claims the idempotency key of a keyed request. After `kWait`, the owner
  /// calls `OnClaimGranted`, `OnClaimAnswered` or `OnGateRefused` with the
  /// request's id.
  std::function<GateResult(const CallerRequest&, TimePoint)> claim;
  /// Reports how a granted claim ended. The answer is null if there is none or
  /// it is too large to store.
  std::function<void(const CallerRequest&, ClaimSettlement, const WholeAnswer*,
                     TimePoint)>
      settle_claim;
  /// Admits a request. After `kWait`, the owner calls `OnAdmitted` or
  /// `OnGateRefused`.
  std::function<GateResult(const CallerRequest&, TimePoint)> admit;
  /// Chooses among the targets of the request's deployment that are up,
  /// connected and not leaving. Default: `LeastOutstanding`.
  std::function<RouteResult(const CallerRequest&, const std::vector<Candidate>&,
                            TimePoint)>
      route;
  /// Takes one retry for a request from the budget; returns false if none is
  /// left. Default: the deployment's retry budget.
  std::function<bool(const CallerRequest&, AttemptReach, TimePoint)>
      spend_retry;
  /// Called when an attempt was sent to a target.
  std::function<void(const CallerRequest&, const AttemptId&, const SideInfo&,
                     TimePoint)>
      on_sent;
  /// Returns false if the attempt has provably not been written to its target
  /// and never will be once it is cancelled. Default: true.
  std::function<bool(const AttemptId&)> may_have_started;
  /// Called when the first frame of an attempt arrives.
  std::function<void(const AttemptId&, TimePoint)> on_first_frame;
  /// Called when an attempt at a target has ended.
  std::function<void(const CallerRequest&, const AttemptId&,
                     const std::string& instance, AttemptOutcome, TimePoint)>
      on_attempt_end;
  /// Called when the first part of a stream goes to the caller, with the
  /// software version of the target that sent it.
  std::function<void(const CallerRequest&, const std::string& software_version)>
      on_stream_begun;
  /// Called when a stream that its caller may resume gets its first target,
  /// with that one's software version. Until the stream begins, other versions
  /// get it only after `withdraw_placement`. Default: any version may.
  std::function<void(const CallerRequest&, const std::string& software_version)>
      on_stream_placed;
  /// Called when no target of the version of `on_stream_placed` is left and the
  /// stream has not begun. Returns true if no record names the version any
  /// more; otherwise, it is called again.
  std::function<bool(const CallerRequest&)> withdraw_placement;
  /// Called when a target died while it ran the request.
  std::function<void(const CallerRequest&, const std::string& instance,
                     TimePoint)>
      report_target_crash;
  /// Called when the request has its final answer or its caller has left.
  std::function<void(const CallerRequest&, TimePoint)> on_done;
};

/// Counters of the request flow.
struct RequestFlowCounts {
  std::uint64_t requests = 0;
  std::uint64_t forwards = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
  std::uint64_t foreign_frames = 0;    ///< Of an attempt that is not held.
  std::uint64_t duplicate_frames = 0;  ///< Sequence number seen before.
  std::uint64_t gap_frames = 0;        ///< An earlier frame is missing.
  std::uint64_t corrupt_answers = 0;   ///< End frame did not match.
  std::uint64_t unknown_outcomes = 0;
  std::uint64_t not_run_refusals = 0;

  friend bool operator==(const RequestFlowCounts&,
                         const RequestFlowCounts&) = default;
};

/// Forwards callers' requests to targets and returns the answers.
///
/// Failures of targets, sides, connections and callers are all handled here, so
/// that one place decides the outcome of a request: a complete answer, or a
/// refusal that states what is known about its run. A request that may have
/// started is never reported as "not run", and one that is not idempotent is
/// not sent again after it may have started.
///
/// Each forward of a request to a target is an attempt with its own id. An
/// attempt is known not to have started, is known to have finished, or its
/// state is unknown. A successful send does not prove that it started. That it
/// has not started must be proven, for example by its side's refusal of its id.
class RequestFlow {
 public:
  RequestFlow(RequestFlowOptions options, RequestFlowHooks hooks, IdSource ids);

  /// Accepts a request, or refuses it if the table is full.
  void OnRequest(std::shared_ptr<const CallerRequest> request, TimePoint now);
  /// The caller has disconnected.
  void OnCallerDisconnected(const RequestId& id, TimePoint now);
  /// The caller has consumed `bytes` of its answer.
  void OnAnswerBytesWritten(const RequestId& id, std::uint64_t bytes,
                            TimePoint now);

  void OnClaimGranted(const RequestId& id, TimePoint now);
  void OnClaimAnswered(const RequestId& id, WholeAnswer answer, TimePoint now);
  void OnAdmitted(const RequestId& id, TimePoint now);
  /// The claim or admission hook refuses a request that it delayed.
  void OnGateRefused(const RequestId& id, Refusal refusal, TimePoint now);

  /// A side has connected. A new incarnation of a known instance means that the
  /// previous one and its state are lost.
  void OnSideUp(SideLink link, SideInfo info, TimePoint now);
  void OnSideDown(SideLink link, TimePoint now);
  /// A side reports changed information about itself or its target.
  void OnSideChanged(SideLink link, const SideInfo& info, TimePoint now);
  /// The platform reports whether an instance is leaving.
  void OnLeaving(const std::string& instance, bool leaving, TimePoint now);
  /// Replaces the set of instances that operators drain.
  void OnDrains(const std::vector<std::string>& instances, TimePoint now);

  void OnRefused(SideLink link, const AttemptId& id, const SideRefusal& refusal,
                 TimePoint now);
  void OnHead(SideLink link, const AttemptId& id, std::uint64_t sequence,
              int status, std::vector<HeaderField> headers, TimePoint now);
  void OnChunk(SideLink link, const AttemptId& id, std::uint64_t sequence,
               std::string data, TimePoint now);
  void OnEnd(SideLink link, const AttemptId& id, const AttemptEnd& end,
             TimePoint now);
  /// A side reports the state of an attempt. `next_sequence` is the first frame
  /// that it can still send.
  void OnKnowledge(SideLink link, const AttemptId& id, AttemptKnowledge known,
                   std::uint64_t next_sequence, TimePoint now);

  /// A start could not be queued, so it provably has no effect.
  void OnStartNotSent(const AttemptId& id, TimePoint now);
  /// Credit could not be queued; it is sent again later.
  void OnCreditNotSent(const AttemptId& id, std::uint64_t bytes);
  /// A cancel could not be queued; it is sent again later.
  void OnCancelNotSent(SideLink link, const AttemptRef& ref);

  /// Moves an attempt that has provably not started to `instance`, for example
  /// to another decode engine chosen after the prefill. Returns the link to
  /// use, or nothing if the attempt is not held, has started, or the instance
  /// accepts no new attempts.
  std::optional<SideLink> MoveAttempt(const AttemptId& id,
                                      const std::string& instance);

  /// Returns the targets that may get the next attempt of an open request, also
  /// those tried before; empty if the request is not held.
  std::vector<Candidate> CandidatesFor(const RequestId& id) const;

  /// Returns what the connected side of `link` reported, or null.
  const SideInfo* FindSide(SideLink link) const;

  /// Handles timeouts and retries. Call every 20 to 100 ms.
  void Tick(TimePoint now);

  /// Bounds the deadline of every request, open or new, by `answer_by`: the
  /// process ends soon after it, and a connection cut without an answer leaves
  /// its caller without the known state of the request.
  void BeginStop(TimePoint answer_by) { answer_by_ = answer_by; }
  /// From now on, no attempt begins that has too little time: its request's
  /// deadline is after the time of `BeginStop`, and less than a few times the
  /// request's `answer_target` are left. The request is refused at once, so
  /// that its caller can go elsewhere in time, unless a part of its answer was
  /// delivered.
  void RefuseLongRequests() { refuses_long_requests_ = true; }

  /// Moves the pending actions into `out`, which must be empty.
  void TakeActions(std::vector<RequestAction>* out) { actions_.swap(*out); }

  const RequestFlowCounts& counts() const { return counts_; }
  std::size_t open_requests() const { return requests_.size(); }
  const SideTable& sides() const { return sides_; }

 private:
  enum class Stage { kClaim, kAdmission, kRoute, kRunning };

  struct Request {
    std::shared_ptr<const CallerRequest> request;
    Stage stage = Stage::kClaim;
    std::optional<Attempt> attempt;
    std::vector<std::string> tried;
    std::uint32_t forwards = 0;
    std::uint32_t starts = 0;  ///< Attempts that may have run.
    bool may_have_run = false;
    bool claimed = false;
    bool caller_gone = false;
    bool head_received = false;   ///< From the current attempt.
    bool head_delivered = false;  ///< To the caller; only a resume can follow.
    bool keep_answer = false;     ///< Keyed and still small enough to store.
    WholeAnswer answer;           ///< Buffered or stored part of the answer.
    TimePoint no_target_deadline;
    TimePoint next_route_at;     ///< When tried targets may be used again.
    TimePoint head_received_at;  ///< When the buffered head arrived.
    /// Position in a stream that may resume at another target.
    std::optional<EventCursor> cursor;
    std::string attempt_software;  ///< Version of the current target.
    /// Version that began the stream; empty if none has, or it is unknown.
    std::string stream_software;
    /// Version under which the placement of a stream that has not begun is
    /// recorded; empty if it is not.
    std::string placed_software;
    bool stream_begun = false;  ///< The caller has a part of it.
  };

  using Requests = std::unordered_map<RequestId, Request>;

  // Requests and frames (request_flow.cc).
  void PassAdmission(Request& it, TimePoint now);
  std::vector<Candidate> CandidatesOf(
      const Request& it, const std::vector<std::string>& tried) const;
  /// Returns true if the target may send the next part of the answer.
  static bool MayAnswer(const Request& it, const SideInfo& side);
  void NoteStreamBegun(Request& it);
  void NotePlaced(Request& it);
  /// Returns true if the request may be routed now: a target of the version
  /// under which it is recorded is left, or the record is withdrawn.
  bool MayRoute(Request& it, TimePoint now);
  void Route(Request& it, TimePoint now);
  void Start(Request& it, const RouteTo& to, TimePoint now);
  Request* FindAttempt(SideLink link, const AttemptId& id);
  bool AcceptFrame(Request& it, SideLink link, std::uint64_t sequence,
                   TimePoint now);
  void Deliver(Request& it, std::string data, TimePoint now);
  void DeliverHead(Request& it);
  void OnResumedHead(Request& it, int status,
                     const std::vector<HeaderField>& headers, TimePoint now);
  void GrantCredit(Request& it, std::uint64_t bytes);
  void RequestResume(Request& it, SideLink link, TimePoint now);

  // Ends of attempts and requests (request_flow_ends.cc) and their timeouts
  // (request_flow_time.cc). An attempt whose ending is `kAmbiguous` may have
  // run.
  enum class Ending { kNotStarted, kAmbiguous };
  void ReleaseAttempt(Request& it, AttemptOutcome outcome, bool cancel,
                      TimePoint now);
  void EndAttempt(Request& it, Ending ending, AttemptOutcome outcome,
                  const SideRefusal& why, TimePoint now);
  void FinishAttempt(Request& it, Ending ending, AttemptOutcome outcome,
                     const SideRefusal& why, bool retry, TimePoint now);
  RetryBudget& BudgetOf(const CallerRequest& request);
  bool MayRetry(const Request& it, Ending ending, AttemptReach reach,
                TimePoint now);
  bool IsFailedAnswer(const Request& it) const;
  void CompleteAnswer(Request& it, TimePoint now);
  void Refuse(Request& it, Refusal refusal, TimePoint now);
  void SettleClaim(Request& it, ClaimSettlement settlement,
                   const WholeAnswer* answer, TimePoint now);
  void EraseRequest(Request& it, TimePoint now);
  void FailLostAttempts(const std::vector<AttemptId>& ids, TimePoint now);
  bool MayHaveStarted(const Request& it) const;
  TimePoint DeadlineOf(const Request& it) const;
  /// Returns true if the planned stop rules out a further attempt.
  bool IsTooLongForStop(const Request& it, TimePoint now) const;
  /// Returns the refusal of a request whose time is over.
  Refusal LateRefusal(const Request& it, const char* message) const;
  void TickRequest(Request& it, TimePoint now);
  void TickAttempt(Request& it, TimePoint now);
  void SendPendingCancels(SideTable::Side& side);

  RequestFlowOptions options_;
  RequestFlowHooks hooks_;
  IdSource ids_;
  Requests requests_;
  std::unordered_map<AttemptId, RequestId> attempts_;
  SideTable sides_;
  /// Keyed by deployment; the catalogue bounds their number.
  std::unordered_map<std::string, RetryBudget> retry_budgets_;
  std::vector<RequestAction> actions_;
  std::vector<RequestId> tick_ids_;
  RequestFlowCounts counts_;
  std::uint64_t last_start_sequence_ = 0;
  TimePoint answer_by_ = TimePoint::max();
  bool refuses_long_requests_ = false;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_REQUEST_FLOW_H_
