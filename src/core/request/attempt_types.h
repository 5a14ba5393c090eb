#ifndef INDIGOLEAD_CORE_REQUEST_ATTEMPT_TYPES_H_
#define INDIGOLEAD_CORE_REQUEST_ATTEMPT_TYPES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace indigolead {

/// Names one connection to a peer, as the transport numbers them.
using LinkNumber = std::uint64_t;

/// Why a side refuses an attempt. The numbers are those of the protocol.
enum class RefusalReason {
  kUnspecified = 0,
  kLeaving = 1,
  kOverloaded = 2,
  kTooLate = 3,
  kCancelledEarlier = 4,
  kTargetDown = 5,
  kWrongDeployment = 6,
  kQuarantined = 7,
  kModelNotLoaded = 8,
  kDuplicateAttempt = 9,
};

/// How an attempt that was accepted ended. The numbers are the protocol's.
enum class RunOutcome {
  kComplete = 0,
  kTargetFailed = 1,  ///< The target broke after the request was written.
  kTargetDied = 2,    ///< The target's process ended meanwhile.
  kCancelled = 3,
  kDeadline = 4,
  kNotStarted = 5,  ///< Never written to the target, and never will be.
};

/// What a side knows of an attempt. The numbers are those of the protocol.
enum class SideKnowledge {
  kUnspecified = 0,
  kNotStarted = 1,  ///< Never started, and refused if it comes from now on.
  kRunning = 2,
  kFinished = 3,
  kLost = 4,  ///< It may have run; this process cannot tell.
};

/// One HTTP header of a request or an answer.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Request of an attempt, as it is to be written to the target.
struct AttemptRequest {
  std::string method;
  std::string path;
  HeaderList headers;
  std::string body;

  friend bool operator==(const AttemptRequest&,
                         const AttemptRequest&) = default;
};

/// Asks a side to run one attempt.
struct AttemptStart {
  AttemptId id;
  RequestId request_id;
  std::uint64_t start_sequence = 0;  ///< 0: the entry does not number them.
  Duration start_within{};           ///< From its receipt to its first byte.
  Duration finish_within{};
  std::string deployment;
  std::uint64_t fingerprint = 0;
  std::uint64_t initial_credit_bytes = 0;
  bool body_continues = false;
  AttemptRequest request;

  friend bool operator==(const AttemptStart&, const AttemptStart&) = default;
};

/// Names an attempt in a cancel or a resume.
struct AttemptQuery {
  AttemptId id;
  Incarnation side;                  ///< Run of the side it was sent to.
  std::uint64_t start_sequence = 0;  ///< As in its start; 0: not stated.

  friend bool operator==(const AttemptQuery&, const AttemptQuery&) = default;
};

/// Says that an attempt was not started and never will be.
struct AttemptRefusal {
  AttemptId id;
  RefusalReason reason = RefusalReason::kUnspecified;
  Duration retry_after{};
  std::string detail;

  friend bool operator==(const AttemptRefusal&,
                         const AttemptRefusal&) = default;
};

/// Answers a cancel or a resume.
struct AttemptStateReply {
  AttemptId id;
  SideKnowledge knowledge = SideKnowledge::kUnspecified;
  std::uint64_t next_sequence = 0;

  friend bool operator==(const AttemptStateReply&,
                         const AttemptStateReply&) = default;
};

/// One numbered frame of an answer. Shared and immutable: it is kept until the
/// caller has taken it, and may be sent over more than one connection.
struct AttemptFrame {
  enum class Kind { kHead, kChunk, kEnd };

  Kind kind = Kind::kHead;
  std::uint64_t sequence = 0;
  int status = 0;      ///< Head only.
  HeaderList headers;  ///< Head only.
  std::string data;    ///< Chunk: bytes of the body. End: detail.
  RunOutcome outcome = RunOutcome::kComplete;  ///< End only.
  std::uint64_t body_bytes = 0;                ///< End only.
  std::uint64_t body_checksum = 0;             ///< End only: XXH64.

  friend bool operator==(const AttemptFrame&, const AttemptFrame&) = default;
};

using AttemptFramePtr = std::shared_ptr<const AttemptFrame>;

/// How a call to the target ended, as its thread saw it.
enum class CallOutcome {
  kComplete,
  kNotWritten,  ///< No byte reached the target: it was out of reach.
  kTooLate,     ///< No byte was written: the start-by time had passed.
  kStopped,     ///< No byte was written: the call was cancelled first.
  kFailed,      ///< Broke after the first byte; the target still runs.
  kTargetDied,  ///< Broke after the first byte; the target's process ended.
  kTimeout,     ///< The target stayed silent past the deadline.
  kCancelled,   ///< Cancelled after the first byte.
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_ATTEMPT_TYPES_H_
