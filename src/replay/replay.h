#ifndef INDIGOLEAD_REPLAY_REPLAY_H_
#define INDIGOLEAD_REPLAY_REPLAY_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "replay/policies.h"
#include "replay/trace.h"

namespace indigolead::replay {

/// State of a replay in one second of the trace.
struct ReplaySample {
  double good_tokens = 0;  ///< Finished in time in this second.
  std::uint32_t prefill = 0;
  std::uint32_t decode = 0;
  std::uint32_t mixed = 0;

  friend bool operator==(const ReplaySample&, const ReplaySample&) = default;
};

/// Results of a replay. All times are in trace time.
struct ReplayOutcome {
  /// Metrics by name, in print order.
  std::vector<std::pair<std::string, double>> metrics;
  std::vector<ReplaySample> samples;

  /// Returns the value of `metric`, or 0 if there is none.
  double Get(const std::string& metric) const;

  friend bool operator==(const ReplayOutcome&, const ReplayOutcome&) = default;
};

/// Replays a trace through the production routing, admission, retry and role
/// planning code, with engines simulated by `EngineModel`. Deterministic: time
/// is virtual and all random numbers are seeded.
ReplayOutcome Replay(const Trace& trace, const Policy& policy);

}  // namespace indigolead::replay

#endif  // INDIGOLEAD_REPLAY_REPLAY_H_
