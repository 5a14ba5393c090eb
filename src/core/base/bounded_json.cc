#include "core/base/bounded_json.h"

#include "core/base/json_problem.h"

namespace indigolead {

bool IsNestedTooDeep(std::string_view text) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') {
        ++i;  // Skips the escaped character, which may be a quote.
      } else if (c == '"') {
        in_string = false;
      }
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

Result<nlohmann::json> ParseBoundedJson(std::string_view text,
                                        const std::string& step,
                                        const std::string& peer) {
  if (IsNestedTooDeep(text)) {
    return Error{
        ErrorCode::kProtocol, step, peer,
        "nested deeper than " + std::to_string(kMaxJsonDepth) + " levels"};
  }
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::exception& e) {
    return Error{ErrorCode::kProtocol, step, peer, JsonProblem(e)};
  }
}

}  // namespace indigolead
