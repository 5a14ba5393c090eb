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

/// Number that the transport assigns to a link, that is, one connection to a
/// peer.
using LinkNumber = std::uint64_t;

/// Why a side process refuses an attempt. Values match the wire protocol.
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

/// How an accepted attempt ended. Values match the wire protocol.
enum class RunOutcome {
  kComplete = 0,
  kTargetFailed = 1,  ///< The call failed after the request was written.
  kTargetDied = 2,    ///< The target's process exited during the call.
  kCancelled = 3,
  kDeadline = 4,
  kNotStarted = 5,  ///< Not written to the target, and will not be.
};

/// State of an attempt as known to a side process. Values match the wire
/// protocol.
enum class SideKnowledge {
  kUnspecified = 0,
  kNotStarted = 1,  ///< Never started; a later start will be refused.
  kRunning = 2,
  kFinished = 3,
  kLost = 4,  ///< It may have run; this process does not know.
};

/// HTTP headers of a request or an answer.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// HTTP request that an attempt writes to the target.
struct AttemptRequest {
  std::string method;
  std::string path;
  HeaderList headers;
  std::string body;

  friend bool operator==(const AttemptRequest&,
                         const AttemptRequest&) = default;
};

/// Message that asks a side process to run an attempt.
struct AttemptStart {
  AttemptId id;
  RequestId request_id;
  std::uint64_t start_sequence = 0;  ///< 0: the entry does not number starts.
  Duration start_within{};           ///< From receipt to first byte written.
  Duration finish_within{};
  std::string deployment;
  std::uint64_t fingerprint = 0;
  std::uint64_t initial_credit_bytes = 0;
  bool body_continues = false;
  AttemptRequest request;

  friend bool operator==(const AttemptStart&, const AttemptStart&) = default;
};

/// Identifies an attempt in a cancel or resume message.
struct AttemptQuery {
  AttemptId id;
  Incarnation side;                  ///< Side process the start was sent to.
  std::uint64_t start_sequence = 0;  ///< As in the start; 0: unknown.

  friend bool operator==(const AttemptQuery&, const AttemptQuery&) = default;
};

/// Reports that an attempt was not started and never will be.
struct AttemptRefusal {
  AttemptId id;
  RefusalReason reason = RefusalReason::kUnspecified;
  Duration retry_after{};
  std::string detail;

  friend bool operator==(const AttemptRefusal&,
                         const AttemptRefusal&) = default;
};

/// Reply to a cancel or resume message.
struct AttemptStateReply {
  AttemptId id;
  SideKnowledge knowledge = SideKnowledge::kUnspecified;
  std::uint64_t next_sequence = 0;

  friend bool operator==(const AttemptStateReply&,
                         const AttemptStateReply&) = default;
};

/// One numbered frame of an answer. It is held until the caller has consumed
/// it and may be sent over more than one connection.
struct AttemptFrame {
  enum class Kind { kHead, kChunk, kEnd };

  Kind kind = Kind::kHead;
  std::uint64_t sequence = 0;
  int status = 0;      ///< Head only.
  HeaderList headers;  ///< Head only.
  std::string data;    ///< Chunk: part of the body. End: detail.
  RunOutcome outcome = RunOutcome::kComplete;  ///< End only.
  std::uint64_t body_bytes = 0;                ///< End only.
  std::uint64_t body_checksum = 0;             ///< End only: XXH64.

  friend bool operator==(const AttemptFrame&, const AttemptFrame&) = default;
};

using AttemptFramePtr = std::shared_ptr<const AttemptFrame>;

/// How a call to the target ended, as reported by the target's thread.
enum class CallOutcome {
  kComplete,
  kNotWritten,            ///< No byte was written: the target was unreachable.
  kTooLate,               ///< No byte was written: the start deadline passed.
  kCancelledBeforeWrite,  ///< No byte was written: the call was cancelled.
  kFailed,      ///< Failed after the first byte; the target still runs.
  kTargetDied,  ///< Failed after the first byte; the target exited.
  kTimeout,     ///< The target did not answer by the deadline.
  kCancelled,   ///< Cancelled after the first byte.
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_ATTEMPT_TYPES_H_
