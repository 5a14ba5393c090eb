#include "core/roles/role_planner.h"

#include <algorithm>
#include <array>

namespace indigolead {
namespace {

constexpr std::array kRoles = {EngineRole::kPrefill, EngineRole::kDecode,
                               EngineRole::kMixed};

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

RoleCounts CountServing(std::span<const RoleTarget> targets) {
  RoleCounts counts;
  for (const RoleTarget& it : targets) {
    if (it.serving && !it.leaving) {
      ++CountOf(&counts, it.role);
    }
  }
  return counts;
}

/// Returns true if each kind of work has an engine and the minima of `spec`
/// hold.
bool IsAllowed(const RoleCounts& counts, const RoleSpec& spec) {
  return counts.prefill + counts.mixed > 0 &&
         counts.decode + counts.mixed > 0 &&
         counts.prefill >= spec.min_prefill && counts.decode >= spec.min_decode;
}

const RoleTarget* FindTarget(std::span<const RoleTarget> targets,
                             const std::string& instance) {
  const auto it = std::find_if(
      targets.begin(), targets.end(),
      [&](const RoleTarget& target) { return target.instance == instance; });
  return it == targets.end() ? nullptr : &*it;
}

}  // namespace

bool IsQuietHour(const RoleSpec& spec, std::uint32_t hour) {
  const std::uint32_t from = spec.quiet_from_hour;
  const std::uint32_t to = spec.quiet_to_hour;
  if (from <= to) {
    return hour >= from && hour < to;
  }
  return hour >= from || hour < to;
}

RolePlanner::RolePlanner(const Options& options)
    : options_(options),
      change_time_s_(Seconds(options.change_time)),
      fast_demand_(options.fast_time_constant),
      slow_demand_(options.slow_time_constant) {}

void RolePlanner::OnDemand(const TokenMix& mix, Duration length) {
  fast_demand_.Add(mix, length);
  slow_demand_.Add(mix, length);
}

bool RolePlanner::UpdateChangeInFlight(std::span<const RoleTarget> targets,
                                       TimePoint now) {
  if (pending_) {
    const RoleTarget* target = FindTarget(targets, pending_->instance);
    const bool ordered = target != nullptr && target->role == pending_->to;
    const bool timed_out = now - pending_since_ >= options_.order_timeout;
    // The change of an engine that has left or is leaving is abandoned.
    if (ordered || timed_out || target == nullptr || target->leaving) {
      pending_.reset();
    } else {
      return true;
    }
  }
  bool in_flight = false;
  std::map<std::string, TimePoint> since;
  for (const RoleTarget& it : targets) {
    if (!it.changing || it.leaving || since.size() >= options_.max_targets) {
      continue;
    }
    const auto known = changing_since_.find(it.instance);
    const TimePoint began =
        known == changing_since_.end() ? now : known->second;
    since.emplace(it.instance, began);
    // An engine that never completes its change must not block all other
    // changes.
    in_flight = in_flight || now - began < options_.stuck_timeout;
  }
  for (const auto& [instance, began] : changing_since_) {
    const RoleTarget* target = FindTarget(targets, instance);
    if (target != nullptr && !target->changing && target->serving) {
      change_time_s_ += 0.25 * (Seconds(now - began) - change_time_s_);
    }
  }
  changing_since_.swap(since);
  return in_flight;
}

void RolePlanner::RecordChangeTimes(std::span<const RoleTarget> targets,
                                    TimePoint now) {
  std::erase_if(changed_at_, [&](const auto& it) {
    return FindTarget(targets, it.first) == nullptr;
  });
  for (const RoleTarget& it : targets) {
    // The dwell time starts at the end of a change, including those that
    // another planner ordered.
    if (it.changing && changed_at_.size() < options_.max_targets) {
      changed_at_[it.instance] = now;
    }
  }
}

double RolePlanner::ServedEngines(const RoleCounts& counts,
                                  const EngineDemand& demand) const {
  const double capacity_ratio = CapacityRatio(counts, demand, rates_);
  const double share = std::min(1.0, capacity_ratio * options_.max_utilization);
  return share * (demand.prefill + demand.decode);
}

// Considers changing several engines, because changing one alone may gain
// nothing. The gain is counted per engine.
RolePlanner::Transition RolePlanner::BestTransition(
    EngineRole from, EngineRole to, const RoleSpec& spec,
    const RoleCounts& counts, const EngineDemand& demand) const {
  Transition best{from, to, -1};
  const double value = ServedEngines(counts, demand);
  RoleCounts after = counts;
  for (std::uint32_t n = 1; CountOf(&after, from) > 0; ++n) {
    --CountOf(&after, from);
    ++CountOf(&after, to);
    if (!IsAllowed(after, spec)) {
      break;
    }
    best.rate = std::max(best.rate, (ServedEngines(after, demand) - value) / n);
  }
  return best;
}

bool RolePlanner::ReversesLastChange(const Transition& transition,
                                     const RoleSpec& spec,
                                     TimePoint now) const {
  const bool towards_other =
      last_change_ && (transition.to == last_change_->from ||
                       transition.from == last_change_->to);
  return towards_other && now - last_change_at_ < spec.min_dwell;
}

std::optional<RoleChange> RolePlanner::OrderChange(
    const Transition& transition, RoleChangeCause cause, double loss_engine_s,
    std::span<const RoleTarget> targets, const RoleSpec& spec, TimePoint now) {
  for (const RoleTarget& it : targets) {
    const auto changed = changed_at_.find(it.instance);
    const bool dwells = cause == RoleChangeCause::kGain &&
                        changed != changed_at_.end() &&
                        now - changed->second < spec.min_dwell;
    if (it.role != transition.from || !it.serving || it.leaving || dwells) {
      continue;
    }
    RoleChange change;
    change.instance = it.instance;
    change.from = transition.from;
    change.to = transition.to;
    change.cause = cause;
    change.gain_engine_s = loss_engine_s;
    change.cost_engine_s = change_time_s_ * spec.role_change_cost;
    pending_ = change;
    pending_since_ = now;
    last_change_ = change;
    last_change_at_ = now;
    // The accumulated losses apply to the previous roles.
    loss_ = {};
    return change;
  }
  return std::nullopt;
}

std::optional<RoleChange> RolePlanner::PlanForced(
    const RoleSpec& spec, std::span<const RoleTarget> targets,
    const RoleCounts& counts, TimePoint now) {
  const bool no_prefill = counts.prefill + counts.mixed == 0;
  const bool no_decode = counts.decode + counts.mixed == 0;
  const bool few_prefill = counts.prefill < spec.min_prefill;
  const bool few_decode = counts.decode < spec.min_decode;
  if (!no_prefill && !no_decode && !few_prefill && !few_decode) {
    return std::nullopt;
  }
  const EngineRole to = no_prefill || (few_prefill && !no_decode)
                            ? EngineRole::kPrefill
                            : EngineRole::kDecode;
  const RoleChangeCause cause = no_prefill || no_decode
                                    ? RoleChangeCause::kMissing
                                    : RoleChangeCause::kMinimum;
  for (const EngineRole from :
       {EngineRole::kMixed, EngineRole::kPrefill, EngineRole::kDecode}) {
    RoleCounts after = counts;
    if (from == to || CountOf(&after, from) == 0) {
      continue;
    }
    --CountOf(&after, from);
    ++CountOf(&after, to);
    // A minimum that is not met anyway does not prevent meeting the other.
    const bool keeps_other =
        to == EngineRole::kPrefill
            ? after.decode >= std::min(spec.min_decode, counts.decode) &&
                  after.decode + after.mixed > 0
            : after.prefill >= std::min(spec.min_prefill, counts.prefill) &&
                  after.prefill + after.mixed > 0;
    if (keeps_other) {
      return OrderChange(Transition{from, to, 0}, cause, 0, targets, spec, now);
    }
  }
  // No engine can be moved without leaving the other kind of work without one,
  // so the engine becomes mixed.
  if (cause == RoleChangeCause::kMissing) {
    const EngineRole from =
        no_prefill ? EngineRole::kDecode : EngineRole::kPrefill;
    return OrderChange(Transition{from, EngineRole::kMixed, 0}, cause, 0,
                       targets, spec, now);
  }
  return std::nullopt;
}

std::optional<RoleChange> RolePlanner::PlanGain(
    const RoleSpec& spec, std::span<const RoleTarget> targets,
    const RoleCounts& counts, TimePoint now) {
  const double step_s =
      std::clamp(Seconds(now - planned_at_), 0.0, Seconds(options_.max_step));
  planned_at_ = now;
  const EngineDemand demand = DemandOf(fast_demand_.mix(), rates_);
  const double cost = change_time_s_ * spec.role_change_cost;
  const double limit = cost * options_.hysteresis;
  const double noise =
      options_.min_gain_share *
      static_cast<double>(counts.prefill + counts.decode + counts.mixed);
  Transition best;
  double best_loss = limit;
  for (const EngineRole from : kRoles) {
    for (const EngineRole to : kRoles) {
      if (from == to) {
        continue;
      }
      const Transition transition =
          BestTransition(from, to, spec, counts, demand);
      double& loss =
          loss_[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)];
      // Not below zero, so that a long time without loss does not delay the
      // reaction when the mix changes. Bounded above, so that the sum falls
      // quickly when the mix changes back.
      loss =
          std::clamp(loss + (transition.rate - noise) * step_s, 0.0, 2 * limit);
      if (loss > best_loss && transition.rate > best.rate &&
          !ReversesLastChange(transition, spec, now)) {
        best = transition;
        best_loss = limit;
      }
    }
  }
  if (best.rate <= 0) {
    return std::nullopt;
  }
  return OrderChange(best, RoleChangeCause::kGain,
                     loss_[static_cast<std::size_t>(best.from)]
                          [static_cast<std::size_t>(best.to)],
                     targets, spec, now);
}

std::optional<RoleChange> RolePlanner::Plan(const RoleSpec& spec,
                                            std::span<const RoleTarget> targets,
                                            std::uint32_t hour, TimePoint now) {
  RecordChangeTimes(targets, now);
  const RoleCounts counts = CountServing(targets);
  if (!spec.automatic || UpdateChangeInFlight(targets, now) ||
      counts == RoleCounts{}) {
    return std::nullopt;
  }
  if (auto change = PlanForced(spec, targets, counts, now)) {
    return change;
  }
  if (slow_demand_.observed() < options_.warm_up) {
    planned_at_ = now;
    return std::nullopt;
  }
  const double served =
      CapacityRatio(counts, DemandOf(slow_demand_.mix(), rates_), rates_);
  if (IsQuietHour(spec, hour) && served >= options_.quiet_served_share) {
    return std::nullopt;
  }
  return PlanGain(spec, targets, counts, now);
}

}  // namespace indigolead
