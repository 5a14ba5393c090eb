#ifndef INDIGOLEAD_CORE_CONFIG_KEY_RULES_H_
#define INDIGOLEAD_CORE_CONFIG_KEY_RULES_H_

// One description of a key serves the reader of a file, the writer of one and
// the reference page, so that none of them can differ from another.

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

/// What the text of a value means.
enum class ValueKind {
  kText,         ///< Any text.
  kName,         ///< See `IsName`.
  kModelName,    ///< Letters of both cases, digits and - _ . : /
  kChoice,       ///< One of `ValueRule::choices`.
  kAddress,      ///< "IP:port".
  kAddressList,  ///< Addresses between commas.
  kModelNameList,
  kMethodList,  ///< HTTP methods between commas.
  kPath,        ///< Path of a file.
  kUrlPrefix,   ///< Begins with a slash; does not end with one.
  kHost,        ///< Host name as in the Host header.
  kSha256,      ///< 64 hexadecimal digits.
  kFlag,        ///< "true" or "false".
  kInteger,
  kNumber,
  kSize,
  kDuration,
};

/// Which texts are accepted for a value. The range is inclusive; it counts
/// bytes for sizes and nanoseconds for durations.
struct ValueRule {
  ValueKind kind = ValueKind::kText;
  double min = 0;
  double max = 0;
  std::vector<std::string> choices;

  friend bool operator==(const ValueRule&, const ValueRule&) = default;
};

/// Points to the field that a key sets. Not owned.
using FieldPointer = std::variant<std::string*, bool*, double*, int*,
                                  std::uint32_t*, std::uint64_t*, Duration*,
                                  std::vector<std::string>*, DeploymentKind*>;

/// One key that sets one field of an `Owner`.
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

/// Word that empties a list.
inline constexpr std::string_view kEmptyListText = "none";

/// Sets `field` from `text`. Returns what is wrong if `rule` refuses it; the
/// field is then left as it was.
std::optional<std::string> AssignField(const ValueRule& rule,
                                       const std::string& text,
                                       const FieldPointer& field);

/// Returns the text that sets `field` to its present value; nothing for empty
/// text, `kEmptyListText` for an empty list.
std::string FormatField(const ValueRule& rule, const FieldPointer& field);

/// Returns the known word nearest to `word` if a slip of the hand explains
/// the difference, else nothing.
std::optional<std::string> NearestWord(const std::string& word,
                                       const std::vector<std::string>& known);

/// Rules in the words of their rows.
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
