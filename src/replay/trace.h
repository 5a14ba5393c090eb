#ifndef INDIGOLEAD_REPLAY_TRACE_H_
#define INDIGOLEAD_REPLAY_TRACE_H_

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include "core/base/result.h"

namespace indigolead::replay {

/// A timestamped line of a trace.
struct TraceEvent {
  enum class Kind { kRequest, kDown, kUp, kSlow };
  Kind kind = Kind::kRequest;
  std::int64_t at_ms = 0;
  // For `kRequest`:
  std::string account;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t deadline_ms = 0;
  std::uint32_t prefix = 0;         ///< Id of the shared prefix; 0: none.
  std::uint32_t prefix_tokens = 0;  ///< Prompt tokens in the prefix.
  bool poison = false;              ///< Crashes each engine that runs it.
  // For engine events:
  std::uint32_t engine = 0;
  double factor = 1;  ///< Slowdown from this event on.

  friend bool operator==(const TraceEvent&, const TraceEvent&) = default;
};

/// A client account of a trace.
struct TraceAccount {
  std::string name;
  int priority = 0;
  std::uint32_t weight = 1;

  friend bool operator==(const TraceAccount&, const TraceAccount&) = default;
};

/// Bound on a metric that a replay of the trace must meet.
struct TraceExpectation {
  std::string metric;  ///< Name printed by the replay.
  bool at_least = true;
  double bound = 0;

  friend bool operator==(const TraceExpectation&,
                         const TraceExpectation&) = default;
};

/// A recorded sequence of request arrivals and engine events.
///
/// Text format with one record per line; '#' starts a comment:
///   set NAME VALUE
///   account NAME PRIORITY WEIGHT
///   expect METRIC >= VALUE
///   MS request ACCOUNT PROMPT OUTPUT DEADLINE_MS PREFIX PREFIX_TOKENS [poison]
///   MS down ENGINE
///   MS up ENGINE
///   MS slow ENGINE FACTOR
struct Trace {
  std::string name;
  std::map<std::string, double> settings;
  std::vector<TraceAccount> accounts;
  std::vector<TraceExpectation> expectations;
  std::vector<TraceEvent> events;  ///< Sorted by time.

  /// Returns the value of `setting`, or `fallback` if it is not set.
  double Get(const std::string& setting, double fallback) const;

  friend bool operator==(const Trace&, const Trace&) = default;
};

/// Parses a trace. Errors name the line.
Result<Trace> ReadTrace(std::istream* in, const std::string& name);

/// Writes `trace` in the format that `ReadTrace` parses.
void WriteTrace(const Trace& trace, std::ostream* out);

/// Returns the scenarios that `GenerateTrace` supports.
const std::vector<std::string>& ScenarioNames();

/// Generates the trace of a scenario, deterministically for each seed.
Trace GenerateTrace(const std::string& scenario, std::uint64_t seed);

}  // namespace indigolead::replay

#endif  // INDIGOLEAD_REPLAY_TRACE_H_
