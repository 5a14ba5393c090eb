#include "core/base/json_problem.h"

namespace indigolead {

std::string JsonProblem(const nlohmann::json::exception& problem) {
  using ParseError = nlohmann::json::parse_error;
  if (const auto* parse = dynamic_cast<const ParseError*>(&problem)) {
    return "not JSON from byte " + std::to_string(parse->byte) + " on";
  }
  // Other exceptions name only fields and types.
  return problem.what();
}

}  // namespace indigolead
