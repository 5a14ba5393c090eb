#include <algorithm>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <string>

#include "cli/commands.h"
#include "cli/flags.h"
#include "replay/replay.h"

namespace indigolead::cli {
namespace {

using replay::ReplayOutcome;
using replay::Trace;

int Generate(const CommandContext& context) {
  const auto& names = replay::ScenarioNames();
  const std::string& scenario = context.arguments[1];
  const bool known =
      std::find(names.begin(), names.end(), scenario) != names.end();
  const std::string seed =
      context.arguments.size() > 2 ? context.arguments[2] : "1";
  if (!known || seed.find_first_not_of("0123456789") != std::string::npos) {
    *context.err << "replay: no scenario \"" << scenario << "\" with seed \""
                 << seed << "\". Scenarios:\n";
    for (const std::string& it : names) {
      *context.err << "  " << it << "\n";
    }
    return kExitUsage;
  }
  *context.out << "# indigolead replay generate " << scenario << ' ' << seed
               << '\n';
  WriteTrace(replay::GenerateTrace(scenario, std::stoull(seed)), context.out);
  return kExitOk;
}

void PrintJson(const ReplayOutcome& outcome, std::ostream* out) {
  nlohmann::ordered_json json;
  for (const auto& [name, value] : outcome.metrics) {
    json["metrics"][name] = value;
  }
  for (const replay::ReplaySample& it : outcome.samples) {
    json["samples"].push_back(
        {it.good_tokens, it.prefill, it.decode, it.mixed});
  }
  *out << json.dump() << '\n';
}

void PrintTable(const ReplayOutcome& outcome, std::ostream* out) {
  for (const auto& [name, value] : outcome.metrics) {
    *out << std::left << std::setw(24) << name << value << '\n';
  }
}

/// Returns true if `outcome` meets every expectation of the trace.
bool CheckExpectations(const Trace& trace, const ReplayOutcome& outcome,
                       std::ostream* err) {
  bool met = true;
  for (const replay::TraceExpectation& it : trace.expectations) {
    const double seen = outcome.Get(it.metric);
    if (it.at_least ? seen >= it.bound : seen <= it.bound) {
      continue;
    }
    met = false;
    *err << "replay: " << trace.name << ": expected " << it.metric
         << (it.at_least ? " >= " : " <= ") << it.bound << ", seen " << seen
         << '\n';
  }
  return met;
}

}  // namespace

int RunReplay(const CommandContext& context) {
  const std::string& path = context.arguments[0];
  if (path == "generate" && context.arguments.size() > 1) {
    return Generate(context);
  }
  std::ifstream in(path);
  if (!in) {
    *context.err << "replay: cannot read " << path << '\n';
    return kExitUsage;
  }
  const Result<Trace> trace = replay::ReadTrace(&in, path);
  if (!IsOk(trace)) {
    *context.err << "replay: " << ErrorOf(trace) << '\n';
    return kExitUsage;
  }
  const std::string name =
      context.arguments.size() > 1 ? context.arguments[1] : "own";
  const auto policy = replay::FindPolicy(name);
  if (!policy) {
    *context.err << "replay: no policy \"" << name << "\". Policies: own";
    for (const std::string& it : replay::PolicyNames()) {
      *context.err << ' ' << it;
    }
    *context.err << '\n';
    return kExitUsage;
  }
  const ReplayOutcome outcome = Replay(ValueOf(trace), *policy);
  FLAGS_output == "json" ? PrintJson(outcome, context.out)
                         : PrintTable(outcome, context.out);
  // The expectations of a trace apply only to the production policy.
  const bool met =
      name != "own" || CheckExpectations(ValueOf(trace), outcome, context.err);
  return met ? kExitOk : kExitFailed;
}

}  // namespace indigolead::cli
