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

/// Verdict on whether a request may be forwarded now.
enum class Gate {
  kOpen,  ///< Go on at once.
  kWait,  ///< Wait for `OnAdmitted` or `OnClaimGranted`.
};

/// Result of a hook that may hold a request back or refuse it.
using GateResult = std::variant<Gate, Refusal>;

/// Where a request goes next.
struct RouteTo {
  std::string instance;
  std::string prefill_at = {};  ///< Reads the prompt; empty: `instance` does.
};
/// No target now; asked again soon. A request that is held back on purpose
/// waits up to its deadline, any other until `no_target_wait` is over.
struct RouteWait {
  bool held = false;
};
using RouteResult = std::variant<RouteTo, RouteWait, Refusal>;

/// Returns true if the engine holds the model, or does not say what it holds.
bool HoldsModel(const SideInfo& side, const std::string& model);

/// Chooses the untried candidate with the fewest attempts in flight. The
/// default of `RequestFlowHooks::route`.
RouteResult LeastOutstanding(const CallerRequest& request,
                             const std::vector<Candidate>& candidates,
                             TimePoint now);

/// How a keyed request's claim ended.
enum class ClaimSettlement { kFinished, kNotRun, kUnknown };

/// Bounds and times of the request flow.
struct RequestFlowOptions {
  std::size_t max_requests = 8192;
  std::size_t max_sides = 4096;
  std::size_t max_pending_cancels = 1024;  ///< Kept for one absent side.
  /// Bytes of an answer that a target may send before its caller has taken
  /// them. Of a stream that may go on elsewhere, up to half of it is held back
  /// until an event is whole.
  std::uint64_t stream_window_bytes = 256U << 10;
  /// Answers that are not streamed are held up to this size until their end
  /// frame is checked, so that a failure can still become a retry or an error.
  std::uint64_t max_held_bytes = 64U << 10;
  std::uint64_t max_stored_answer_bytes = 1U << 20;
  /// Longest time to hold an answer that does not state its length.
  Duration max_hold = std::chrono::milliseconds(250);
  std::uint32_t max_forwards = 8;
  Duration resume_timeout = std::chrono::seconds(10);
  /// Absence of a side after which an idempotent request with nothing
  /// delivered is sent elsewhere.
  Duration absence_grace = std::chrono::seconds(1);
  /// Longest wait for any target to come up.
  Duration no_target_wait = std::chrono::seconds(1);
  /// Pause after every known target has refused; several of them outlast the
  /// heartbeat that tells of a changed target.
  Duration second_chance_delay = std::chrono::milliseconds(200);
  /// Silence of an attempt after which its side is asked about it.
  Duration probe_interval = std::chrono::seconds(1);
  /// A target's own failure (5xx) of an idempotent request is answered by
  /// another target, within the retry budget.
  bool retry_failed_answers = false;
  /// Attempts that a target refused count against the retry budget, as where
  /// the targets' operator counts every arrival.
  bool charge_refused_attempts = false;
};

/// Decisions taken by other parts of the process. Each has a working default.
struct RequestFlowHooks {
  /// Asked before anything else: refuses requests known to kill targets.
  std::function<std::optional<Refusal>(const CallerRequest&, TimePoint)>
      check_quarantine;
  /// Asks whether a keyed request may run. `kWait` promises a later
  /// `OnClaimGranted` or `OnClaimRefused` with the request's id.
  std::function<GateResult(const CallerRequest&, TimePoint)> claim;
  /// Tells how a granted claim ended; the answer is null if it is too large
  /// to be kept or there is none.
  std::function<void(const CallerRequest&, ClaimSettlement, const WholeAnswer*,
                     TimePoint)>
      settle_claim;
  /// Admits a request. `kWait` promises a later `OnAdmitted` or `OnRefused`.
  std::function<GateResult(const CallerRequest&, TimePoint)> admit;
  /// Chooses among the targets of the request's deployment that are up, not
  /// leaving and connected. Default: the least outstanding, untried first.
  std::function<RouteResult(const CallerRequest&, const std::vector<Candidate>&,
                            TimePoint)>
      route;
  /// Returns true if one more attempt may be spent on a request that may have
  /// run already. Default: the deployment's retry budget.
  std::function<bool(const CallerRequest&, AttemptReach, TimePoint)>
      spend_retry;
  /// An attempt was sent to a target.
  std::function<void(const CallerRequest&, const AttemptId&, const SideInfo&,
                     TimePoint)>
      on_sent;
  /// Returns false if the attempt has provably not been written to its target
  /// and, once cancelled, never will be. Default: it may have been.
  std::function<bool(const AttemptId&)> may_have_started;
  /// The first frame of an attempt came.
  std::function<void(const AttemptId&, TimePoint)> on_first_frame;
  /// An attempt at a target is over.
  std::function<void(const CallerRequest&, const AttemptId&,
                     const std::string& instance, AttemptOutcome, TimePoint)>
      on_attempt_end;
  /// A target died while it ran the request.
  std::function<void(const CallerRequest&, const std::string& instance,
                     TimePoint)>
      report_kill;
  /// The request has its final answer, or its caller left.
  std::function<void(const CallerRequest&, TimePoint)> on_done;
};

/// Counts of what the request flow dropped and did.
struct RequestFlowCounts {
  std::uint64_t requests = 0;
  std::uint64_t forwards = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
  std::uint64_t foreign_frames = 0;    ///< Of an attempt not held.
  std::uint64_t duplicate_frames = 0;  ///< Of a number seen before.
  std::uint64_t gap_frames = 0;        ///< After a missing one.
  std::uint64_t corrupt_answers = 0;   ///< End frame did not agree.
  std::uint64_t unknown_outcomes = 0;
  std::uint64_t not_run_refusals = 0;

