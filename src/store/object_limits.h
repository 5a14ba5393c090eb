#ifndef INDIGOLEAD_STORE_OBJECT_LIMITS_H_
#define INDIGOLEAD_STORE_OBJECT_LIMITS_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace indigolead {

/// Largest value of an object, in bytes, at every store in use.
inline constexpr std::size_t kMaxObjectBytes = 1U << 20;

/// Returns true for a key that every store takes: a-z A-Z 0-9 - _ . / and at
/// most 512 bytes.
bool IsObjectKey(std::string_view key);

/// Says what `IsObjectKey` and the size of a value allow, for errors.
inline constexpr char kObjectLimitsText[] =
    "expected a key of a-z A-Z 0-9 - _ . / and at most 1 MiB";

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_OBJECT_LIMITS_H_
