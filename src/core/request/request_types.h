#ifndef INDIGOLEAD_CORE_REQUEST_REQUEST_TYPES_H_
#define INDIGOLEAD_CORE_REQUEST_REQUEST_TYPES_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/base/ids.h"
#include "core/base/run_state.h"
#include "core/base/time.h"

namespace indigolead {

/// One HTTP header field, as carried from and to callers.
struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

/// One part of a prompt, which other requests may begin with as well.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

/// A caller's request, once its client account and deployment are known.
struct CallerRequest {
  RequestId id;
  std::string client_account;
  std::string deployment;
  std::string model;
  std::string adapter;
  int priority = 0;
  Repeatability repeatability = Repeatability::kIdempotent;
  std::string idempotency_key;  ///< Empty unless `repeatability` is `kKeyed`.
  std::string method;
  std::string path;  ///< With query.
  std::vector<HeaderField> headers;
  std::string body;
  bool streamed = false;      ///< The caller asked for server-sent events.
  TimePoint deadline;         ///< The answer must be whole by then.
  Duration answer_target{0};  ///< To its first event; 0: none is set.
  std::uint32_t max_attempts = 3;
  double retry_budget_share = 0.1;
  std::uint64_t fingerprint = 0;  ///< Hash of account, path and body.
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  std::uint64_t config_revision = 0;
  std::string caller_id;    ///< As the caller names the request; for logs.
  std::string route;        ///< Route that it came by; empty if there is none.
  bool may_resume = false;  ///< A broken stream may go on at another target.
  std::vector<PromptPart> prompt_parts;  ///< In order; empty if not told.
  TimePoint received_at;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

/// Names one connection to one side process; a reconnect has a new one.
struct SideLink {
  std::uint64_t value = 0;

  friend auto operator<=>(const SideLink&, const SideLink&) = default;
};

/// What a side says of itself and of its target.
struct SideInfo {
  std::string instance;
  Incarnation incarnation;
  std::string failure_domain;
  std::string region;
  std::string deployment;
  bool is_engine = false;
  std::string role;
  std::vector<std::string> models;  ///< Loaded, as name@version.
  std::vector<std::string> adapters;
  bool target_up = true;
  bool leaving = false;

  friend bool operator==(const SideInfo&, const SideInfo&) = default;
};

/// One target to which a request may be forwarded now.
struct Candidate {
  const SideInfo* side = nullptr;  ///< Valid during the routing call only.
  std::uint32_t outstanding = 0;   ///< Attempts of this entry in flight there.
  bool tried = false;              ///< An earlier attempt of this request.
};

/// Why a request gets no answer from a target, told to its caller.
struct Refusal {
  int status = 503;  ///< HTTP status.
  RunState run = RunState::kNotRun;
  std::string code;  ///< Stable, such as "no_target"; goes into the error.
  std::string message;
  Duration retry_after{0};  ///< 0: the caller need not come back.

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// A whole answer, as held for a keyed request.
struct WholeAnswer {
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;

  friend bool operator==(const WholeAnswer&, const WholeAnswer&) = default;
};

/// Asks a side to run a request.
struct SendStart {
  SideLink link;
  AttemptId attempt;
  std::shared_ptr<const CallerRequest> request;
  Duration start_within{0};
  Duration finish_within{0};
  std::uint64_t initial_credit_bytes = 0;
  /// Grows with each start of this process: see docs/design/side.md.
  std::uint64_t start_sequence = 0;
  /// Target that reads the prompt first; empty if the addressed one does.
  std::string prefill_at;
  /// Id of the event after which a broken stream goes on; empty: from where
  /// the caller asked for it.
  std::string resume_after;
};

/// Lets a side send more of an answer.
struct SendCredit {
  SideLink link;
  AttemptId attempt;
  std::uint64_t bytes = 0;
};

/// Names an attempt so that a side which holds it no more can still tell
/// whether it ever did.
struct AttemptRef {
  AttemptId attempt;
  Incarnation side_incarnation;  ///< The run that the start was sent to.
  std::uint64_t start_sequence = 0;

  friend bool operator==(const AttemptRef&, const AttemptRef&) = default;
};

/// Ends an attempt, or keeps it from starting.
struct SendCancel {
  SideLink link;
  AttemptRef ref;
};

/// Asks for the frames from `next_sequence` on, and for what the side knows.
struct SendResume {
  SideLink link;
  AttemptRef ref;
  std::uint64_t next_sequence = 0;
  /// All bytes granted so far: makes up for credits lost with a connection.
  std::uint64_t granted_bytes = 0;
};

/// Starts an answer that goes on with data.
struct AnswerHead {
  RequestId request;
  int status = 0;
  std::vector<HeaderField> headers;
};

/// Carries a part of an answer's body.
struct AnswerData {
  RequestId request;
  std::string data;
};

/// Ends an answer that came whole.
struct AnswerEnd {
  RequestId request;
};

/// Gives a whole answer at once.
struct AnswerWhole {
  RequestId request;
  WholeAnswer answer;
};

/// Refuses a request of which nothing was answered yet.
struct AnswerRefusal {
  RequestId request;
  Refusal refusal;
};

/// Breaks off an answer already begun, so that it cannot be taken as whole.
struct AnswerAbort {
  RequestId request;
  Refusal refusal;
};

/// What the request flow wants done.
using RequestAction =
    std::variant<SendStart, SendCredit, SendCancel, SendResume, AnswerHead,
                 AnswerData, AnswerEnd, AnswerWhole, AnswerRefusal,
                 AnswerAbort>;

/// How a side says that an attempt ended.
enum class AttemptOutcome {
  kComplete,
  kTargetFailed,  ///< The target broke after the request was written.
  kTargetDied,    ///< The target's process ended meanwhile.
  kCancelled,
  kDeadline,
  kNotStarted,  ///< Never written to the target.
};

/// End frame of an attempt.
struct AttemptEnd {
  std::uint64_t sequence = 0;
  std::uint64_t body_bytes = 0;
  std::uint64_t body_checksum = 0;
  AttemptOutcome outcome = AttemptOutcome::kComplete;
  std::string detail;
};

/// What a side knows about an attempt that it was asked about.
enum class AttemptKnowledge { kNotStarted, kRunning, kFinished, kLost };

/// How far an attempt came that did not start its request: what a further one
/// costs, where the targets' operator counts each arrival beyond a request's
/// first.
enum class AttemptReach {
  kNothing,  ///< Nothing was written to any target; the next is the first.
  kReader,   ///< Only an engine that reads prompts was called. One such call
             ///< is part of a first attempt.
  kTarget,   ///< The target that was to answer, or may have been.
};

/// Why a side refused to start an attempt.
struct SideRefusal {
  std::string code;  ///< Such as "leaving" or "overloaded".
  bool overloaded = false;
  bool final = false;  ///< No other target would take it either.
  AttemptReach reach = AttemptReach::kTarget;
  Duration retry_after{0};
  std::string detail;
};

/// Returns a refusal with its code and what an operator reads of it.
inline SideRefusal Because(std::string code, std::string detail) {
  SideRefusal why;
  why.code = std::move(code);
  why.detail = std::move(detail);
  return why;
}

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_REQUEST_TYPES_H_
