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

/// Chooses one of the targets in `serving`, which is not empty.
using ChooseHook = std::function<RouteDecision(
    Router*, const RouteQuery&, std::span<const TargetHandle> serving,
    TimePoint)>;

/// Chooses the next role change. `loads` holds the latest load reports in the
/// order of the targets.
using RoleHook = std::function<std::optional<RoleChange>(
    RolePlanner*, const RoleSpec&, std::span<const RoleTarget>,
    std::span<const TargetLoadReport> loads, std::uint32_t hour, TimePoint)>;

/// Decisions and options to replay a trace with.
struct Policy {
  std::string name;
  ChooseHook choose;
  RoleHook roles;
  RouterOptions router;
  AdmissionOptions admission;
  RolePlanner::Options planner;
  double retry_share = 0.1;
  bool all_mixed = false;    ///< Starts all engines as mixed.
  bool refuse_early = true;  ///< Rejects requests expected to be late.
};

/// Returns the production policy.
Policy ProductionPolicy();

/// Returns the policy called `name`, or nullopt if it is unknown. Besides the
/// production policy ("own") there are baselines ("random", "round-robin", ...)
/// and ablations of the production policy, each with one mechanism switched off
/// ("no-cache", "no-correction", ...).
std::optional<Policy> FindPolicy(const std::string& name);

/// Returns the names of the baselines, then those of the ablations.
const std::vector<std::string>& PolicyNames();

}  // namespace indigolead::replay

#endif  // INDIGOLEAD_REPLAY_POLICIES_H_
