#ifndef INDIGOLEAD_CORE_REQUEST_PROMPT_PARTS_H_
#define INDIGOLEAD_CORE_REQUEST_PROMPT_PARTS_H_

#include <cstddef>
#include <vector>

#include "core/request/request_types.h"

namespace indigolead {

/// Returns the number of leading parts of a prompt that other requests are
/// expected to share: all but the last, or the only one.
inline std::size_t SharedPartCount(const std::vector<PromptPart>& parts) {
  return parts.size() > 1 ? parts.size() - 1 : parts.size();
}

/// Returns the ids of all parts but the last, which belongs to the request
/// itself or to its session.
inline std::vector<PromptPartId> LeadingPartIds(
    const std::vector<PromptPart>& parts) {
  std::vector<PromptPartId> ids;
  for (std::size_t n = 0; n + 1 < parts.size(); ++n) {
    ids.push_back(parts[n].id);
  }
  return ids;
}

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_PROMPT_PARTS_H_
