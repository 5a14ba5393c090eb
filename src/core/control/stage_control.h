#ifndef INDIGOLEAD_CORE_CONTROL_STAGE_CONTROL_H_
#define INDIGOLEAD_CORE_CONTROL_STAGE_CONTROL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/deployment.h"
#include "core/control/decode_plan.h"
#include "core/placement/role_load.h"

namespace indigolead {

/// Order that assigns a role to an engine.
struct StageOrder {
  std::string instance;
  EngineRole role = EngineRole::kDecode;
  FencingNumber fencing_number = 0;

  friend bool operator==(const StageOrder&, const StageOrder&) = default;
};

/// Outcome of an order that was sent.
enum class StageOrderOutcome {
  kAccepted,  ///< The change is in progress or already done.
  kRefused,   ///< The order is known to have had no effect.
  kUnknown,   ///< No answer: the order may take effect seconds later.
};

/// Assigns the prefill and decode roles to the engines of one service whose
/// engines can change their role by an order.
///
/// Only the holder of the control lease may call `Tick` with a fencing number.
/// The current roles come from the engines' registrations, so a new holder
/// continues where the last one stopped. The plan follows the number of engines
/// and the load, averaged over several changes of the mix of prefill and decode
/// work: an order makes an engine unavailable for seconds, and the mix changes
/// faster than that. Each software version has decode engines of its own, see
/// `PlanDecodeEngines`.
class StageControl {
 public:
  struct Options {
    /// Minimum change of the plan, as a share of the engines and as a number of
    /// engines; a plan that is off by less is kept. One entry sees only part
    /// of the traffic: with a twentieth of it, its estimate of the load is off
    /// by up to a tenth. Each change makes an engine unavailable for seconds.
    double min_shift_share = 0.1;
    double min_shift_engines = 1;
    /// Time for which the load must require another plan before the plan is
    /// changed. Longer than the bursts of one kind of work, which the choice
    /// of the engine per request evens out.
    Duration shift_after = std::chrono::seconds(3);
    RoleMinimums minimums;
    /// Time for which the list of engines must be unchanged before the first
    /// orders. Engines register one after the other, and a partial list is no
    /// basis for a plan. Not applied once the plan has been reached.
    Duration settle_time = std::chrono::milliseconds(1500);
    /// Time after which an accepted order that does not show in the list is
    /// sent again: twice the time of a change plus the list's lag.
    Duration confirm_timeout = std::chrono::seconds(9);
    /// Delay after a refusal before the next order to the engine, in which
    /// another order can end.
    Duration retry_interval = std::chrono::seconds(1);
    /// Time after an order without answer in which nothing different may be
    /// sent to its engine; the order may still take effect up to 12 s later.
    Duration unknown_timeout = std::chrono::seconds(13);
    /// Maximum number of engines that change at once after the plan was reached
    /// for the first time; more would take too much capacity from running
    /// requests. Before that, engines have their initial roles and serve few
    /// requests, so all may change at once.
    std::uint32_t max_changing = 2;
    /// Time after a crash in which an engine does not count as decoding, unless
    /// it has registered again: longer than the platform lists a silent target,
    /// and than an outage of the store usually makes its list old.
    Duration down_after_crash = std::chrono::seconds(15);
    /// Time in which an engine that refused to decode is passed over if its
    /// software version has no decode engine.
    Duration skip_after_refusal = std::chrono::seconds(3);
  };

  explicit StageControl(Options options) : options_(options) {}

  /// Sets the complete list of the service's engines.
  void OnEngines(const std::vector<StagedEngine>& engines, TimePoint now);

  /// Handles a restart of an engine. An order to the previous incarnation has
  /// no effect on the new one: the sender adds the number of orders that the
  /// engine has taken since its start, and the engine refuses any other number.
  /// If the numbers of both incarnations happen to agree, the registration
  /// shows the resulting role, and the engine is ordered back.
  void OnRestarted(const std::string& instance) {
    sent_.erase(instance);
    down_until_.erase(instance);
  }

  /// Handles a crash of an engine that is still listed. If none of its software
  /// version decodes any more, another is planned without waiting for the list.
  void OnCrashed(const std::string& instance, TimePoint now);

  /// Updates the prefill and decode load of the engines. Returns the planned
  /// share of decode engines if it changed.
  std::optional<double> OnLoad(const RoleLoad& load, TimePoint now);
  /// Adopts the engines' current roles as the plan. A new holder does this
  /// because its predecessor may have seen more of the load.
  void AdoptRoles();

  /// Returns the orders to send now under `number`; none without a number.
  std::vector<StageOrder> Tick(std::optional<FencingNumber> number,
                               TimePoint now);

  /// Handles the outcome of an order returned by `Tick`.
  void OnOutcome(const StageOrder& order, StageOrderOutcome outcome,
                 TimePoint now);

  /// Returns the planned number of decode engines.
  std::size_t planned_decode() const;

 private:
  struct Sent {
    EngineRole role = EngineRole::kDecode;
    TimePoint no_order_before{};  ///< No order may be sent before this time.
    bool waiting = true;          ///< The change or its answer is outstanding.
  };

  /// An order that a plan requires.
  struct DueOrder {
    const StagedEngine* engine = nullptr;
    EngineRole role = EngineRole::kDecode;
    bool urgent = false;  ///< No engine of its version decodes, or will soon.
  };

  void SetDownUntil(const std::string& instance, TimePoint until);
  std::vector<const StagedEngine*> PlannedEngines() const;
  std::vector<std::string> PlanDecode() const;
  static bool IsOutstanding(const Sent& sent, TimePoint now);
  void UpdateDown(TimePoint now);
  bool MayOrder(const StagedEngine& engine, EngineRole role, TimePoint now);
  /// Returns the orders of a plan that are due, those of a software version
  /// that has no decode engine first.
  std::vector<DueOrder> DueOrders(const std::set<std::string>& decode,
                                  TimePoint now);
  bool Matches(const std::set<std::string>& decode) const;
  std::uint32_t CountChanging(TimePoint now) const;

  std::size_t CountUsable() const;

  Options options_;
  std::optional<double> decode_share_;  ///< Planned share of decode engines.
  std::optional<TimePoint> shift_since_;
  std::vector<StagedEngine> engines_;  ///< By name.
  TimePoint changed_at_{};
  bool plan_reached_ = false;  ///< The engines have matched the plan once.
  std::map<std::string, Sent> sent_;
  /// Until when a crashed engine counts as down, by name.
  std::map<std::string, TimePoint> down_until_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_STAGE_CONTROL_H_
