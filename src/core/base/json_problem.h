#ifndef INDIGOLEAD_CORE_BASE_JSON_PROBLEM_H_
#define INDIGOLEAD_CORE_BASE_JSON_PROBLEM_H_

#include <nlohmann/json.hpp>
#include <string>

namespace indigolead {

/// Describes a JSON error without quoting the document.
///
/// The library's message quotes the text at which parsing stopped. In a
/// document with API keys that text may be a key, which would then be logged
/// with the error.
std::string JsonProblem(const nlohmann::json::exception& problem);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_BASE_JSON_PROBLEM_H_
