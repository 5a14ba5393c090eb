#ifndef INDIGOLEAD_REPLAY_REPLAY_H_
#define INDIGOLEAD_REPLAY_REPLAY_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "replay/policies.h"
#include "replay/trace.h"

namespace indigolead::replay {

/// State of a replay at one second.
struct ReplaySample {
  double good_tokens = 0;  ///< Finished in time in this second.
  std::uint32_t prefill = 0;
  std::uint32_t decode = 0;
  std::uint32_t mixed = 0;

  friend bool operator==(const ReplaySample&, const ReplaySample&) = default;
};

/// What a replay measured, all in the time of the trace.
struct ReplayOutcome {
  /// Named figures, in the order to print them.
  std::vector<std::pair<std::string, double>> metrics;
  std::vector<ReplaySample> samples;

  /// Returns the figure, or 0 if there is none of that name.
  double Get(const std::string& metric) const;

  friend bool operator==(const ReplayOutcome&, const ReplayOutcome&) = default;
};

/// Drives the routing, admission, retry and role decisions of the product with
/// a trace, against the cost model of an engine. Same input, same outcome: the
/// time is virtual and every draw is seeded.
ReplayOutcome Replay(const Trace& trace, const Policy& policy);

}  // namespace indigolead::replay

#endif  // INDIGOLEAD_REPLAY_REPLAY_H_
