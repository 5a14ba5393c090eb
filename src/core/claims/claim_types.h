#ifndef INDIGOLEAD_CORE_CLAIMS_CLAIM_TYPES_H_
#define INDIGOLEAD_CORE_CLAIMS_CLAIM_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace indigolead {

/// Hash of client account, deployment and `Idempotency-Key`.
using ClaimKey = TypedId<struct ClaimKeyTag>;
/// Names one journal of one home; a home that was fenced opens another.
using JournalId = TypedId<struct JournalIdTag>;

/// Returns the key of a claim. Each part is hashed with its length, so no two
/// different triples give the same input.
ClaimKey MakeClaimKey(std::string_view client_account,
                      std::string_view deployment,
                      std::string_view idempotency_key);

/// Returns a hash of what a retry must repeat: method, path and body.
std::uint64_t MakeBodyDigest(std::string_view method, std::string_view path,
                             std::string_view body);

/// Returns the slot of `key`, in [0, slot_count).
std::uint32_t SlotOf(const ClaimKey& key, std::uint32_t slot_count);

/// One header of a stored answer.
struct AnswerHeader {
  std::string name;
  std::string value;

  friend bool operator==(const AnswerHeader&, const AnswerHeader&) = default;
};

/// Whole answer of a finished request, kept to answer its retries.
struct ClaimAnswer {
  std::uint32_t status = 0;
  std::vector<AnswerHeader> headers;
  std::string body;

  /// Returns the bytes held, headers included.
  std::size_t size() const;

  friend bool operator==(const ClaimAnswer&, const ClaimAnswer&) = default;
};

/// What is known of the one run that a key may have.
enum class ClaimState {
  kRunning,   ///< Granted to a request that has not reported its end.
  kFinished,  ///< Ran to its end.
  kNotRun,    ///< Provably never started; the key is free again.
  kUnknown,   ///< May have run; no whole answer exists.
};

/// One step in the life of a claim, as journalled.
struct ClaimRecord {
  ClaimKey key;
  std::uint64_t body_digest = 0;
  RequestId request;
  ClaimState state = ClaimState::kRunning;
  std::optional<ClaimAnswer> answer;  ///< Only if finished and small enough.
  /// Copied from an earlier home's journal, not decided by the one that wrote
  /// it. A copy may be older than what a home in between decided.
  bool copied = false;

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// Answer of a home to the question whether a keyed request may run.
enum class ClaimVerdict {
  kGranted,      ///< Run it now, once.
  kRunning,      ///< Another request with the key runs; ask again.
  kFinished,     ///< The answer is attached.
  kAlreadyRun,   ///< Finished; its answer is no longer held.
  kUnknown,      ///< May have run.
  kBodyDiffers,  ///< The key was used with another body.
  kNotHome,      ///< This process is not home of the slot.
  kOverloaded,   ///< The key is free, but there is no room for a claim.
  kNotReady,     ///< The home cannot decide now; nothing is known of the key.
};

/// Question of an entry.
struct ClaimAsk {
  RequestId request;
  ClaimKey key;
  std::uint64_t body_digest = 0;
  std::uint32_t slot = 0;
  Incarnation entry;  ///< Process that would run the request.
  Duration wait = std::chrono::seconds(1);

  friend bool operator==(const ClaimAsk&, const ClaimAsk&) = default;
};

/// A home's verdict on one request.
struct ClaimDecision {
  ClaimVerdict verdict = ClaimVerdict::kNotReady;
  std::optional<ClaimAnswer> answer;
  Duration retry_after = Duration::zero();

  friend bool operator==(const ClaimDecision&, const ClaimDecision&) = default;
};

/// How a granted claim ended, as its entry reports it.
struct ClaimEndReport {
  RequestId request;
  ClaimKey key;
  std::uint32_t slot = 0;
  std::uint64_t body_digest = 0;
  ClaimState end = ClaimState::kUnknown;
  std::optional<ClaimAnswer> answer;
  Incarnation entry;

  friend bool operator==(const ClaimEndReport&,
                         const ClaimEndReport&) = default;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CLAIMS_CLAIM_TYPES_H_
