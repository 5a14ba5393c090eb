#ifndef INDIGOLEAD_ENTRY_EVENT_FIELDS_H_
#define INDIGOLEAD_ENTRY_EVENT_FIELDS_H_

#include <cstdint>
#include <cstdio>
#include <string>

#include "observe/event_fields.h"

namespace indigolead {

/// Returns the fingerprint of a request as 16 hexadecimal digits.
inline std::string FingerprintText(std::uint64_t fingerprint) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016llx",
                static_cast<unsigned long long>(fingerprint));
  return digits;
}

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_EVENT_FIELDS_H_
