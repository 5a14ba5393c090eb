#ifndef INDIGOLEAD_CORE_CONFIG_VALUE_TEXT_H_
#define INDIGOLEAD_CORE_CONFIG_VALUE_TEXT_H_

// Parses and formats single values of settings and declarations. Amounts have a
// unit ("500ms", "64MiB"). A bare number is rejected, since a timeout of "5"
// meant as seconds but read as milliseconds would fail silently.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// Returns `text` without leading and trailing spaces, tabs and carriage
/// returns.
std::string_view TrimSpaces(std::string_view text);

/// Returns true if `text` is UTF-8 without control characters other than tabs.
bool IsPrintableUtf8(std::string_view text);

/// Splits `text` at commas and trims the parts, keeping empty ones. Empty text
/// has no parts.
std::vector<std::string> SplitList(std::string_view text);

/// Returns `items` joined by ", ".
std::string JoinList(const std::vector<std::string>& items);

/// Parses a duration of digits followed by "us", "ms", "s", "m" or "h".
std::optional<Duration> ParseDuration(std::string_view text);

/// Formats `duration`, in whole microseconds, with the largest unit that needs
/// no fraction.
std::string FormatDuration(Duration duration);

/// Parses a size of digits followed by "B", "KiB", "MiB" or "GiB".
std::optional<std::uint64_t> ParseSize(std::string_view text);

/// Formats `bytes` with the largest unit that needs no fraction.
std::string FormatSize(std::uint64_t bytes);

/// Parses a decimal integer. Returns nothing if it has other characters or does
/// not fit.
std::optional<std::int64_t> ParseInteger(std::string_view text);

/// Parses a number of digits and at most one decimal point.
std::optional<double> ParseNumber(std::string_view text);

/// Returns the shortest text that parses to `number`.
std::string FormatNumber(double number);

/// Parses "true" or "false". Returns nothing for any other text.
std::optional<bool> ParseBool(std::string_view text);

/// Returns true if `text` is an IPv4 address and a port, such as
/// "127.0.0.1:8080".
bool IsIpAndPort(std::string_view text);

/// Returns true if `text` has 1 to 64 characters of a-z 0-9 - _ . and
/// begins with a letter or digit. Names become keys of the object API.
bool IsName(std::string_view text);

/// Returns true if `text` consists of 64 lower-case hexadecimal digits.
bool IsSha256Text(std::string_view text);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_VALUE_TEXT_H_
