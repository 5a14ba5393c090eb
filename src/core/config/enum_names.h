#ifndef INDIGOLEAD_CORE_CONFIG_ENUM_NAMES_H_
#define INDIGOLEAD_CORE_CONFIG_ENUM_NAMES_H_

#include <optional>
#include <string_view>

#include "core/config/deployment.h"

namespace indigolead {

/// Returns "model" or "service", as written in declarations and in JSON.
constexpr std::string_view DeploymentKindName(DeploymentKind kind) {
  return kind == DeploymentKind::kModel ? "model" : "service";
}

/// Returns the kind with this name, or nothing.
constexpr std::optional<DeploymentKind> DeploymentKindFromName(
    std::string_view name) {
  if (name == "model") {
    return DeploymentKind::kModel;
  }
  if (name == "service") {
    return DeploymentKind::kService;
  }
  return std::nullopt;
}

/// Returns "mixed", "prefill" or "decode", as engines and orders write it.
constexpr std::string_view EngineRoleName(EngineRole role) {
  switch (role) {
    case EngineRole::kMixed:
      return "mixed";
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
  }
  return "mixed";
}

/// Returns the role with this name, or nothing.
constexpr std::optional<EngineRole> EngineRoleFromName(std::string_view name) {
  for (const EngineRole role :
       {EngineRole::kMixed, EngineRole::kPrefill, EngineRole::kDecode}) {
    if (name == EngineRoleName(role)) {
      return role;
    }
  }
  return std::nullopt;
}

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_ENUM_NAMES_H_
