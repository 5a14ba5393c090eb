#include "core/config/key_rules.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "core/config/enum_names.h"
#include "core/config/value_text.h"

namespace indigolead {
namespace {

constexpr std::size_t kMaxTextBytes = 512;
constexpr std::size_t kMaxListItems = 256;

std::string RangeText(const ValueRule& rule,
                      const std::function<std::string(double)>& format) {
  return "from " + format(rule.min) + " to " + format(rule.max);
}

std::string FormatSizeOf(double bytes) {
  return FormatSize(static_cast<std::uint64_t>(bytes));
}

std::string FormatDurationOf(double nanos) {
  return FormatDuration(Duration(static_cast<std::int64_t>(nanos)));
}

bool InRange(const ValueRule& rule, double value) {
  return value >= rule.min && value <= rule.max;
}

bool IsModelName(std::string_view text) {
  const auto accepted = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') ||
           std::string_view("-_.:/").find(c) != std::string_view::npos;
  };
  constexpr std::size_t kMaxModelNameBytes = 128;
  return !text.empty() && text.size() <= kMaxModelNameBytes &&
         std::all_of(text.begin(), text.end(), accepted);
}

bool IsMethod(std::string_view text) {
  constexpr std::size_t kMaxMethodBytes = 32;
  return !text.empty() && text.size() <= kMaxMethodBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool IsUrlPrefix(std::string_view text) {
  return text.size() > 1 && text.front() == '/' && text.back() != '/' &&
         text.find_first_of(" ?#%\t") == std::string_view::npos &&
         text.find("//") == std::string_view::npos;
}

bool IsHost(std::string_view text) {
  return !text.empty() &&
         text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-.") ==
             std::string_view::npos;
}

template <typename Predicate>
bool IsListOf(std::string_view text, Predicate accepts) {
  const std::vector<std::string> items = SplitList(text);
  return items.size() <= kMaxListItems &&
         std::all_of(items.begin(), items.end(), accepts);
}

/// Returns true if `rule`, of a kind that is stored as text, accepts `text`.
bool AcceptsText(const ValueRule& rule, const std::string& text) {
  switch (rule.kind) {
    case ValueKind::kName:
      return IsName(text);
    case ValueKind::kModelName:
      return IsModelName(text);
    case ValueKind::kChoice:
      return std::find(rule.choices.begin(), rule.choices.end(), text) !=
             rule.choices.end();
    case ValueKind::kAddress:
      return IsIpAndPort(text);
    case ValueKind::kAddressList:
      return IsListOf(text, IsIpAndPort);
    case ValueKind::kModelNameList:
      return IsListOf(text, IsModelName);
    case ValueKind::kMethodList:
      return IsListOf(text, IsMethod);
    case ValueKind::kUrlPrefix:
      return IsUrlPrefix(text);
    case ValueKind::kHost:
      return IsHost(text);
    case ValueKind::kSha256:
      return IsSha256Text(text);
    default:
      return text.size() <= kMaxTextBytes;
  }
}

/// Stores an accepted text in a field; returns false if the value does not fit.
class FieldWriter {
 public:
  FieldWriter(const ValueRule& rule, const std::string& text)
      : rule_(rule), text_(text) {}

  bool operator()(std::string* field) const {
    if (!AcceptsText(rule_, text_)) {
      return false;
    }
    *field = text_;
    return true;
  }
  bool operator()(std::vector<std::string>* field) const {
    if (text_ == kEmptyListText) {
      field->clear();
      return true;
    }
    if (!AcceptsText(rule_, text_)) {
      return false;
    }
    *field = SplitList(text_);
    return true;
  }
  bool operator()(DeploymentKind* field) const {
    const auto kind = DeploymentKindFromName(text_);
    return kind && (*field = *kind, true);
  }
  bool operator()(bool* field) const {
    const auto parsed = ParseBool(text_);
    return parsed && (*field = *parsed, true);
  }
  bool operator()(Duration* field) const {
    const auto duration = ParseDuration(text_);
    if (!duration || !InRange(rule_, static_cast<double>(duration->count()))) {
      return false;
    }
    *field = *duration;
    return true;
  }
  bool operator()(double* field) const {
    const auto number = ParseNumber(text_);
    return number && InRange(rule_, *number) && (*field = *number, true);
  }
  template <typename Integer>
  bool operator()(Integer* field) const {
    if (rule_.kind == ValueKind::kSize) {
      const auto bytes = ParseSize(text_);
      return bytes && InRange(rule_, static_cast<double>(*bytes)) &&
             (*field = static_cast<Integer>(*bytes), true);
    }
    const auto integer = ParseInteger(text_);
    return integer && InRange(rule_, static_cast<double>(*integer)) &&
           (*field = static_cast<Integer>(*integer), true);
  }

 private:
  const ValueRule& rule_;
  const std::string& text_;
};

/// Returns the number of single-character edits that turn `a` into `b`.
std::size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row[b.size()];
}

}  // namespace