  friend bool operator==(const RequestFlowCounts&,
                         const RequestFlowCounts&) = default;
};

/// Takes callers' requests to targets and the answers back.
///
/// Every way in which a target, a side, a connection or a caller can fail in
/// the middle meets here, so that one place decides what may be said of a
/// request: answered in whole, or refused with what is known about its run. A
/// request that may have started is never called "not run", and one that is
/// not idempotent is never sent again.
///
/// Each forward is an attempt with an id of its own. An attempt is not
/// started, unknown or finished; only the side can prove the first, by
/// refusing the id. An accepted send proves nothing.
class RequestFlow {
 public:
  RequestFlow(RequestFlowOptions options, RequestFlowHooks hooks, IdSource ids);

  /// Takes a request. A full table refuses it.
  void OnRequest(std::shared_ptr<const CallerRequest> request, TimePoint now);
  /// The caller has disconnected.
  void OnCallerGone(const RequestId& id, TimePoint now);
  /// The caller has taken `bytes` of its answer.
  void OnCallerTook(const RequestId& id, std::uint64_t bytes, TimePoint now);

  void OnClaimGranted(const RequestId& id, TimePoint now);
  void OnClaimAnswered(const RequestId& id, WholeAnswer answer, TimePoint now);
  void OnAdmitted(const RequestId& id, TimePoint now);
  /// A gate refuses a request that it held back.
  void OnGateRefused(const RequestId& id, Refusal refusal, TimePoint now);

  /// A side said hello. A new incarnation of a known instance means that its
  /// predecessor and all it knew are gone.
  void OnSideUp(SideLink link, SideInfo info, TimePoint now);
  void OnSideDown(SideLink link, TimePoint now);
  /// A side's own words about its target changed.
  void OnSideChanged(SideLink link, const SideInfo& info, TimePoint now);
  /// The platform or an operator says that an instance leaves, or stays.
  void OnLeaving(const std::string& instance, bool leaving, TimePoint now);
  /// These instances, and no others, are drained by operators.
  void OnDrains(const std::vector<std::string>& instances, TimePoint now);

  void OnRefused(SideLink link, const AttemptId& id, const SideRefusal& refusal,
                 TimePoint now);
  void OnHead(SideLink link, const AttemptId& id, std::uint64_t sequence,
              int status, std::vector<HeaderField> headers, TimePoint now);
  void OnChunk(SideLink link, const AttemptId& id, std::uint64_t sequence,
               std::string data, TimePoint now);
  void OnEnd(SideLink link, const AttemptId& id, const AttemptEnd& end,
             TimePoint now);
  /// `next_sequence` is the first frame that the side can still send.
  void OnKnowledge(SideLink link, const AttemptId& id, AttemptKnowledge known,
                   std::uint64_t next_sequence, TimePoint now);

  /// The start could not be queued, so it provably has no effect.
  void OnStartNotSent(const AttemptId& id, TimePoint now);
  /// Credit could not be queued; it is sent again later.
  void OnCreditNotSent(const AttemptId& id, std::uint64_t bytes);
  /// A cancel could not be queued; it is sent again later.
  void OnCancelNotSent(SideLink link, const AttemptRef& ref);

  /// Moves an attempt that has provably not started to `instance`, which its
  /// carrier knows to be better now. Returns the link to go on with, or nothing
  /// if the attempt is not held, has started, or the instance takes no work.
  std::optional<SideLink> MoveAttempt(const AttemptId& id,
                                      const std::string& instance);

  /// Returns what the connected side of `link` says of itself, or null.
  const SideInfo* FindSide(SideLink link) const;

  /// Acts on what time alone decides. Call every 20 to 100 ms.
  void Tick(TimePoint now);

  /// Moves the actions decided so far into `out`, which must be empty.
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
    bool head_taken = false;      ///< From the current attempt.
    bool head_delivered = false;  ///< To the caller: no retry any more.
    bool keep_answer = false;     ///< Still small enough to be stored.
    WholeAnswer answer;           ///< Held or stored part of the answer.
    TimePoint route_until;
    TimePoint route_after;  ///< Earliest second chance of tried targets.
    TimePoint held_since;   ///< Time of the head that is held back.
    /// Of an answer being delivered that may go on at another target.
    std::optional<EventCursor> cursor;
  };

  using Requests = std::unordered_map<RequestId, Request>;

  // Ways in (request_flow.cc).
  void PassAdmission(Request& it, TimePoint now);
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
  void AskAgain(Request& it, SideLink link, TimePoint now);

  // Ways out (request_flow_ends.cc).
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
  void Settle(Request& it, ClaimSettlement settlement,
              const WholeAnswer* answer, TimePoint now);
  void Forget(Request& it, TimePoint now);
  void LoseAttempts(const std::vector<AttemptId>& ids, TimePoint now);
  bool MayHaveStarted(const Request& it) const;
  void TickRequest(Request& it, TimePoint now);
  void TickAttempt(Request& it, TimePoint now);
  void SendPendingCancels(SideTable::Side& side);

  RequestFlowOptions options_;
  RequestFlowHooks hooks_;
  IdSource ids_;
  Requests requests_;
  std::unordered_map<AttemptId, RequestId> attempts_;
  SideTable sides_;
  /// One for each deployment, whose number the catalogue bounds.
  std::unordered_map<std::string, RetryBudget> retry_budgets_;
  std::vector<RequestAction> actions_;
  std::vector<RequestId> tick_ids_;
  RequestFlowCounts counts_;
  std::uint64_t last_start_sequence_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_REQUEST_FLOW_H_
