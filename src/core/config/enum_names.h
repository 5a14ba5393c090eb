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

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_ENUM_NAMES_H_
