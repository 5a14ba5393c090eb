#ifndef INDIGOLEAD_CORE_ROLES_ROLE_PLANNER_H_
#define INDIGOLEAD_CORE_ROLES_ROLE_PLANNER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/config/deployment.h"
#include "core/roles/demand_average.h"
#include "core/roles/role_capacity.h"

namespace indigolead {

/// State of one engine, as input to the planner.
struct RoleTarget {
  std::string instance;
  EngineRole role = EngineRole::kMixed;  ///< Most recently requested role.
  bool serving = true;                   ///< Up and in the requested role.
  bool changing = false;  ///< A requested change is not confirmed yet.
  bool leaving = false;

  friend bool operator==(const RoleTarget&, const RoleTarget&) = default;
};

/// Reason for a role change.
enum class RoleChangeCause {
  kGain,     ///< The accumulated loss exceeds the weighted cost.
  kMinimum,  ///< The specification requires more engines in the role.
  kMissing,  ///< No engine prefills, or none decodes.
};

/// Role change of one engine.
struct RoleChange {
  std::string instance;
  EngineRole from = EngineRole::kMixed;
  EngineRole to = EngineRole::kMixed;
  RoleChangeCause cause = RoleChangeCause::kGain;
  double gain_engine_s = 0;  ///< Accumulated gain missed without the change.
  double cost_engine_s = 0;  ///< Work lost by it, times `role_change_cost`.

  friend bool operator==(const RoleChange&, const RoleChange&) = default;
};

/// Decides which engines of one deployment change their role, and when.
///
/// Matching the roles to the current mix would fail: a change takes an engine
/// out of service for seconds, and the mix may have changed again when the
/// engine returns, so that engines would keep changing roles instead of
/// serving. Since the duration of a mix is unknown, the planner accumulates,
/// for each possible change, the work lost by not having made it, less the work
/// that it would have cost while the mix favored the current roles. It makes
/// the change once the sum exceeds the engine-seconds that the change takes,
/// weighted by `role_change_cost`. Short swings of the mix thus cause no
/// change, and waiting never loses much more than the cost of the change.
///
/// A change for its gain must not reverse the last one, in either role, within
/// the dwell time, and does not use an engine that changed within it. Only one
/// change is made at a time, which limits the cost of a wrong one.
///
/// Requested and unfinished changes are passed in with each call, as known to
/// the store and the engines' sides. A controller that takes over during a
/// change therefore neither repeats nor loses it.
class RolePlanner {
 public:
  struct Options {
    /// Time constants of the averages of the demand: `fast_time_constant`
    /// determines the gain of a change, `slow_time_constant` whether a change
    /// is allowed in quiet hours.
    Duration fast_time_constant = std::chrono::seconds(15);
    Duration slow_time_constant = std::chrono::seconds(60);
    /// Minimum observation of the demand before a change for its gain.
    Duration warm_up = std::chrono::seconds(30);
    /// Initial estimate of the time for which a change takes an engine out of
    /// service, including its drain. Updated from observed changes.
    Duration change_time = std::chrono::seconds(15);
    /// Ratio of loss to cost above which a change is made.
    double hysteresis = 1.3;
    /// A gain below this share of all engines is within the error of the
    /// capacity model and counts against a change.
    double min_gain_share = 0.02;
    /// Maximum time between two calls for which loss is accumulated.
    Duration max_step = std::chrono::seconds(5);
    /// Utilization of the engines up to which latency stays good. The capacity
    /// is sized for the demand divided by this.
    double max_utilization = 0.85;
    /// A returned change that is not ordered within this time is planned again.
    Duration order_timeout = std::chrono::seconds(15);
    /// A change that takes longer no longer blocks others.
    Duration stuck_timeout = std::chrono::minutes(3);
    /// If less than this share of the demand is served, changes are made even
    /// in quiet hours.
    double quiet_served_share = 0.5;
    std::uint32_t max_targets = 512;
  };

  explicit RolePlanner(const Options& options);

  /// Records the demand observed over the last `length`.
  void OnDemand(const TokenMix& mix, Duration length);

  /// Sets the reported rates of an engine.
  void SetRates(const EngineRates& rates) { rates_ = rates; }

  /// Returns the next change to order, if any. `hour` is the local hour of
  /// the day, 0 to 23. Call about once a second.
  std::optional<RoleChange> Plan(const RoleSpec& spec,
                                 std::span<const RoleTarget> targets,
                                 std::uint32_t hour, TimePoint now);

 private:
  /// Change of one engine from one role to another.
  struct Transition {
    EngineRole from = EngineRole::kMixed;
    EngineRole to = EngineRole::kMixed;
    double rate = 0;  ///< Engine-seconds gained per second, per engine.

    friend bool operator==(const Transition&, const Transition&) = default;
  };

  bool UpdateChangeInFlight(std::span<const RoleTarget> targets, TimePoint now);
  void RecordChangeTimes(std::span<const RoleTarget> targets, TimePoint now);
  std::optional<RoleChange> PlanForced(const RoleSpec& spec,
                                       std::span<const RoleTarget> targets,
                                       const RoleCounts& counts, TimePoint now);
  std::optional<RoleChange> PlanGain(const RoleSpec& spec,
                                     std::span<const RoleTarget> targets,
                                     const RoleCounts& counts, TimePoint now);
  double ServedEngines(const RoleCounts& counts,
                       const EngineDemand& demand) const;
  Transition BestTransition(EngineRole from, EngineRole to,
                            const RoleSpec& spec, const RoleCounts& counts,
                            const EngineDemand& demand) const;
  bool ReversesLastChange(const Transition& transition, const RoleSpec& spec,
                          TimePoint now) const;
  std::optional<RoleChange> OrderChange(const Transition& transition,
                                        RoleChangeCause cause,
                                        double loss_engine_s,
                                        std::span<const RoleTarget> targets,
                                        const RoleSpec& spec, TimePoint now);

  Options options_;
  EngineRates rates_;
  double change_time_s_;
  /// Work lost without each change, in engine-seconds, by its old and new role.
  std::array<std::array<double, 3>, 3> loss_{};
  TimePoint planned_at_{};
  DemandAverage fast_demand_;
  DemandAverage slow_demand_;
  /// Change returned last, until its order is visible in the targets.
  std::optional<RoleChange> pending_;
  TimePoint pending_since_{};
  std::optional<RoleChange> last_change_;
  TimePoint last_change_at_{};
  /// Start of the change of each changing engine; at most `max_targets`.
  std::map<std::string, TimePoint> changing_since_;
  std::map<std::string, TimePoint> changed_at_;
};

/// Returns true if `hour` lies in the quiet hours of `spec`, which may span
/// midnight.
bool IsQuietHour(const RoleSpec& spec, std::uint32_t hour);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROLES_ROLE_PLANNER_H_
