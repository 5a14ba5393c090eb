#ifndef INDIGOLEAD_ENTRY_TARGET_DIALECT_H_
#define INDIGOLEAD_ENTRY_TARGET_DIALECT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/base/result.h"
#include "core/base/time.h"
#include "core/membership/target_directory.h"
#include "core/request/request_types.h"
#include "target/fetch_answer.h"
#include "target/target_client.h"

namespace indigolead {

/// KV cache of a prompt on the engine that prefilled it.
struct KvHandle {
  std::string source_address;  ///< "IP:port" of that engine.
  std::string name;

  friend bool operator==(const KvHandle&, const KvHandle&) = default;
};

/// Options of one attempt.
struct RunOptions {
  Duration left{0};                ///< Time to the caller's deadline.
  std::optional<KvHandle> source;  ///< KV cache to decode from.
  std::string resume_after;        ///< Last event received, if resuming.
  /// "IP:port" of an engine from which to copy the KV cache of the shared
  /// prompt prefix; if empty, the prefix is prefilled.
  std::string copy_from = {};

  friend bool operator==(const RunOptions&, const RunOptions&) = default;
};

/// What the head of an answer says about its request.
enum class AnswerMeaning {
  kAnswer,       ///< The request ran, whether it succeeded or failed.
  kNotRun,       ///< Not run: the target has no capacity now.
  kWrongTarget,  ///< Not run: another target or another role answered.
  /// The request may have run, and the answer must not be passed on: its status
  /// tells callers otherwise, or contradicts the rest of the head.
  kUnknown,
};

/// Protocol of targets that the entry calls without a side: builds the calls
/// and interprets the answers. The request flow decides which calls are made.
struct TargetDialect {
  /// Builds the call that runs `request`.
  std::function<TargetRequest(const CallerRequest& request,
                              const TargetRecord& target,
                              const RunOptions& options)>
      run;
  /// Builds the call that only prefills the prompt.
  std::function<TargetRequest(const CallerRequest& request,
                              const TargetRecord& target,
                              const RunOptions& options)>
      prefill;
  /// Parses the answer of `target` to the prefill call.
  std::function<Result<KvHandle>(const TargetRecord& target,
                                 const TargetAnswer& answer)>
      read_handle;
  /// Builds the call that releases an unused handle.
  std::function<TargetRequest(const KvHandle& handle)> release;
  /// Builds a liveness probe: a call that runs no request and that a live
  /// target answers at once.
  std::function<TargetRequest(const TargetRecord& target)> liveness_probe;
  /// Returns an error with `kConflict` if the answer to a liveness probe proves
  /// that the run of the target in `target` has ended, and with another code if
  /// it does not show that the target is alive either.
  std::function<Status(const TargetRecord& target, const TargetAnswer& answer)>
      read_liveness;
  /// Classifies the head of an answer.
  std::function<AnswerMeaning(int status,
                              const std::vector<HttpHeader>& headers)>
      meaning;
  /// Returns false if the head of an answer to a run call claims a success
  /// without the proof that it is the target's own. It then says nothing about
  /// the request.
  std::function<bool(int status, const std::vector<HttpHeader>& headers)>
      is_proved;
  /// Returns the limit in the head of an answer, in requests per second from
  /// all entries together; nullopt if it has none.
  std::function<Result<std::optional<double>>(
      const TargetRecord& target, const std::vector<HttpHeader>& headers)>
      advertised_limit;
  /// Returns for how long the head of an answer asks this entry to send no
  /// requests; zero if it does not ask.
  std::function<Result<Duration>(const TargetRecord& target, int status,
                                 const std::vector<HttpHeader>& headers)>
      requested_cooldown;
  /// Returns true if the head of an answer says that its target is leaving.
  std::function<Result<bool>(const TargetRecord& target,
                             const std::vector<HttpHeader>& headers)>
      says_leaving;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_TARGET_DIALECT_H_
