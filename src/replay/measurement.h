#ifndef INDIGOLEAD_REPLAY_MEASUREMENT_H_
#define INDIGOLEAD_REPLAY_MEASUREMENT_H_

#include <cstdint>
#include <vector>

#include "replay/engine_model.h"
#include "replay/replay.h"
#include "replay/trace.h"

namespace indigolead::replay {

/// Outcome of one request of a trace.
struct RequestRecord {
  enum class End { kOpen, kInTime, kLate, kRefused, kFailed };
  const TraceEvent* event = nullptr;
  End end = End::kOpen;
  bool wrongly_refused = false;  ///< An engine could have met the deadline.
  double first_token_s = -1;     ///< Since arrival.
  double between_tokens_s = -1;  ///< Mean over the request.
  double end_s = 0;              ///< In trace time.
};

/// Counters that are not tied to a single request.
struct ReplayCounts {
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t role_changes = 0;
  double engine_seconds_lost = 0;
  double prompt_tokens = 0;  ///< In all attempts sent.
  double cached_tokens = 0;  ///< Those found in an engine cache.
  double engine_seconds_up = 0;
};

/// Computes the metrics of a replay of `trace`.
ReplayOutcome Measure(const Trace& trace, const EngineCosts& costs,
                      const std::vector<RequestRecord>& requests,
                      const ReplayCounts& counts);

}  // namespace indigolead::replay

#endif  // INDIGOLEAD_REPLAY_MEASUREMENT_H_
