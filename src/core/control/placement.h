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

/// What a side says of its engine.
enum class ObservedHealth { kUnknown, kUp, kDown, kChanging };

/// One engine as its side last described it.
struct TargetObservation {
  std::string name;
  std::string deployment;
  EngineRole role = EngineRole::kMixed;
  std::vector<std::string> models;  ///< Loaded, as name@version.
  std::vector<std::string> adapters;
  ObservedHealth health = ObservedHealth::kUnknown;
  std::uint64_t order_generation = 0;  ///< Newest order in force there.
  bool leaving = false;

  friend bool operator==(const TargetObservation&,
                         const TargetObservation&) = default;
};

/// Returns true if the engine is what `desired` asks for.
bool Matches(const TargetObservation& seen, const DesiredState& desired);

/// Role of each target of a deployment; a target left out keeps its role.
using Roles = std::map<std::string, EngineRole>;

/// Says which role each of a deployment's targets shall have. The targets are
/// in order of name, each with the role that it was last ordered to have.
using RolePlan = std::function<Roles(
    const DeploymentSpec&, const std::vector<TargetObservation>&, TimePoint)>;

/// Returns the roles that the specification fixes: `min_prefill` and
/// `min_decode` engines, the others mixed. Engines keep their role if it is
/// still wanted, so that a change of one number moves as few as possible.
Roles StaticRoles(const DeploymentSpec& spec,
                  const std::vector<TargetObservation>& targets);

/// Returns the desired state of each target: models shared out evenly, targets
/// keep a model that is still wanted, roles as in `roles`.
///
/// `targets` carry the role and models that they were last ordered to have,
/// not what they show in the middle of a change: otherwise a change under way
/// would move the targets beside it.
std::map<std::string, DesiredState> PlaceTargets(
    const DeploymentSpec& spec, const std::vector<TargetObservation>& targets,
    const Roles& roles);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_PLACEMENT_H_
