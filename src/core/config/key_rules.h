#ifndef INDIGOLEAD_CORE_CONFIG_KEY_RULES_H_
#define INDIGOLEAD_CORE_CONFIG_KEY_RULES_H_

// Describes each key once for the file reader, the file writer and the
// reference page, so that they cannot disagree.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/base/time.h"
#include "core/config/deployment.h"

namespace indigolead {

/// Type of a value.
enum class ValueKind {
  kText,         ///< Any text.
  kName,         ///< See `IsName`.
  kModelName,    ///< Upper and lower case letters, digits and - _ . : /
  kChoice,       ///< One of `ValueRule::choices`.
  kAddress,      ///< "IP:port".
  kAddressList,  ///< Comma-separated addresses.
  kModelNameList,
  kMethodList,  ///< Comma-separated HTTP methods.
  kPath,        ///< File path.
  kUrlPrefix,   ///< Begins with a slash; does not end with one.
  kHost,        ///< Host name as in the Host header.
  kSha256,      ///< 64 hexadecimal digits.
  kBool,        ///< "true" or "false".
  kInteger,
  kNumber,
  kSize,
  kDuration,
};

/// Accepted texts of a value. The range is inclusive, in bytes for sizes and in
/// nanoseconds for durations.
struct ValueRule {
  ValueKind kind = ValueKind::kText;
  double min = 0;
  double max = 0;
  std::vector<std::string> choices;

  friend bool operator==(const ValueRule&, const ValueRule&) = default;
};

/// Non-owning pointer to the field that a key sets.
using FieldPointer = std::variant<std::string*, bool*, double*, int*,
                                  std::uint32_t*, std::uint64_t*, Duration*,
                                  std::vector<std::string>*, DeploymentKind*>;

/// A key that sets one field of an `Owner`.
template <typename Owner>
struct KeyRow {
  std::string section;
  std::string key;
  ValueRule rule;
  bool required = false;
  std::string meaning;  ///< One sentence for the reference page.
  std::function<FieldPointer(Owner&)> field;
};

/// Returns what `rule` accepts, as a phrase: "a duration with unit, such as
/// 500ms or 5s, from 1ms to 1m".
std::string AcceptedText(const ValueRule& rule);

/// Text that denotes an empty list.
inline constexpr std::string_view kEmptyListText = "none";

/// Sets `field` from `text`. If `rule` rejects the text, returns an error
/// message and leaves the field unchanged.
std::optional<std::string> AssignField(const ValueRule& rule,
                                       const std::string& text,
                                       const FieldPointer& field);

/// Returns the text that sets `field` to its current value: an empty string for
/// empty text, `kEmptyListText` for an empty list.
std::string FormatField(const ValueRule& rule, const FieldPointer& field);

/// Returns the known word closest to `word` if the difference is small enough
/// for a typing error, or nothing.
std::optional<std::string> NearestWord(const std::string& word,
                                       const std::vector<std::string>& known);

/// Factory functions for the rules used in the key tables.
ValueRule TextRule();
ValueRule NameRule();
ValueRule ChoiceRule(std::vector<std::string> choices);
ValueRule KindRule(ValueKind kind);
ValueRule IntegerRule(std::int64_t min, std::int64_t max);
ValueRule NumberRule(double min, double max);
ValueRule SizeRule(std::uint64_t min, std::uint64_t max);
ValueRule DurationRule(Duration min, Duration max);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_KEY_RULES_H_
