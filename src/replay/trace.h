#ifndef INDIGOLEAD_REPLAY_TRACE_H_
#define INDIGOLEAD_REPLAY_TRACE_H_

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include "core/base/result.h"

namespace indigolead::replay {

/// One line of a trace after its header.
struct TraceEvent {
  enum class Kind { kRequest, kDown, kUp, kSlow };
  Kind kind = Kind::kRequest;
  std::int64_t at_ms = 0;
  // Of a request.
  std::string account;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t deadline_ms = 0;
  std::uint32_t prefix = 0;         ///< Names the shared prefix; 0: none.
  std::uint32_t prefix_tokens = 0;  ///< Prompt tokens in it.
  bool poison = false;              ///< Kills each engine that runs it.
  // Of an engine.
  std::uint32_t engine = 0;
  double factor = 1;  ///< Times slower from now on.

  friend bool operator==(const TraceEvent&, const TraceEvent&) = default;
};

/// Client account of a trace.
struct TraceAccount {
  std::string name;
  int priority = 0;
  std::uint32_t weight = 1;

  friend bool operator==(const TraceAccount&, const TraceAccount&) = default;
};

/// Outcome that a replay of the trace must reach.
struct TraceExpectation {
  std::string metric;  ///< Name as printed by the replay.
  bool at_least = true;
  double bound = 0;

  friend bool operator==(const TraceExpectation&,
                         const TraceExpectation&) = default;
};

/// A recorded stretch of arrivals and of what happened to the engines.
///
/// Text, one record a line; '#' starts a comment:
///     set NAME VALUE
///     account NAME PRIORITY WEIGHT
///     expect METRIC >= VALUE
///     MS request ACCOUNT PROMPT OUTPUT DEADLINE_MS PREFIX PREFIX_TOKENS
///     [poison] MS down ENGINE | MS up ENGINE | MS slow ENGINE FACTOR
struct Trace {
  std::string name;
  std::map<std::string, double> settings;
  std::vector<TraceAccount> accounts;
  std::vector<TraceExpectation> expectations;
  std::vector<TraceEvent> events;  ///< In order of time.

  /// Returns the setting, or `fallback`.
  double Get(const std::string& setting, double fallback) const;

  friend bool operator==(const Trace&, const Trace&) = default;
};

/// Reads a trace; the error names the line.
Result<Trace> ReadTrace(std::istream* in, const std::string& name);

/// Writes `trace` so that `ReadTrace` returns an equal one.
void WriteTrace(const Trace& trace, std::ostream* out);

/// Returns the names that `GenerateTrace` knows.
const std::vector<std::string>& ScenarioNames();

/// Returns the trace of a scenario; the same one for the same seed.
Trace GenerateTrace(const std::string& scenario, std::uint64_t seed);

}  // namespace indigolead::replay

#endif  // INDIGOLEAD_REPLAY_TRACE_H_
