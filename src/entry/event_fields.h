#ifndef INDIGOLEAD_ENTRY_EVENT_FIELDS_H_
#define INDIGOLEAD_ENTRY_EVENT_FIELDS_H_

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "core/request/prompt_parts.h"
#include "observe/event_fields.h"

namespace indigolead {

/// Returns the fingerprint of a request as 16 hexadecimal digits.
inline std::string FingerprintText(std::uint64_t fingerprint) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016llx",
                static_cast<unsigned long long>(fingerprint));
  return digits;
}

/// Returns the id of a prompt part as a caller writes it.
inline std::string PartText(std::uint64_t part) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%llx",
                static_cast<unsigned long long>(part));
  return digits;
}

/// Returns the ids of the parts that a prompt may share with others, joined by
/// commas; only the first few of a long prompt.
inline std::string SharedPartsText(const std::vector<PromptPart>& parts) {
  constexpr std::size_t kMaxLogged = 8;
  std::string text;
  for (std::size_t n = 0; n < SharedPartCount(parts) && n < kMaxLogged; ++n) {
    text += (n == 0 ? "" : ",") + PartText(parts[n].id);
  }
  return text;
}

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_EVENT_FIELDS_H_
