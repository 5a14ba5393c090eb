#include "core/config/value_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace indigolead {
namespace {

constexpr std::string_view kSpaces = " \t\r";

/// A unit and its size in the smallest unit.
struct AmountUnit {
  std::string_view suffix;
  std::uint64_t factor;
};

constexpr std::array<AmountUnit, 5> kDurationUnits = {{
    {"h", 3'600'000'000},
    {"m", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
}};

constexpr std::array<AmountUnit, 4> kSizeUnits = {{
    {"GiB", 1ULL << 30},
    {"MiB", 1ULL << 20},
    {"KiB", 1ULL << 10},
    {"B", 1},
}};

// Well above every accepted range, yet small enough for 64-bit nanoseconds.
constexpr std::uint64_t kMaxAmount = 1ULL << 50;

template <std::size_t kCount>
std::optional<std::uint64_t> ParseAmount(
    std::string_view text, const std::array<AmountUnit, kCount>& units) {
  const std::size_t digits =
      std::min(text.find_first_not_of("0123456789"), text.size());
  std::uint64_t amount = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + digits, amount);
  if (digits == 0 || parsed.ec != std::errc()) {
    return std::nullopt;
  }
  const std::string_view suffix = text.substr(digits);
  const auto unit =
      std::find_if(units.begin(), units.end(),
                   [&](const AmountUnit& it) { return it.suffix == suffix; });
  if (unit == units.end() || amount > kMaxAmount / unit->factor) {
    return std::nullopt;
  }
  return amount * unit->factor;
}

template <std::size_t kCount>
std::string FormatAmount(std::uint64_t amount,
                         const std::array<AmountUnit, kCount>& units) {
  const auto unit =
      std::find_if(units.begin(), units.end(), [&](const AmountUnit& it) {
        return amount != 0 && amount % it.factor == 0;
      });
  const AmountUnit& chosen = unit == units.end() ? units.back() : *unit;
  return std::to_string(amount / chosen.factor).append(chosen.suffix);
}

/// Returns the length of the UTF-8 character that `text` begins with, or 0.
std::size_t Utf8Length(std::string_view text) {
  const auto byte = [&](std::size_t i) {
    return static_cast<unsigned char>(text[i]);
  };
  const unsigned char first = byte(0);
  if (first < 0x80) {
    return 1;
  }
  const std::size_t length = first >= 0xF0 ? 4 : first >= 0xE0 ? 3 : 2;
  if (first < 0xC2 || first > 0xF4 || text.size() < length) {
    return 0;
  }
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(i) & 0xC0) != 0x80) {
      return 0;
    }
  }
  // Rejects overlong forms, surrogates and values above U+10FFFF.
  const bool invalid =
      (first == 0xE0 && byte(1) < 0xA0) || (first == 0xED && byte(1) > 0x9F) ||
      (first == 0xF0 && byte(1) < 0x90) || (first == 0xF4 && byte(1) > 0x8F);
  return invalid ? 0 : length;
}

bool IsIpV4(std::string_view text) {
  int parts = 0;
  while (true) {
    const std::size_t dot = text.find('.');
    const auto part = ParseInteger(text.substr(0, dot));
    if (!part || *part < 0 || *part > 255) {
      return false;
    }
    ++parts;
    if (dot == std::string_view::npos) {
      return parts == 4;
    }
    text = text.substr(dot + 1);
  }
}

}  // namespace

std::string_view TrimSpaces(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kSpaces);
  if (first == std::string_view::npos) {
    return "";
  }
  return text.substr(first, text.find_last_not_of(kSpaces) - first + 1);
}

bool IsPrintableUtf8(std::string_view text) {
  while (!text.empty()) {
    const auto first = static_cast<unsigned char>(text.front());
    if ((first < 0x20 && first != '\t') || first == 0x7F) {
      return false;
    }
    const std::size_t length = Utf8Length(text);
    if (length == 0) {
      return false;
    }
    text.remove_prefix(length);
  }
  return true;
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  if (TrimSpaces(text).empty()) {
    return items;
  }
  while (true) {
    const std::size_t comma = text.find(',');
    items.emplace_back(TrimSpaces(text.substr(0, comma)));
    if (comma == std::string_view::npos) {
      return items;
    }
    text = text.substr(comma + 1);
  }
}

std::string JoinList(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& it : items) {
    text.append(text.empty() ? "" : ", ").append(it);
  }
  return text;
}

std::optional<Duration> ParseDuration(std::string_view text) {
  const auto micros = ParseAmount(text, kDurationUnits);
  if (!micros) {
    return std::nullopt;
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(*micros));
}

std::string FormatDuration(Duration duration) {
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(duration);
  if (micros.count() == 0) {
    return "0s";
  }
  return FormatAmount(static_cast<std::uint64_t>(micros.count()),
                      kDurationUnits);
}

std::optional<std::uint64_t> ParseSize(std::string_view text) {
  return ParseAmount(text, kSizeUnits);
}

std::string FormatSize(std::uint64_t bytes) {
  return FormatAmount(bytes, kSizeUnits);
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end ||
      !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

std::string FormatNumber(double number) {
  std::array<char, 400> buf{};
  const auto written = std::to_chars(buf.data(), buf.data() + buf.size(),
                                     number, std::chars_format::fixed);
  return {buf.data(), written.ptr};
}

std::optional<bool> ParseBool(std::string_view text) {
  if (text == "true") {
    return true;
  }
  if (text == "false") {
    return false;
  }
  return std::nullopt;
}

bool IsIpAndPort(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const auto port = ParseInteger(text.substr(colon + 1));
  return IsIpV4(text.substr(0, colon)) && port && *port >= 0 &&
         *port <= std::numeric_limits<std::uint16_t>::max();
}

bool IsName(std::string_view text) {
  constexpr std::size_t kMaxNameBytes = 64;
  constexpr std::string_view kLettersAndDigits =
      "abcdefghijklmnopqrstuvwxyz0123456789";
  if (text.empty() || text.size() > kMaxNameBytes ||
      kLettersAndDigits.find(text.front()) == std::string_view::npos) {
    return false;
  }
  return text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_.") ==
         std::string_view::npos;
}

bool IsSha256Text(std::string_view text) {
  constexpr std::size_t kSha256Digits = 64;
  return text.size() == kSha256Digits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace indigolead
