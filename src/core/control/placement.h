#ifndef INDIGOLEAD_CORE_CONTROL_PLACEMENT_H_
#define INDIGOLEAD_CORE_CONTROL_PLACEMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/config/deployment.h"
#include "core/control/orders.h"

namespace indigolead {

/// Health of an engine as reported by its side.
enum class ObservedHealth { kUnknown, kUp, kDown, kChanging };

/// State of one engine as last reported by its side.
struct TargetObservation {
  std::string name;
  std::string deployment;
  EngineRole role = EngineRole::kMixed;
  std::vector<std::string> models;  ///< Loaded, as name@version.
  std::vector<std::string> adapters;
  ObservedHealth health = ObservedHealth::kUnknown;
  std::uint64_t order_generation = 0;  ///< Newest order in force at the engine.
  bool leaving = false;

  friend bool operator==(const TargetObservation&,
                         const TargetObservation&) = default;
};

/// Returns true if the engine has the role, model and adapters of `desired`.
bool Matches(const TargetObservation& seen, const DesiredState& desired);

/// Role of each target of a deployment; a target that is not listed keeps its
/// role.
using Roles = std::map<std::string, EngineRole>;

/// Computes the role of each target of a deployment. The targets are sorted by
/// name, and each carries the role of its last order.
using RolePlan = std::function<Roles(
    const DeploymentSpec&, const std::vector<TargetObservation>&, TimePoint)>;

/// Returns the roles fixed by the specification: `min_prefill` and `min_decode`
/// engines, the others mixed. Engines keep their role if it is still needed, so
/// that a change of one number moves as few engines as possible.
Roles StaticRoles(const DeploymentSpec& spec,
                  const std::vector<TargetObservation>& targets);

/// Returns the desired state of each target. Models are distributed evenly,
/// targets keep a model that is still wanted, and roles come from `roles`.
///
/// `targets` carry the role and models of their last order, not those observed
/// during a change. Otherwise a change in progress would move other targets.
std::map<std::string, DesiredState> PlaceTargets(
    const DeploymentSpec& spec, const std::vector<TargetObservation>& targets,
    const Roles& roles);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_PLACEMENT_H_
