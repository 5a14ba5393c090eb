#ifndef INDIGOLEAD_CORE_CONFIG_VALUE_TEXT_H_
#define INDIGOLEAD_CORE_CONFIG_VALUE_TEXT_H_

// The text forms of single values in settings and declarations. Amounts carry
// their unit ("500ms", "64MiB"): a bare number is refused, since a timeout of
// "5" that was meant as seconds and read as milliseconds does harm silently.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// Returns `text` without spaces, tabs and carriage returns at its ends.
std::string_view TrimSpaces(std::string_view text);

/// Returns true if `text` is UTF-8 without control characters, tabs aside.
bool IsPrintableUtf8(std::string_view text);

/// Returns the parts of `text` between commas, trimmed; empty parts included.
/// Empty text has no parts.
std::vector<std::string> SplitList(std::string_view text);

/// Returns `items` joined by ", ".
std::string JoinList(const std::vector<std::string>& items);

/// Returns the duration written as digits and "us", "ms", "s", "m" or "h".
std::optional<Duration> ParseDuration(std::string_view text);

/// Returns `duration`, in whole microseconds, with the largest unit that
/// writes it without a fraction.
std::string FormatDuration(Duration duration);

/// Returns the bytes written as digits and "B", "KiB", "MiB" or "GiB".
std::optional<std::uint64_t> ParseSize(std::string_view text);

/// Returns `bytes` with the largest unit that writes it without a fraction.
std::string FormatSize(std::uint64_t bytes);

/// Returns the integer written in decimal, or nothing if it has other
/// characters or does not fit.
std::optional<std::int64_t> ParseInteger(std::string_view text);

/// Returns the number written with digits and at most one point.
std::optional<double> ParseNumber(std::string_view text);

/// Returns the shortest text that reads back as `number`.
std::string FormatNumber(double number);

/// Returns "true" and "false" as bool, and nothing for any other text.
std::optional<bool> ParseFlag(std::string_view text);

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
