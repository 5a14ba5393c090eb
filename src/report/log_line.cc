#include "report/log_line.h"

#include <charconv>
#include <chrono>

namespace indigolead::report {
namespace {

constexpr std::size_t kTimeLength = 23;  // 2026-04-14T23:30:57.044

/// Removes the next word from the front of `text` and returns it.
std::string_view ConsumeWord(std::string_view* text) {
  const auto begin = text->find_first_not_of(' ');
  if (begin == std::string_view::npos) {
    *text = {};
    return {};
  }
  text->remove_prefix(begin);
  const std::string_view word = text->substr(0, text->find(' '));
  text->remove_prefix(word.size());
  return word;
}

std::optional<int> ReadDigits(std::string_view text, std::size_t at,
                              std::size_t length) {
  int n = 0;
  const char* first = text.data() + at;
  const auto [end, error] = std::from_chars(first, first + length, n);
  return error == std::errc() && end == first + length ? std::optional(n)
                                                       : std::nullopt;
}

/// Parses "YYYY-MM-DDThh:mm:ss.mmm" and returns Unix milliseconds.
std::optional<std::int64_t> ReadTime(std::string_view text) {
  if (text.size() != kTimeLength || text[4] != '-' || text[10] != 'T') {
    return std::nullopt;
  }
  const auto year = ReadDigits(text, 0, 4);
  const auto month = ReadDigits(text, 5, 2);
  const auto day = ReadDigits(text, 8, 2);
  const auto hour = ReadDigits(text, 11, 2);
  const auto minute = ReadDigits(text, 14, 2);
  const auto second = ReadDigits(text, 17, 2);
  const auto milli = ReadDigits(text, 20, 3);
  if (!year || !month || !day || !hour || !minute || !second || !milli) {
    return std::nullopt;
  }
  const std::chrono::sys_days date = std::chrono::year(*year) / *month / *day;
  const std::chrono::milliseconds time =
      date.time_since_epoch() + std::chrono::hours(*hour) +
      std::chrono::minutes(*minute) + std::chrono::seconds(*second) +
      std::chrono::milliseconds(*milli);
  return time.count();
}

/// Removes the value that follows "name=" from the front of `text`. Returns
/// nullopt if its closing quote is missing.
std::optional<std::string> ConsumeValue(std::string_view* text) {
  if (text->empty() || text->front() != '"') {
    const std::string_view value = text->substr(0, text->find(' '));
    text->remove_prefix(value.size());
    return std::string(value);
  }
  std::string value;
  for (std::size_t it = 1; it < text->size(); ++it) {
    const char c = (*text)[it];
    if (c == '"') {
      text->remove_prefix(it + 1);
      return value;
    }
    const bool escaped = c == '\\' && it + 1 < text->size();
    value += escaped ? (*text)[++it] : c;
  }
  return std::nullopt;
}

bool ParseFields(std::string_view text, std::vector<LogField>* fields) {
  for (;;) {
    const auto begin = text.find_first_not_of(' ');
    if (begin == std::string_view::npos) {
      return true;
    }
    text.remove_prefix(begin);
    const auto equals = text.find('=');
    if (equals == std::string_view::npos) {
      return false;
    }
    std::string name(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    auto value = ConsumeValue(&text);
    if (!value) {
      return false;
    }
    fields->push_back({std::move(name), std::move(*value)});
  }
}

}  // namespace

std::string_view LogLine::Get(std::string_view name) const {
  for (const LogField& it : fields) {
    if (it.name == name) {
      return it.value;
    }
  }
  return {};
}

std::optional<double> LogLine::Number(std::string_view name) const {
  const std::string_view text = Get(name);
  double n = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole ? std::optional(n) : std::nullopt;
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  std::optional<std::int64_t> at_ms;
  while (!at_ms && !text.empty()) {
    at_ms = ReadTime(ConsumeWord(&text));
  }
  if (!at_ms) {
    return std::nullopt;
  }
  LogLine line;
  line.at_ms = *at_ms;
  ConsumeWord(&text);  // Severity.
  line.process = std::string(ConsumeWord(&text));
  ConsumeWord(&text);  // Event number.
  line.event = std::string(ConsumeWord(&text));
  if (line.event.empty() || !ParseFields(text, &line.fields)) {
    return std::nullopt;
  }
  return line;
}

}  // namespace indigolead::report
