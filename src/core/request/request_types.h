#ifndef INDIGOLEAD_CORE_REQUEST_REQUEST_TYPES_H_
#define INDIGOLEAD_CORE_REQUEST_REQUEST_TYPES_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/base/ids.h"
#include "core/base/run_state.h"
#include "core/base/time.h"
#include "core/request/stream_origin.h"

namespace indigolead {

/// One HTTP header field of a request or an answer.
struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

/// Id of a prompt part. Requests that share a part name the same id.
using PromptPartId = std::uint64_t;

/// One part of a prompt. Other requests may share it as part of their prefix.
struct PromptPart {
  PromptPartId id = 0;
  std::uint32_t tokens = 0;

  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

/// A caller's request whose client account and deployment are known.
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
  std::string path;  ///< Including the query.
  std::vector<HeaderField> headers;
  std::string body;
  bool streamed = false;      ///< The caller asked for server-sent events.
  TimePoint deadline;         ///< The answer must be complete by then.
  Duration answer_target{0};  ///< Target time to the first event; 0: none.
  std::uint32_t max_attempts = 3;
  double retry_budget_share = 0.1;
  std::uint64_t fingerprint = 0;  ///< Hash of account, path and body.
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  std::uint64_t config_revision = 0;
  std::string caller_id;    ///< Request id set by the caller; for logs.
  std::string route;        ///< Name of its route; empty if there is none.
  bool may_resume = false;  ///< A broken stream may resume elsewhere.
  /// Caller's id of the request that delivered the first event of the stream
  /// that this one continues; empty for a new stream.
  std::string resumes;
  std::string after_event;  ///< Last event that the caller has; may be empty.
  /// What began the stream that this request continues; unset for a new stream.
  std::optional<StreamOrigin> origin;
  std::vector<PromptPart> prompt_parts;  ///< In order; empty if unknown.
  TimePoint received_at;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

/// Identifies one connection ("link") to a side, the agent process beside a
/// target. Each reconnect gets a new value.
struct SideLink {
  std::uint64_t value = 0;

  friend auto operator<=>(const SideLink&, const SideLink&) = default;
};

/// What a side reports about itself and its target.
struct SideInfo {
  std::string instance;
  Incarnation incarnation;
  std::string failure_domain;
  std::string region;
  std::string deployment;
  std::string software_version = {};  ///< Of the target; empty if unknown.
  bool is_engine = false;
  std::string role;
  std::vector<std::string> models;  ///< Loaded models, as name@version.
  std::vector<std::string> adapters;
  bool target_up = true;
  bool leaving = false;

  friend bool operator==(const SideInfo&, const SideInfo&) = default;
};

/// One target to which a request may be forwarded now.
struct Candidate {
  const SideInfo* side = nullptr;  ///< Valid during the routing call only.
  std::uint32_t outstanding = 0;   ///< This entry's attempts in flight there.
  bool tried = false;              ///< Used by an earlier attempt.
  /// Runs another software version than the one that began the request's
  /// stream, so it must not send the next event. It may run a prefill.
  bool other_software = false;
};

/// Error sent to a caller whose request gets no answer from a target.
struct Refusal {
  int status = 503;  ///< HTTP status.
  RunState run = RunState::kNotRun;
  std::string code;  ///< Stable error code, such as "no_target".
  std::string message;
  Duration retry_after{0};  ///< 0: no retry is suggested.

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// A complete answer, sent at once or stored for a keyed request.
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
  /// Increases with each start that this process sends; see
  /// docs/design/side.md.
  std::uint64_t start_sequence = 0;
  /// Instance that runs the prefill; empty if the addressed one does.
  std::string prefill_at;
  /// Id of the event after which a broken stream resumes. If empty, the stream
  /// starts where the caller requested.
  std::string resume_after;
};

/// Grants a side credit to send more bytes of an answer.
struct SendCredit {
  SideLink link;
  AttemptId attempt;
  std::uint64_t bytes = 0;
};

/// Identifies an attempt such that a side that no longer holds it can still
/// tell whether it ever did.
struct AttemptRef {
  AttemptId attempt;
  Incarnation side_incarnation;  ///< Incarnation that the start was sent to.
  std::uint64_t start_sequence = 0;

  friend bool operator==(const AttemptRef&, const AttemptRef&) = default;
};

/// Cancels an attempt, or prevents it from starting.
struct SendCancel {
  SideLink link;
  AttemptRef ref;
};

/// Requests the frames from `next_sequence` on and the side's state of the
/// attempt.
struct SendResume {
  SideLink link;
  AttemptRef ref;
  std::uint64_t next_sequence = 0;
  /// Total bytes granted so far; restores credits lost with a connection.
  std::uint64_t granted_bytes = 0;
};

/// Starts an answer whose body follows as `AnswerData`.
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

/// Ends an answer that is complete.
struct AnswerEnd {
  RequestId request;
};

/// Sends a complete answer at once.
struct AnswerWhole {
  RequestId request;
  WholeAnswer answer;
};

/// Refuses a request before any part of an answer was sent.
struct AnswerRefusal {
  RequestId request;
  Refusal refusal;
};

/// Aborts an answer that has begun, so that the caller cannot take it for
/// complete.
struct AnswerAbort {
  RequestId request;
  Refusal refusal;
};

/// An action that the request flow asks its owner to perform.
using RequestAction =
    std::variant<SendStart, SendCredit, SendCancel, SendResume, AnswerHead,
                 AnswerData, AnswerEnd, AnswerWhole, AnswerRefusal,
                 AnswerAbort>;

/// How an attempt ended, as reported by its side.
enum class AttemptOutcome {
  kComplete,
  kTargetFailed,  ///< The target failed after the request was written.
  kTargetDied,    ///< The target's process exited during the attempt.
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

/// State of an attempt, as a side reports it on request.
enum class AttemptKnowledge { kNotStarted, kRunning, kFinished, kLost };

/// How far an attempt got that did not start its request. Determines what a
/// retry costs if the targets' operator counts every arrival of a request after
/// the first.
enum class AttemptReach {
  kNothing,        ///< Nothing was written to any target.
  kPrefillEngine,  ///< Only a prefill engine was called. One such call is part
                   ///< of a first attempt.
  kTarget,         ///< The answering target was reached, or may have been.
};

/// Why an attempt ended without a complete answer, such as a refusal by its
/// side.
struct SideRefusal {
  std::string code;  ///< Such as "leaving" or "overloaded".
  bool overloaded = false;
  bool final = false;  ///< No other target would accept it either.
  AttemptReach reach = AttemptReach::kTarget;
  Duration retry_after{0};
  std::string detail;
};

/// Returns a refusal with the given code and detail.
inline SideRefusal MakeSideRefusal(std::string code, std::string detail) {
  SideRefusal why;
  why.code = std::move(code);
  why.detail = std::move(detail);
  return why;
}

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_REQUEST_TYPES_H_
