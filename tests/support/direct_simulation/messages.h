#ifndef INDIGOLEAD_TESTS_SUPPORT_DIRECT_SIMULATION_MESSAGES_H_
#define INDIGOLEAD_TESTS_SUPPORT_DIRECT_SIMULATION_MESSAGES_H_

#include <string>
#include <vector>

#include "entry/target_dialect.h"

// Messages between the entries, callers and targets of the simulation.
namespace indigolead::testing::direct_simulation {

/// Header fields of calls to simulated targets.
inline constexpr char kInstance[] = "Instance";
inline constexpr char kId[] = "Id";
inline constexpr char kOperation[] = "Operation";
inline constexpr char kSource[] = "Source";
inline constexpr char kResume[] = "Resume";
/// Answer header: the target's limit in requests per second.
inline constexpr char kLimit[] = "Limit";
/// Refusal header: milliseconds during which the target wants no requests.
inline constexpr char kCooldownMs[] = "RestMs";
/// Answer header: the target is leaving.
inline constexpr char kLeaving[] = "Leaving";

/// Returns the value of a header field, or an empty string if it is absent.
std::string FieldOf(const std::vector<HttpHeader>& headers, const char* name);
std::string FieldOf(const TargetRequest& request, const char* name);

/// Returns the number of events in the stream that answers a request.
int EventCount(const std::string& id);
std::string EventText(const std::string& id, int number);
std::string WholeStream(const std::string& id);

/// Returns the body with which a target without a model answers a request.
std::string WholeAnswerText(const std::string& id);

TargetDialect MakeSimulatedDialect();

}  // namespace indigolead::testing::direct_simulation

#endif  // INDIGOLEAD_TESTS_SUPPORT_DIRECT_SIMULATION_MESSAGES_H_
