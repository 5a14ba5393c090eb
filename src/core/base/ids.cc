#include "core/base/ids.h"

#include <charconv>

namespace indigolead {
namespace {

constexpr std::size_t kHalfHexDigits = 16;
constexpr std::size_t kHalfBytes = 8;

void AppendHex(std::uint64_t half, std::string* out) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  for (int shift = 60; shift >= 0; shift -= 4) {
    out->push_back(kDigits[(half >> shift) & 0xF]);
  }
}

std::optional<std::uint64_t> ParseHex(std::string_view digits) {
  std::uint64_t half = 0;
  const char* end = digits.data() + digits.size();
  const auto [next, ec] = std::from_chars(digits.data(), end, half, 16);
  if (ec != std::errc() || next != end) {
    return std::nullopt;
  }
  return half;
}

void AppendBytes(std::uint64_t half, std::string* out) {
  for (int shift = 56; shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>((half >> shift) & 0xFF));
  }
}

std::uint64_t ReadBytes(std::string_view bytes) {
  std::uint64_t half = 0;
  for (const char c : bytes) {
    half = (half << 8) | static_cast<unsigned char>(c);
  }
  return half;
}

}  // namespace

std::string ToHex(const Id128& id) {
  std::string out;
  out.reserve(2 * kHalfHexDigits);
  AppendHex(id.hi, &out);
  AppendHex(id.lo, &out);
  return out;
}

std::optional<Id128> Id128FromHex(std::string_view hex) {
  if (hex.size() != 2 * kHalfHexDigits) {
    return std::nullopt;
  }
  const auto hi = ParseHex(hex.substr(0, kHalfHexDigits));
  const auto lo = ParseHex(hex.substr(kHalfHexDigits));
  if (!hi || !lo) {
    return std::nullopt;
  }
  return Id128{*hi, *lo};
}

std::string ToBytes(const Id128& id) {
  std::string out;
  out.reserve(2 * kHalfBytes);
  AppendBytes(id.hi, &out);
  AppendBytes(id.lo, &out);
  return out;
}

std::optional<Id128> Id128FromBytes(std::string_view bytes) {
  if (bytes.size() != 2 * kHalfBytes) {
    return std::nullopt;
  }
  return Id128{ReadBytes(bytes.substr(0, kHalfBytes)),
               ReadBytes(bytes.substr(kHalfBytes))};
}

}  // namespace indigolead
