#ifndef INDIGOLEAD_REPORT_LOG_LINE_H_
#define INDIGOLEAD_REPORT_LOG_LINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigolead::report {

/// One name and value of a log line.
struct LogField {
  std::string name;
  std::string value;

  friend bool operator==(const LogField&, const LogField&) = default;
};

/// One line of a process's log.
struct LogLine {
  std::int64_t at_ms = 0;  ///< Unix time by the process's own clock.
  std::string process;     ///< Such as "entry/front-oviedo-2".
  std::string event;       ///< Its name, such as "request-answered".
  std::vector<LogField> fields;

  /// Returns the value of the field, or an empty text.
  std::string_view Get(std::string_view name) const;
  /// Returns the value of the field as a number; nothing if it is none.
  std::optional<double> Number(std::string_view name) const;

  friend bool operator==(const LogLine&, const LogLine&) = default;
};

/// Reads one line as `FormatEvent` and the log's front matter write it: time,
/// severity, process, number, event, fields. What a collector wrote before the
/// time is passed over. Returns nothing if the line is cut or no log line.
std::optional<LogLine> ParseLogLine(std::string_view text);

}  // namespace indigolead::report

#endif  // INDIGOLEAD_REPORT_LOG_LINE_H_
