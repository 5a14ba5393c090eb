// State that the reconciler keeps per target: stored orders, writes in flight
// and counts over them. The decisions are in reconciler.cc.

#include <algorithm>
#include <utility>

#include "core/config/enum_names.h"
#include "core/control/reconciler.h"

namespace indigolead {
namespace {

std::string DescribeState(const DesiredState& desired) {
  std::string text = std::string(EngineRoleName(desired.role)) + " " +
                     desired.model + "@" + desired.version;
  for (const std::string& adapter : desired.adapters) {
    text += "+" + adapter;
  }
  return desired.out_of_service ? text + " out of service" : text;
}

bool SameWeights(const DesiredState& a, const DesiredState& b) {
  return a.model == b.model && a.version == b.version &&
         a.adapters == b.adapters;
}

}  // namespace

void Reconciler::OnOrders(const Result<std::vector<StoredOrder>>& orders,
                          const LeaseRecord& lease, TimePoint now) {
  list_sent_at_.reset();
  if (!number_ || !IsOk(orders) || lease.fencing_number < *number_) {
    // A listing read before this authority began may miss later orders.
    return;
  }
  for (const StoredOrder& stored : ValueOf(orders)) {
    if (!stored.order) {
      continue;
    }
    OnOrder(stored.order->target, stored, lease, now);
  }
  orders_read_ = true;
}

void Reconciler::OnOrder(const std::string& target, const StoredOrder& stored,
                         const LeaseRecord& lease, TimePoint now) {
  TrackedTarget* tracked = FindOrAdd(target);
  if (!tracked) {
    return;
  }
  ResolveWrite(tracked, stored);
  StoreOrder(tracked, stored, lease, now);
}

void Reconciler::OnWritten(const std::string& target, const Id128& nonce,
                           const Result<std::uint64_t>& answer, TimePoint now) {
  const auto it = targets_.find(target);
  if (it == targets_.end() || !it->second.write ||
      it->second.write->order.nonce != nonce) {
    return;
  }
  TrackedTarget& tracked = it->second;
  if (IsOk(answer)) {
    LeaseRecord own;
    own.fencing_number = tracked.write->order.fencing_number;
    const StoredOrder stored{tracked.write->order, ValueOf(answer)};
    AcceptWrite(&tracked);
    StoreOrder(&tracked, stored, own, now);
    return;
  }
  const ErrorCode code = ErrorOf(answer).code;
  const bool had_no_effect = code == ErrorCode::kStaleAuthority ||
                             code == ErrorCode::kOverloaded ||
                             code == ErrorCode::kUnavailable;
  tracked.next_write = now + options_.write_backoff;
  if (had_no_effect && !tracked.write->outcome_unknown) {
    tracked.write.reset();
  } else {
    tracked.write->outcome_unknown = true;
  }
}

void Reconciler::ResolveWrites(TimePoint now, Actions* actions) {
  for (auto& [target, tracked] : targets_) {
    if (!tracked.write) {
      continue;
    }
    PendingWrite& write = *tracked.write;
    const bool late = now - write.sent_at > options_.call_timeout;
    if (late) {
      write.outcome_unknown = true;
      write.read_sent = false;
      write.sent_at = now;
    }
    if (write.may_repeat) {
      // The repeat has the same expected version and nonce, so at most one copy
      // takes effect.
      write.may_repeat = false;
      write.read_sent = false;
      write.sent_at = now;
      actions->emplace_back(WriteOrder{write.order, write.expected});
    } else if (write.outcome_unknown && !write.read_sent) {
      write.read_sent = true;
      write.sent_at = now;
      actions->emplace_back(ReadOrder{target});
    }
  }
}

void Reconciler::ResolveWrite(TrackedTarget* tracked,
                              const StoredOrder& stored) {
  if (!tracked->write) {
    return;
  }
  const bool ours =
      stored.order && stored.order->nonce == tracked->write->order.nonce;
  if (ours) {
    AcceptWrite(tracked);
  } else if (stored.version > tracked->write->expected) {
    tracked->write.reset();
  } else if (tracked->write->outcome_unknown) {
    tracked->write->may_repeat = true;
  }
}

void Reconciler::AcceptWrite(TrackedTarget* tracked) {
  if (tracked->write->record) {
    accepted_.push_back(*tracked->write->record);
  }
  tracked->write.reset();
}

void Reconciler::StoreOrder(TrackedTarget* tracked, const StoredOrder& stored,
                            const LeaseRecord& lease, TimePoint now) {
  if (stored.version < tracked->stored.version) {
    return;  // A stale read.
  }
  // Checked again even for the same version: a newer lease may show that the
  // order was written after its fencing number was superseded.
  tracked->void_order = stored.order && !WrittenUnderAuthority(stored, lease);
  if (stored.version == tracked->stored.version) {
    return;
  }
  const bool same =
      tracked->stored.order && stored.order &&
      tracked->stored.order->generation == stored.order->generation;
  if (!same) {
    tracked->phase.reset();
    tracked->detail.clear();
    tracked->ordered_at = now;
  }
  tracked->stored = stored;
  MarkIfInForce(tracked, now);
}

void Reconciler::MarkIfInForce(TrackedTarget* tracked, TimePoint now) {
  if (!tracked->seen || !tracked->stored.order || tracked->void_order) {
    return;
  }
  const bool in_force =
      tracked->seen->order_generation == tracked->stored.order->generation &&
      tracked->seen->health == ObservedHealth::kUp;
  if (in_force && tracked->phase != OrderPhase::kInForce) {
    tracked->phase = OrderPhase::kInForce;
    tracked->phase_at = now;
    tracked->detail.clear();
  }
}

Reconciler::TrackedTarget* Reconciler::FindOrAdd(const std::string& target) {
  const auto it = targets_.find(target);
  if (it != targets_.end()) {
    return &it->second;
  }
  if (targets_.size() >= options_.max_targets) {
    return nullptr;
  }
  return &targets_[target];
}

std::vector<TargetObservation> Reconciler::Members(
    const std::string& deployment) const {
  std::vector<TargetObservation> members;
  for (const auto& [name, tracked] : targets_) {
    const bool ours = tracked.seen && tracked.seen->deployment == deployment;
    if (!ours || tracked.seen->leaving || tracked.drained) {
      continue;
    }
    members.push_back(*tracked.seen);
    if (tracked.stored.order && !tracked.void_order) {
      const DesiredState& ordered = tracked.stored.order->desired;
      members.back().role = ordered.role;
      members.back().models = {ordered.model + "@" + ordered.version};
      members.back().adapters = ordered.adapters;
    }
  }
  return members;
}

std::size_t Reconciler::CountChanging(const std::string& deployment) const {
  return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(), [&](const auto& entry) {
        const TrackedTarget& tracked = entry.second;
        return tracked.seen && tracked.seen->deployment == deployment &&
               !tracked.seen->leaving && !tracked.drained &&
               IsChanging(tracked);
      }));
}

