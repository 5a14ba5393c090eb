#ifndef INDIGOLEAD_ENTRY_SIDE_ROLE_H_
#define INDIGOLEAD_ENTRY_SIDE_ROLE_H_

#include "core/config/deployment.h"
#include "core/request/request_types.h"

namespace indigolead {

/// Returns the role that the target of `side` has. A target that is no engine
/// counts as mixed.
inline EngineRole RoleOf(const SideInfo& side) {
  if (side.role == "prefill") {
    return EngineRole::kPrefill;
  }
  return side.role == "decode" ? EngineRole::kDecode : EngineRole::kMixed;
}

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_SIDE_ROLE_H_
