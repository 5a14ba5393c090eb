#ifndef INDIGOLEAD_CORE_REQUEST_RUNNING_REQUEST_H_
#define INDIGOLEAD_CORE_REQUEST_RUNNING_REQUEST_H_

#include <vector>

#include "core/request/fingerprint.h"
#include "core/request/prompt_parts.h"

namespace indigolead {

/// What may have caused the crash of a target that ran a request.
struct RunningRequest {
  Fingerprint fingerprint = 0;
  std::vector<PromptPartId> parts;  ///< See `LeadingPartIds`.

  friend bool operator==(const RunningRequest&,
                         const RunningRequest&) = default;
};

inline RunningRequest RunningRequestOf(const CallerRequest& request) {
  return {request.fingerprint, LeadingPartIds(request.prompt_parts)};
}

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_RUNNING_REQUEST_H_
