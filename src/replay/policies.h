#ifndef INDIGOLEAD_REPLAY_POLICIES_H_
#define INDIGOLEAD_REPLAY_POLICIES_H_

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/admission/admission.h"
#include "core/roles/role_planner.h"
#include "core/routing/router.h"

namespace indigolead::replay {

/// Chooses a target. `serving` holds the targets to choose from, at least one.
using ChooseHook = std::function<RouteDecision(
    Router*, const RouteQuery&, std::span<const TargetHandle> serving,
    TimePoint)>;

/// Chooses the next role change. `loads` holds the newest reports, in the
/// order of the targets.
using RoleHook = std::function<std::optional<RoleChange>(
    RolePlanner*, const RoleSpec&, std::span<const RoleTarget>,
    std::span<const TargetLoadReport> loads, std::uint32_t hour, TimePoint)>;

/// One way to run a trace: the decisions, and options that switch one off.
struct Policy {
  std::string name;
  ChooseHook choose;
  RoleHook roles;
  RouterOptions router;
  AdmissionOptions admission;
  RolePlanner::Options planner;
  double retry_share = 0.1;
  bool all_mixed = false;    ///< Starts with mixed engines, whatever is set.
  bool refuse_early = true;  ///< Off: no deadline is judged before it passes.
};

/// Returns the product's own decisions.
Policy OwnPolicy();

/// Returns the policies to compare with, or nothing if `name` is unknown:
/// baselines ("random", "round-robin", ...) and own decisions with one
/// mechanism switched off ("no-cache", "no-correction", ...).
std::optional<Policy> FindPolicy(const std::string& name);

/// Returns the names of the baselines, then those of the ablations.
const std::vector<std::string>& PolicyNames();

}  // namespace indigolead::replay

#endif  // INDIGOLEAD_REPLAY_POLICIES_H_
