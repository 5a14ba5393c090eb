#ifndef INDIGOLEAD_REPORT_LOG_LINE_H_
#define INDIGOLEAD_REPORT_LOG_LINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigolead::report {

/// A name and value in a log line.
struct LogField {
  std::string name;
  std::string value;

  friend bool operator==(const LogField&, const LogField&) = default;
};

/// A parsed line of a process log.
struct LogLine {
  std::int64_t at_ms = 0;  ///< Unix time on the clock of the process.
  std::string process;     ///< Such as "entry/front-oviedo-2".
  std::string event;       ///< Event name, such as "request-answered".
  std::vector<LogField> fields;

  /// Returns the value of the field, or an empty string.
  std::string_view Get(std::string_view name) const;
  /// Returns the value of the field as a number, or nullopt if it is not one.
  std::optional<double> Number(std::string_view name) const;

  friend bool operator==(const LogLine&, const LogLine&) = default;
};

/// Parses a log line written by `FormatEvent` and the log prefix: time,
/// severity, process, event number, event name, fields. Skips any text that a
/// log collector added before the time. Returns nullopt if the line is
/// truncated or not a log line. Control characters, which `FormatEvent` writes
/// as \xNN, are not restored.
std::optional<LogLine> ParseLogLine(std::string_view text);

}  // namespace indigolead::report

#endif  // INDIGOLEAD_REPORT_LOG_LINE_H_
