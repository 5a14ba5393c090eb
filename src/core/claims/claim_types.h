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
/// Identifies one journal of a home. Keys are divided into slots by hash; the
/// home of a slot is the side process that decides on its keys. A fenced home
/// opens a new journal.
using JournalId = TypedId<struct JournalIdTag>;

/// Returns the key of a claim. The length of each part is hashed too, so that
/// different triples never give the same hash input.
ClaimKey MakeClaimKey(std::string_view client_account,
                      std::string_view deployment,
                      std::string_view idempotency_key);

/// Returns a hash of the method, path and body, which a retry must repeat.
std::uint64_t MakeBodyDigest(std::string_view method, std::string_view path,
                             std::string_view body);

/// Returns the slot of `key`, in [0, slot_count).
std::uint32_t SlotOf(const ClaimKey& key, std::uint32_t slot_count);

/// One HTTP header of a stored response.
struct AnswerHeader {
  std::string name;
  std::string value;

  friend bool operator==(const AnswerHeader&, const AnswerHeader&) = default;
};

/// Complete response of a finished request, stored to answer its retries.
struct ClaimAnswer {
  std::uint32_t status = 0;
  std::vector<AnswerHeader> headers;
  std::string body;

  /// Returns the size of the body and headers in bytes, with a fixed overhead
  /// for each header.
  std::size_t size() const;

  friend bool operator==(const ClaimAnswer&, const ClaimAnswer&) = default;
};

/// State of the single run that is allowed for a key.
enum class ClaimState {
  kRunning,   ///< Granted; the request has not reported its end.
  kFinished,  ///< Ran to its end.
  kNotRun,    ///< Certainly never started; the key is free again.
  kUnknown,   ///< May have run; no complete response exists.
};

/// Journal record of one state change of a claim.
struct ClaimRecord {
  ClaimKey key;
  std::uint64_t body_digest = 0;
  RequestId request;
  ClaimState state = ClaimState::kRunning;
  std::optional<ClaimAnswer>
      answer;  ///< Only if finished and within the size limit.
  /// True if the record was copied from an earlier home's journal. A copy may
  /// be older than a decision of a home that owned the slot in between.
  bool copied = false;

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// Decision of a home on whether a keyed request may run.
enum class ClaimVerdict {
  kGranted,      ///< The request may run once.
  kRunning,      ///< Another request with the key is running; retry later.
  kFinished,     ///< Finished; the stored response is attached.
  kAlreadyRun,   ///< Finished; the response is no longer stored.
  kUnknown,      ///< May have run.
  kBodyDiffers,  ///< The key was used with another body.
  kNotHome,      ///< This process is not the home of the slot.
  kOverloaded,   ///< The key is free, but no claim can be added.
  kNotReady,     ///< The home cannot decide yet; the key's state is unknown.
};

/// Asks a home whether a keyed request may run. Sent by an entry process.
struct ClaimQuery {
  RequestId request;
  ClaimKey key;
  std::uint64_t body_digest = 0;
  std::uint32_t slot = 0;
  Incarnation entry;  ///< Process that will run the request if granted.
  Duration wait = std::chrono::seconds(1);

  friend bool operator==(const ClaimQuery&, const ClaimQuery&) = default;
};

/// Verdict of a home on one request, with its response or retry delay.
struct ClaimDecision {
  ClaimVerdict verdict = ClaimVerdict::kNotReady;
  std::optional<ClaimAnswer> answer;
  Duration retry_after = Duration::zero();

  friend bool operator==(const ClaimDecision&, const ClaimDecision&) = default;
};

/// Reports the end of a claim from its entry process to the home.
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
