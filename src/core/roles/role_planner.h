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

/// One engine as the planner sees it.
struct RoleTarget {
  std::string instance;
  EngineRole role = EngineRole::kMixed;  ///< Last ordered.
  bool serving = true;                   ///< Up and in the role ordered.
  bool changing = false;  ///< A change ordered is not confirmed yet.
  bool leaving = false;

  friend bool operator==(const RoleTarget&, const RoleTarget&) = default;
};

/// Why a role is changed.
enum class RoleChangeCause {
  kGain,     ///< The gain exceeds the weighted cost.
  kMinimum,  ///< The specification asks for more engines in the role.
  kMissing,  ///< No engine is left that prefills, or none that decodes.
};

/// One role to change.
struct RoleChange {
  std::string instance;
  EngineRole from = EngineRole::kMixed;
  EngineRole to = EngineRole::kMixed;
  RoleChangeCause cause = RoleChangeCause::kGain;
  double gain_engine_s = 0;  ///< Work lost so far for want of the change.
  double cost_engine_s = 0;  ///< Work lost, weighted by `role_change_cost`.

  friend bool operator==(const RoleChange&, const RoleChange&) = default;
};

/// Decides which engine of one deployment changes its role, and when.
///
/// Sizing the roles to the mix of the moment is easy and wrong: a change takes
/// an engine away for seconds, and the mix has turned again when it is back;
/// what is seen then is a fleet that is always changing and never serving. How
/// long a mix will last is not known. So the planner sums up, for each possible
/// change, the work that is lost by not having made it, less what it would have
/// cost whenever the mix is the other way round; once the sum exceeds the
/// engine-seconds that the change takes, weighted by `role_change_cost`, it is
/// made. A swing that turns back in time costs nothing, and whatever the mix
/// does, waiting has lost about as much as the change costs, and no more.
///
/// Turning back waits for a dwell as well, and one change at a time bounds what
/// a wrong one costs.
///
/// What is ordered and what is in change comes with each call, from the store
/// and the sides. A controller that takes over in the middle of a change
/// therefore sees it, and neither repeats nor forgets it.
class RolePlanner {
 public:
  struct Options {
    /// Averages of the demand: for the gain of a change, and for whether
    /// quiet hours are to be broken.
    Duration fast = std::chrono::seconds(15);
    Duration slow = std::chrono::seconds(60);
    /// Demand to have seen before the first change.
    Duration warm_up = std::chrono::seconds(30);
    /// Time that a change takes an engine away, its drain included; the
    /// average of those seen takes its place.
    Duration change_time = std::chrono::seconds(15);
    /// Loss over cost above which a change is made.
    double hysteresis = 1.3;
    /// Gain below this share of all engines is taken for an error of the
    /// capacity model and counts against a change.
    double min_gain_share = 0.02;
    /// Loss is counted for at most so long between two calls.
    Duration max_step = std::chrono::seconds(5);
    /// Use of the engines up to which latency stays good: capacity is
    /// sized for the demand over this.
    double target_use = 0.85;
    /// A change that is not ordered within this time is planned anew.
    Duration order_timeout = std::chrono::seconds(15);
    /// A change that lasts longer no longer holds up others.
    Duration stuck_timeout = std::chrono::minutes(3);
    /// Share of the demand served below which even quiet hours are broken.
    double quiet_served_share = 0.5;
    std::uint32_t max_targets = 512;
  };

  explicit RolePlanner(const Options& options);

  /// Records the tokens that arrived in `length` up to `now`.
  void OnDemand(const TokenMix& mix, Duration length);

  /// Sets what an engine does in a second, as reported.
  void SetRates(const EngineRates& rates) { rates_ = rates; }

  /// Returns the next change to order, if any. `hour` is the local hour of
  /// the day, 0 to 23. Call about once a second.
  std::optional<RoleChange> Plan(const RoleSpec& spec,
                                 std::span<const RoleTarget> targets,
                                 std::uint32_t hour, TimePoint now);

 private:
  /// A step in the plane of role counts.
  struct Move {
    EngineRole from = EngineRole::kMixed;
    EngineRole to = EngineRole::kMixed;
    double rate = 0;  ///< Engine-seconds gained per second, for each step.

    friend bool operator==(const Move&, const Move&) = default;
  };

  bool ChangeInFlight(std::span<const RoleTarget> targets, TimePoint now);
  void NoteConfirmed(std::span<const RoleTarget> targets, TimePoint now);
  std::optional<RoleChange> PlanForced(const RoleSpec& spec,
                                       std::span<const RoleTarget> targets,
                                       const RoleCounts& counts, TimePoint now);
  std::optional<RoleChange> PlanGain(const RoleSpec& spec,
                                     std::span<const RoleTarget> targets,
                                     const RoleCounts& counts, TimePoint now);
  double Value(const RoleCounts& counts, const EngineDemand& demand) const;
  Move BestOf(EngineRole from, EngineRole to, const RoleSpec& spec,
              const RoleCounts& counts, const EngineDemand& demand) const;
  bool Reverses(const Move& move, const RoleSpec& spec, TimePoint now) const;
  std::optional<RoleChange> Order(const Move& move, RoleChangeCause cause,
                                  double loss_engine_s,
                                  std::span<const RoleTarget> targets,
                                  const RoleSpec& spec, TimePoint now);

  Options options_;
  EngineRates rates_;
  double change_time_s_;
  /// Work lost for want of each change, in engine-seconds, by roles.
  std::array<std::array<double, 3>, 3> loss_{};
  TimePoint planned_at_{};
  DemandAverage fast_;
  DemandAverage slow_;
  /// Change returned last, until it shows in the orders.
  std::optional<RoleChange> pending_;
  TimePoint pending_since_{};
  std::optional<RoleChange> last_;
  TimePoint last_at_{};
  /// Since when each engine has been in change; bounded by the targets given.
  std::map<std::string, TimePoint> changing_since_;
  std::map<std::string, TimePoint> changed_at_;
};

/// Returns true if `hour` lies in the quiet hours of `spec`, which may span
/// midnight.
bool IsQuietHour(const RoleSpec& spec, std::uint32_t hour);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROLES_ROLE_PLANNER_H_
