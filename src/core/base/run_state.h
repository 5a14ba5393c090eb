#ifndef INDIGOLEAD_CORE_BASE_RUN_STATE_H_
#define INDIGOLEAD_CORE_BASE_RUN_STATE_H_

#include <string_view>

namespace indigolead {

/// Header that tells callers the run state of a refused request. Its value is
/// that of `RunStateName`.
inline constexpr char kRunStateHeader[] = "Indigolead-Run";

/// Whether a request is known to have run.
enum class RunState {
  kNotRun,      ///< Provably never started on any target.
  kUnknown,     ///< May have started; it is not known whether it finished.
  kAlreadyRun,  ///< Finished earlier; its answer is no longer stored.
};

/// Returns the header value: "not-run", "unknown" or "already-run".
constexpr std::string_view RunStateName(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not-run";
    case RunState::kUnknown:
      return "unknown";
    case RunState::kAlreadyRun:
      return "already-run";
  }
  return "unknown";
}

/// Whether and how a request may be run again.
enum class Repeatability {
  kIdempotent,  ///< Running it twice does no harm.
  kKeyed,       ///< At most one run for its Idempotency-Key, retries included.
  kOnce,        ///< At most one run; the caller gave no key.
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_BASE_RUN_STATE_H_
