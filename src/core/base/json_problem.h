#ifndef INDIGOLEAD_CORE_BASE_JSON_PROBLEM_H_
#define INDIGOLEAD_CORE_BASE_JSON_PROBLEM_H_

#include <nlohmann/json.hpp>
#include <string>

namespace indigolead {

/// Returns what is wrong with a document, without its content.
///
/// The library quotes the text where it stopped reading. In a document with API
/// keys that text may be a key, which would then stand in every log that tells
/// of the error.
std::string JsonProblem(const nlohmann::json::exception& problem);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_BASE_JSON_PROBLEM_H_
