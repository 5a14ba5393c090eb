#include "core/control/placement.h"

#include <algorithm>
#include <cstddef>

namespace indigolead {
namespace {

std::vector<std::string> Sorted(std::vector<std::string> names) {
  std::sort(names.begin(), names.end());
  return names;
}

// Returns true if `target` serves `model` in any version. A new version of a
// model goes to the engines that have the old one.
bool ServesModel(const TargetObservation& target, const ModelSpec& model) {
  const std::string start = model.name + "@";
  return std::any_of(
      target.models.begin(), target.models.end(),
      [&](const std::string& loaded) { return loaded.starts_with(start); });
}

// Returns how many of `targets` targets serve model `i` of `models`.
std::size_t TargetsForModel(std::size_t targets, std::size_t models,
                            std::size_t i) {
  return targets / models + (i < targets % models ? 1 : 0);
}

// Assigns `role` to up to `wanted` targets, first to those that have it
// already.
void AssignRole(EngineRole role, std::size_t wanted,
                const std::vector<TargetObservation>& targets, Roles* roles) {
  for (const bool keep : {true, false}) {
    for (const TargetObservation& target : targets) {
      const bool fits = !keep || target.role == role;
      if (wanted > 0 && fits && roles->emplace(target.name, role).second) {
        --wanted;
      }
    }
  }
}

}  // namespace

bool Matches(const TargetObservation& seen, const DesiredState& desired) {
  const std::string model = desired.model + "@" + desired.version;
  const bool loaded = std::find(seen.models.begin(), seen.models.end(),
                                model) != seen.models.end();
  return loaded && seen.role == desired.role &&
         Sorted(seen.adapters) == Sorted(desired.adapters);
}

Roles StaticRoles(const DeploymentSpec& spec,
                  const std::vector<TargetObservation>& targets) {
  Roles roles;
  AssignRole(EngineRole::kPrefill, spec.roles.min_prefill, targets, &roles);
  AssignRole(EngineRole::kDecode, spec.roles.min_decode, targets, &roles);
  AssignRole(EngineRole::kMixed, targets.size(), targets, &roles);
  return roles;
}

std::map<std::string, DesiredState> PlaceTargets(
    const DeploymentSpec& spec, const std::vector<TargetObservation>& targets,
    const Roles& roles) {
  std::map<std::string, DesiredState> placed;
  if (spec.models.empty()) {
    return placed;
  }
  std::vector<std::size_t> remaining(spec.models.size());
  for (std::size_t i = 0; i < remaining.size(); ++i) {
    remaining[i] = TargetsForModel(targets.size(), remaining.size(), i);
  }
  for (const bool keep : {true, false}) {
    for (const TargetObservation& target : targets) {
      for (std::size_t i = 0; i < remaining.size(); ++i) {
        const ModelSpec& model = spec.models[i];
        const bool fits = !keep || ServesModel(target, model);
        if (remaining[i] == 0 || !fits || placed.contains(target.name)) {
          continue;
        }
        const auto role = roles.find(target.name);
        placed.emplace(
            target.name,
            DesiredState{role == roles.end() ? target.role : role->second,
                         model.name, model.version, model.adapters, false});
        --remaining[i];
      }
    }
  }
  return placed;
}

}  // namespace indigolead