std::string AcceptedText(const ValueRule& rule) {
  switch (rule.kind) {
    case ValueKind::kText:
    case ValueKind::kPath:
      return "a text of at most " + std::to_string(kMaxTextBytes) + " bytes";
    case ValueKind::kName:
      return "a name of 1 to 64 characters a-z 0-9 - _ . that begins with a "
             "letter or digit";
    case ValueKind::kModelName:
      return "a name of letters, digits and - _ . : /";
    case ValueKind::kChoice:
      return "one of " + JoinList(rule.choices);
    case ValueKind::kAddress:
      return "an IP number and port, such as 127.0.0.1:8080";
    case ValueKind::kAddressList:
      return "IP numbers with ports between commas, such as 10.0.0.1:7000, "
             "10.0.0.2:7000, or none";
    case ValueKind::kModelNameList:
      return "names of letters, digits and - _ . : / between commas, or none";
    case ValueKind::kMethodList:
      return "HTTP methods between commas, such as GET, HEAD, or none";
    case ValueKind::kUrlPrefix:
      return "a path such as /menu, without a slash at its end";
    case ValueKind::kHost:
      return "a host name in lower case, without a port";
    case ValueKind::kSha256:
      return "64 lower-case hexadecimal digits (printf %s KEY | sha256sum)";
    case ValueKind::kBool:
      return "true or false";
    case ValueKind::kInteger:
      return "an integer " + RangeText(rule, FormatNumber);
    case ValueKind::kNumber:
      return "a number " + RangeText(rule, FormatNumber);
    case ValueKind::kSize:
      return "a size with unit (B, KiB, MiB, GiB), such as 64MiB, " +
             RangeText(rule, FormatSizeOf);
    case ValueKind::kDuration:
      return "a duration with unit (us, ms, s, m, h), such as 500ms or 5s, " +
             RangeText(rule, FormatDurationOf);
  }
  return "";
}

std::optional<std::string> AssignField(const ValueRule& rule,
                                       const std::string& text,
                                       const FieldPointer& field) {
  if (text.empty()) {
    return "has no value; accepted is " + AcceptedText(rule);
  }
  if (!std::visit(FieldWriter(rule, text), field)) {
    return "\"" + text + "\" is not accepted; accepted is " +
           AcceptedText(rule);
  }
  return std::nullopt;
}

namespace {

struct FieldFormatter {
  const ValueRule& rule;

  std::string operator()(const std::string* field) const { return *field; }
  std::string operator()(const std::vector<std::string>* field) const {
    return field->empty() ? std::string(kEmptyListText) : JoinList(*field);
  }
  std::string operator()(const DeploymentKind* field) const {
    return std::string(DeploymentKindName(*field));
  }
  std::string operator()(const bool* field) const {
    return *field ? "true" : "false";
  }
  std::string operator()(const Duration* field) const {
    return FormatDuration(*field);
  }
  std::string operator()(const double* field) const {
    return FormatNumber(*field);
  }
  template <typename Integer>
  std::string operator()(const Integer* field) const {
    if (rule.kind == ValueKind::kSize) {
      return FormatSize(static_cast<std::uint64_t>(*field));
    }
    return std::to_string(*field);
  }
};

}  // namespace

std::string FormatField(const ValueRule& rule, const FieldPointer& field) {
  return std::visit(FieldFormatter{rule}, field);
}

std::optional<std::string> NearestWord(const std::string& word,
                                       const std::vector<std::string>& known) {
  constexpr std::size_t kMaxComparedBytes = 64;
  if (word.size() > kMaxComparedBytes) {
    return std::nullopt;
  }
  std::size_t best_distance = 2 + word.size() / 5;
  std::optional<std::string> best;
  for (const std::string& it : known) {
    const std::size_t distance = EditDistance(word, it);
    if (distance < best_distance) {
      best_distance = distance;
      best = it;
    }
  }
  return best;
}

ValueRule TextRule() { return {ValueKind::kText, 0, 0, {}}; }

ValueRule NameRule() { return {ValueKind::kName, 0, 0, {}}; }

ValueRule ChoiceRule(std::vector<std::string> choices) {
  return {ValueKind::kChoice, 0, 0, std::move(choices)};
}

ValueRule KindRule(ValueKind kind) { return {kind, 0, 0, {}}; }

ValueRule IntegerRule(std::int64_t min, std::int64_t max) {
  return {ValueKind::kInteger,
          static_cast<double>(min),
          static_cast<double>(max),
          {}};
}

ValueRule NumberRule(double min, double max) {
  return {ValueKind::kNumber, min, max, {}};
}

ValueRule SizeRule(std::uint64_t min, std::uint64_t max) {
  return {
      ValueKind::kSize, static_cast<double>(min), static_cast<double>(max), {}};
}

ValueRule DurationRule(Duration min, Duration max) {
  return {ValueKind::kDuration,
          static_cast<double>(min.count()),
          static_cast<double>(max.count()),
          {}};
}

}  // namespace indigolead