std::size_t Reconciler::CountWeightLoads() const {
  return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(), [](const auto& entry) {
        return entry.second.loads_weights && IsChanging(entry.second) &&
               entry.second.phase != OrderPhase::kFailed;
      }));
}

std::size_t Reconciler::CountWrites() const {
  return static_cast<std::size_t>(std::count_if(
      targets_.begin(), targets_.end(),
      [](const auto& entry) { return entry.second.write.has_value(); }));
}

bool Reconciler::IsChanging(const TrackedTarget& tracked) {
  if (tracked.write) {
    return true;
  }
  return tracked.stored.order && !tracked.void_order &&
         (tracked.phase != OrderPhase::kInForce ||
          tracked.stored.order->desired.out_of_service);
}

bool Reconciler::LoadsWeights(const TrackedTarget& tracked,
                              const DesiredState& desired) {
  if (tracked.stored.order && !tracked.void_order &&
      SameWeights(tracked.stored.order->desired, desired) &&
      tracked.phase == OrderPhase::kInForce) {
    return false;
  }
  TargetObservation seen = tracked.seen.value_or(TargetObservation{});
  seen.role = desired.role;
  return !Matches(seen, desired);
}

AuditRecord Reconciler::MakeAuditRecord(const TrackedTarget& tracked,
                                        const TargetOrder& order) const {
  const auto& before = tracked.stored.order;
  const bool role_only = before && before->desired.role != order.desired.role &&
                         SameWeights(before->desired, order.desired);
  AuditRecord record;
  record.kind = role_only ? AuditKind::kRoleChange : AuditKind::kOrder;
  record.subject = order.target;
  record.cause = order.cause;
  record.actor = options_.actor;
  record.fencing_number = order.fencing_number;
  record.before = before ? DescribeState(before->desired) : "";
  record.after = DescribeState(order.desired);
  return record;
}

std::optional<Reconciler::TargetView> Reconciler::View(
    const std::string& target, TimePoint now) const {
  const auto it = targets_.find(target);
  if (it == targets_.end()) {
    return std::nullopt;
  }
  const TrackedTarget& tracked = it->second;
  TargetView view;
  view.deployment = tracked.seen ? tracked.seen->deployment : "";
  view.stored = tracked.stored;
  view.phase = tracked.phase;
  view.detail = tracked.detail;
  view.drifted = tracked.drift_since.has_value();
  view.stuck = tracked.stored.order && tracked.phase != OrderPhase::kInForce &&
               tracked.phase != OrderPhase::kFailed &&
               now - tracked.ordered_at >= options_.stuck_after;
  return view;
}

}  // namespace indigolead
