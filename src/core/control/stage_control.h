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
#include "core/placement/role_load.h"

namespace indigolead {

/// One engine as its registration shows it.
struct StagedEngine {
  std::string instance;
  std::string failure_domain;
  EngineRole role = EngineRole::kDecode;
  bool leaving = false;

  friend bool operator==(const StagedEngine&, const StagedEngine&) = default;
};

/// Tells an engine to take a role.
struct StageOrder {
  std::string instance;
  EngineRole role = EngineRole::kDecode;
  FencingNumber fencing_number = 0;

  friend bool operator==(const StageOrder&, const StageOrder&) = default;
};

/// What became of an order that was sent.
enum class StageOrderOutcome {
  kAccepted,  ///< Being carried out, or already so.
  kRefused,   ///< Provably without effect.
  kUnknown,   ///< No answer: it may be carried out seconds later.
};

/// Decides which engines of one service read prompts and which make answers,
/// where the engines take either role by an order.
///
/// Only the holder of the control lease may call `Tick` with a fencing number.
/// What engines do comes from their registrations, so a new holder continues
/// where the last one stopped. The plan follows the load, averaged over several
/// turns of the mix of prompts and answers, and the number of engines: an order
/// takes an engine away for seconds, and the mix turns faster than that.
class StageControl {
 public:
  struct Options {
    /// A plan that is off by less is kept: of the engines, and in engines. The
    /// load of an entry that sees a twentieth of the traffic is known to a
    /// tenth, and each change takes an engine away for seconds.
    double least_shift_share = 0.1;
    double least_shift_engines = 1;
    /// For so long the load must ask for another plan: longer than the bursts
    /// of one kind, which placing carries.
    Duration shift_after = std::chrono::seconds(3);
    /// Below this one loss would leave a single engine for all answers. Where
    /// there are more failure domains, each has one: a domain's loss, or the
    /// seconds in which no entry may give orders, must not stop all answers.
    std::uint32_t min_decode = 2;
    /// Below this one loss would leave a single engine for all prompts.
    std::uint32_t min_prefill = 2;
    /// The list of engines must have stood still for so long before the first
    /// orders: engines register one after the other, and a part of them is no
    /// measure. Later the list may change all the time.
    Duration settle_time = std::chrono::milliseconds(1500);
    /// An accepted order that does not show in the list by then is sent again:
    /// twice the time of a change and of the list's lag.
    Duration confirm_timeout = std::chrono::seconds(9);
    /// Wait after a refusal, in which another order ends.
    Duration retry_interval = std::chrono::seconds(1);
    /// An order without answer may be carried out up to 12 s later. Until then
    /// nothing that differs may be sent to its engine.
    Duration unknown_timeout = std::chrono::seconds(13);
    /// Engines that may change at once, once the plan has been reached: more
    /// would take too much away from requests in work. Until then the roles
    /// are those that the engines started with, which serve few requests, and
    /// nothing is lost by changing all at once.
    std::uint32_t max_changing = 2;
  };

  explicit StageControl(Options options) : options_(options) {}

  /// Takes the engines of the service, all of them.
  void OnEngines(const std::vector<StagedEngine>& engines, TimePoint now);

  /// The engine has started anew. An order to the run before has no effect on
  /// this one: what names the count of orders of the old run is refused here,
  /// and where the counts agree the registration shows the role and it is
  /// ordered back.
  void OnRestarted(const std::string& instance) { sent_.erase(instance); }

  /// Takes the load that the engines' work puts on both halves. Returns the
  /// share of the engines planned for answers if it is another one now.
  std::optional<double> OnLoad(const RoleLoad& load, TimePoint now);
  /// Takes the roles that the engines have now for the plan, as a holder does
  /// that takes over from another one, which may have seen more than it.
  void AdoptRoles();

  /// Returns the orders to send now under `number`; none without one.
  std::vector<StageOrder> Tick(std::optional<FencingNumber> number,
                               TimePoint now);

  /// Reports what became of an order returned by `Tick`.
  void OnOutcome(const StageOrder& order, StageOrderOutcome outcome,
                 TimePoint now);

  /// Returns the engines planned to make answers.
  std::size_t planned_decode() const;

 private:
  struct Sent {
    EngineRole role = EngineRole::kDecode;
    TimePoint quiet_until{};  ///< Nothing may be sent before.
    bool waiting = true;      ///< In change, or its answer is outstanding.
  };

  std::size_t Wanted(const std::vector<const StagedEngine*>& usable,
                     std::size_t domains) const;
  std::vector<std::string> PlanDecode() const;
  bool MayOrder(const StagedEngine& engine, EngineRole role, TimePoint now);
  bool Matches(const std::set<std::string>& decode) const;
  std::uint32_t Changing(TimePoint now) const;

  std::size_t Usable() const;

  Options options_;
  std::optional<double> share_;  ///< Of the engines, planned for answers.
  std::optional<TimePoint> shift_since_;
  std::vector<StagedEngine> engines_;  ///< By name.
  TimePoint changed_at_{};
  bool reached_ = false;  ///< The engines have been as planned.
  std::map<std::string, Sent> sent_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_STAGE_CONTROL_H_
