#include "core/config/template_expansion.h"

#include "core/config/value_text.h"

namespace indigolead::internal {
namespace {

constexpr std::size_t kMaxExpandedBytes = 16384;

std::vector<std::string> NamesOf(const Parameters& parameters) {
  std::vector<std::string> names;
  for (const auto& [name, value] : parameters) {
    names.push_back(name);
  }
  return names;
}

}  // namespace

ExpandedValue Expand(const std::string& text, const Parameters& parameters) {
  ExpandedValue expanded;
  std::size_t from = 0;
  while (true) {
    const std::size_t open = text.find("${", from);
    expanded.text += text.substr(from, open - from);
    if (open == std::string::npos) {
      break;
    }
    const std::size_t close = text.find('}', open);
    if (close == std::string::npos) {
      expanded.problem = "\"" + text + "\" has ${ without }";
      return expanded;
    }
    const std::string name = text.substr(open + 2, close - open - 2);
    const auto it = parameters.find(name);
    if (it == parameters.end()) {
      expanded.problem = "uses ${" + name +
                         "}, which is not a parameter; accepted are " +
                         JoinList(NamesOf(parameters));
      return expanded;
    }
    expanded.text += it->second.value;
    expanded.substituted.push_back(it->second);
    from = close + 1;
  }
  if (expanded.text.size() > kMaxExpandedBytes) {
    expanded.problem = "has " + std::to_string(expanded.text.size()) +
                       " bytes with its parameters; accepted are at most " +
                       std::to_string(kMaxExpandedBytes);
  }
  return expanded;
}

}  // namespace indigolead::internal
