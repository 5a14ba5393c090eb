#ifndef INDIGOLEAD_TESTS_SUPPORT_DIRECT_WORLD_WORDS_H_
#define INDIGOLEAD_TESTS_SUPPORT_DIRECT_WORLD_WORDS_H_

#include <string>
#include <vector>

#include "entry/target_dialect.h"

// What the random worlds' entries, callers and targets say to each other.
namespace indigolead::testing::direct_world {

/// Fields of the calls of this world's targets.
inline constexpr char kInstance[] = "Instance";
inline constexpr char kId[] = "Id";
inline constexpr char kOperation[] = "Operation";
inline constexpr char kSource[] = "Source";
inline constexpr char kResume[] = "Resume";
/// Field of an answer: requests a second that its target takes.
inline constexpr char kLimit[] = "Limit";
/// Field of a refusal: milliseconds for which its target wants nothing.
inline constexpr char kRestMs[] = "RestMs";
/// Field of an answer: its target leaves.
inline constexpr char kLeaving[] = "Leaving";

/// Returns the value of a field; empty if absent.
std::string FieldOf(const std::vector<HttpHeader>& headers, const char* name);
std::string FieldOf(const TargetRequest& request, const char* name);

/// Returns the events of the stream that answers a request.
int EventsOf(const std::string& id);
std::string EventText(const std::string& id, int number);
std::string WholeStream(const std::string& id);

/// Returns the answer of a plain target to a request.
std::string WholeAnswerText(const std::string& id);

TargetDialect MakeWorldDialect();

}  // namespace indigolead::testing::direct_world

#endif  // INDIGOLEAD_TESTS_SUPPORT_DIRECT_WORLD_WORDS_H_
