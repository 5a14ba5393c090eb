#ifndef INDIGOLEAD_ENTRY_EVENT_FIELDS_H_
#define INDIGOLEAD_ENTRY_EVENT_FIELDS_H_

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>

#include "core/base/time.h"

namespace indigolead {

/// Returns a length as the value of an event's field whose name ends in "_ms".
inline std::string Milliseconds(Duration length) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

/// Returns the fingerprint of a request as 16 hexadecimal digits.
inline std::string FingerprintText(std::uint64_t fingerprint) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016llx",
                static_cast<unsigned long long>(fingerprint));
  return digits;
}

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_EVENT_FIELDS_H_
