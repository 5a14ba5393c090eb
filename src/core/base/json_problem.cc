#include "core/base/json_problem.h"

namespace indigolead {
namespace {

/// Identifies the library's error for a number beyond the range of a double.
constexpr int kNumberOverflow = 406;

}  // namespace

std::string JsonProblem(const nlohmann::json::exception& problem) {
  using ParseError = nlohmann::json::parse_error;
  if (const auto* parse = dynamic_cast<const ParseError*>(&problem)) {
    return "not JSON from byte " + std::to_string(parse->byte) + " on";
  }
  if (problem.id == kNumberOverflow) {
    return "a number is out of range";  // The message quotes all its digits.
  }
  // Other exceptions name only fields and types.
  return problem.what();
}

}  // namespace indigolead
