#ifndef INDIGOLEAD_CORE_CONFIG_TEMPLATE_EXPANSION_H_
#define INDIGOLEAD_CORE_CONFIG_TEMPLATE_EXPANSION_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigolead::internal {

/// A value and its location in a file.
struct LocatedValue {
  std::string file;
  int line = 0;
  std::string section;
  std::string key;
  std::string value;
};

/// Parameters by name.
using Parameters = std::map<std::string, LocatedValue>;

/// A template value after parameter substitution.
struct ExpandedValue {
  std::string text;
  std::vector<LocatedValue> substituted;  ///< Parameters in the text.
  std::optional<std::string> problem;     ///< Set if the expansion failed.
};

/// Replaces each "${NAME}" in `text` with the value of that parameter.
/// Substituted values are not expanded again, so expansion always terminates.
ExpandedValue Expand(const std::string& text, const Parameters& parameters);

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_CORE_CONFIG_TEMPLATE_EXPANSION_H_
