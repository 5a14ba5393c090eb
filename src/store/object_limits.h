#ifndef INDIGOLEAD_STORE_OBJECT_LIMITS_H_
#define INDIGOLEAD_STORE_OBJECT_LIMITS_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace indigolead {

/// Largest value of an object, in bytes, that every supported store accepts.
inline constexpr std::size_t kMaxObjectBytes = 1U << 20;

/// Returns true if every supported store accepts `key`: 1 to 512 bytes of a-z
/// A-Z 0-9 - _ . /
bool IsObjectKey(std::string_view key);

/// Error text that states the limits on keys and values.
inline constexpr char kObjectLimitsText[] =
    "expected a key of a-z A-Z 0-9 - _ . / and at most 1 MiB";

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_OBJECT_LIMITS_H_
