#ifndef INDIGOLEAD_REPLAY_MEASUREMENT_H_
#define INDIGOLEAD_REPLAY_MEASUREMENT_H_

#include <cstdint>
#include <vector>

#include "replay/engine_model.h"
#include "replay/replay.h"
#include "replay/trace.h"

namespace indigolead::replay {

/// What became of one request of a trace.
struct RequestRecord {
  enum class End { kOpen, kInTime, kLate, kRefused, kFailed };
  const TraceEvent* event = nullptr;
  End end = End::kOpen;
  bool wrongly_refused = false;  ///< An engine could have done it in time.
  double first_token_s = -1;     ///< After arrival.
  double between_tokens_s = -1;  ///< Average of the request.
  double end_s = 0;              ///< Time of the trace.
};

/// Counts taken beside the requests.
struct ReplayCounts {
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t role_changes = 0;
  double engine_seconds_lost = 0;
  double prompt_tokens = 0;  ///< Of the attempts sent.
  double cached_tokens = 0;  ///< Of those, found in the engine's cache.
  double engine_seconds_up = 0;
};

/// Returns the figures of a replay of `trace`.
ReplayOutcome Measure(const Trace& trace, const EngineCosts& costs,
                      const std::vector<RequestRecord>& requests,
                      const ReplayCounts& counts);

}  // namespace indigolead::replay

#endif  // INDIGOLEAD_REPLAY_MEASUREMENT_H_
