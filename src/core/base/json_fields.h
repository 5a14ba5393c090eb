#ifndef INDIGOLEAD_CORE_BASE_JSON_FIELDS_H_
#define INDIGOLEAD_CORE_BASE_JSON_FIELDS_H_

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "core/base/time.h"

namespace indigolead {

/// Maximum time that a field may state, in milliseconds: 365 days. Sums of
/// such times fit in a `Duration`.
inline constexpr std::int64_t kMaxFieldMilliseconds = 31'536'000'000;

/// Throws the library's error for a value that is out of its range or not of
/// its type. Names `field` and what was `expected`, never the value.
[[noreturn]] void ThrowInvalidField(const std::string& field,
                                    const std::string& expected);

/// Returns the member `field` of `object`, or null if it is missing; throws a
/// `nlohmann::json::exception` if `object` is not an object.
const nlohmann::json* FindMember(const nlohmann::json& object,
                                 const char* field);

/// Returns `value` as an integer if it is one in the range of `T`.
///
/// The library's `get()` would truncate a fraction, wrap a number that is too
/// large, and has undefined behaviour for a large floating-point number.
template <std::integral T>
std::optional<T> ToInteger(const nlohmann::json& value) {
  if (value.is_number_unsigned()) {
    const auto n = value.get<std::uint64_t>();
    return std::in_range<T>(n) ? std::optional(static_cast<T>(n))
                               : std::nullopt;
  }
  if (!value.is_number_integer()) {
    return std::nullopt;
  }
  const auto n = value.get<std::int64_t>();
  return std::in_range<T>(n) ? std::optional(static_cast<T>(n)) : std::nullopt;
}

/// Returns the integer `value` of `field`; throws a `nlohmann::json::exception`
/// if it is anything else or not from `min` to `max`.
template <std::integral T>
T CheckedInteger(const nlohmann::json& value, const std::string& field,
                 T min = std::numeric_limits<T>::min(),
                 T max = std::numeric_limits<T>::max()) {
  const auto n = ToInteger<T>(value);
  if (!n || *n < min || *n > max) {
    ThrowInvalidField(field, "an integer from " + std::to_string(min) + " to " +
                                 std::to_string(max));
  }
  return *n;
}

/// Returns the integer in the member `field` of `object`; throws a
/// `nlohmann::json::exception` if the member is missing, is anything else or is
/// not from `min` to `max`.
template <std::integral T>
T IntegerAt(const nlohmann::json& object, const char* field,
            T min = std::numeric_limits<T>::min(),
            T max = std::numeric_limits<T>::max()) {
  return CheckedInteger<T>(object.at(field), field, min, max);
}

/// Like `IntegerAt()`, but returns `otherwise` if the member is missing.
template <std::integral T>
T IntegerOr(const nlohmann::json& object, const char* field, T otherwise,
            T min = std::numeric_limits<T>::min(),
            T max = std::numeric_limits<T>::max()) {
  const nlohmann::json* value = FindMember(object, field);
  return value ? CheckedInteger<T>(*value, field, min, max) : otherwise;
}

/// Returns the number in the member `field` of `object`, or `otherwise` if the
/// member is missing; throws a `nlohmann::json::exception` if it is not a
/// number from 0 to `max`.
double NumberOr(const nlohmann::json& object, const char* field,
                double otherwise, double max);

/// Returns the milliseconds in the member `field` of `object`, at most
/// `kMaxFieldMilliseconds`; throws a `nlohmann::json::exception` if the member
/// is missing or not a number of at least 0.
Duration MillisecondsAt(const nlohmann::json& object, const char* field);

/// Like `MillisecondsAt()`, but returns `otherwise` if the member is missing.
Duration MillisecondsOr(const nlohmann::json& object, const char* field,
                        Duration otherwise);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_BASE_JSON_FIELDS_H_
