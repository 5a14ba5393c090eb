#include "core/base/json_fields.h"

#include <algorithm>
#include <chrono>

namespace indigolead {
namespace {

/// Identifies the library's error for a value out of its range.
constexpr int kOutOfRange = 401;

}  // namespace

void ThrowInvalidField(const std::string& field, const std::string& expected) {
  throw nlohmann::json::out_of_range::create(
      kOutOfRange, "\"" + field + "\" is not " + expected, nullptr);
}

const nlohmann::json* FindMember(const nlohmann::json& object,
                                 const char* field) {
  if (!object.is_object()) {
    ThrowInvalidField(field, "a member of an object");
  }
  const auto it = object.find(field);
  return it == object.end() ? nullptr : &*it;
}

double NumberOr(const nlohmann::json& object, const char* field,
                double otherwise, double max) {
  const nlohmann::json* value = FindMember(object, field);
  if (!value) {
    return otherwise;
  }
  const double n = value->is_number() ? value->get<double>() : -1;
  if (n < 0 || n > max) {
    ThrowInvalidField(field, "a number in the valid range");
  }
  return n;
}

Duration MillisecondsAt(const nlohmann::json& object, const char* field) {
  const nlohmann::json& value = object.at(field);
  if (!value.is_number() || value.get<double>() < 0) {
    ThrowInvalidField(field, "a number of milliseconds of at least 0");
  }
  const double milliseconds =
      std::min(value.get<double>(), static_cast<double>(kMaxFieldMilliseconds));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

Duration MillisecondsOr(const nlohmann::json& object, const char* field,
                        Duration otherwise) {
  return FindMember(object, field) ? MillisecondsAt(object, field) : otherwise;
}

}  // namespace indigolead
