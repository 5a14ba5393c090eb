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

/// KV cache of a prompt, held by the engine that has read it.
struct KvHandle {
  std::string source_address;  ///< "IP:port" of that engine.
  std::string name;

  friend bool operator==(const KvHandle&, const KvHandle&) = default;
};

/// How one attempt is made.
struct RunOptions {
  Duration left{0};                ///< Until the caller's deadline.
  std::optional<KvHandle> source;  ///< KV cache to go on from.
  std::string resume_after;        ///< Event after which to go on, if any.
  /// "IP:port" of an engine that holds what the prompt shares with others;
  /// empty: it is read.
  std::string copy_from = {};

  friend bool operator==(const RunOptions&, const RunOptions&) = default;
};

/// What an answer's head says of the request.
enum class AnswerMeaning {
  kAnswer,       ///< The target's answer, good or bad: it has run.
  kNotRun,       ///< The target did not run it, and has no room now.
  kWrongTarget,  ///< Not run: another target, or one in another role, answered.
};

/// How targets are spoken to where no side stands before them. The attempt's
/// course is decided by the request flow; only the words are here.
struct TargetDialect {
  /// Makes the call that runs `request`.
  std::function<TargetRequest(const CallerRequest& request,
                              const TargetRecord& target,
                              const RunOptions& options)>
      run;
  /// Makes the call that only reads the prompt.
  std::function<TargetRequest(const CallerRequest& request,
                              const TargetRecord& target,
                              const RunOptions& options)>
      prefill;
  /// Reads the answer to that call, made by `target`.
  std::function<Result<KvHandle>(const TargetRecord& target,
                                 const TargetAnswer& answer)>
      read_handle;
  /// Makes the call that frees a handle which is not used.
  std::function<TargetRequest(const KvHandle& handle)> release;
  /// Makes a call that runs nothing and that a live target answers at once.
  std::function<TargetRequest(const TargetRecord& target)> ask_alive;
  /// Judges the head of an answer.
  std::function<AnswerMeaning(int status,
                              const std::vector<HttpHeader>& headers)>
      meaning;
  /// Returns the requests a second that the target takes from all entries
  /// together, if the head of its answer names them.
  std::function<Result<std::optional<double>>(
      const TargetRecord& target, const std::vector<HttpHeader>& headers)>
      named_limit;
  /// Returns for how long the target wants no request of this entry, by the
  /// head of an answer; zero if it does not say so.
  std::function<Result<Duration>(const TargetRecord& target, int status,
                                 const std::vector<HttpHeader>& headers)>
      asked_rest;
  /// Returns true if the head of an answer says that its target leaves.
  std::function<Result<bool>(const TargetRecord& target,
                             const std::vector<HttpHeader>& headers)>
      says_leaving;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_TARGET_DIALECT_H_
