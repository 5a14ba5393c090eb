#ifndef INDIGOLEAD_CORE_CONFIG_TEMPLATE_EXPANSION_H_
#define INDIGOLEAD_CORE_CONFIG_TEMPLATE_EXPANSION_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigolead::internal {

/// A value with the place that it was written in.
struct PlacedValue {
  std::string file;
  int line = 0;
  std::string section;
  std::string key;
  std::string value;
};

/// Parameters by name.
using Parameters = std::map<std::string, PlacedValue>;

/// A template's value with its parameters filled in.
struct ExpandedValue {
  std::string text;
  std::vector<PlacedValue> used;       ///< Parameters in it.
  std::optional<std::string> problem;  ///< Set if it could not be filled in.
};

/// Replaces each "${NAME}" in `text` by the parameter of that name. A value
/// that is put in is not searched again, so expansion always ends.
ExpandedValue Expand(const std::string& text, const Parameters& parameters);

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_CORE_CONFIG_TEMPLATE_EXPANSION_H_
