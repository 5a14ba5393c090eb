// State that the reconciler keeps per target: stored orders, writes in flight
// and counts over them. The decisions are in reconciler.cc.

#include <algorithm>
#include <utility>

#include "core/config/enum_names.h"
#include "core/control/reconciler.h"

namespace indigolead {
namespace {

std::string Text(const DesiredState& desired) {
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
  Slot* slot = FindOrAdd(target);
  if (!slot) {
    return;
  }
  Settle(slot, stored);
  Store(slot, stored, lease, now);
}

void Reconciler::OnWritten(const std::string& target, const Id128& nonce,
                           const Result<std::uint64_t>& answer, TimePoint now) {
  const auto it = slots_.find(target);
  if (it == slots_.end() || !it->second.write ||
      it->second.write->order.nonce != nonce) {
    return;
  }
  Slot& slot = it->second;
  if (IsOk(answer)) {
    LeaseRecord own;
    own.fencing_number = slot.write->order.fencing_number;
    const StoredOrder stored{slot.write->order, ValueOf(answer)};
    Accept(&slot);
    Store(&slot, stored, own, now);
    return;
  }
  const ErrorCode code = ErrorOf(answer).code;
  const bool unsent = code == ErrorCode::kStaleAuthority ||
                      code == ErrorCode::kOverloaded ||
                      code == ErrorCode::kUnavailable;
  slot.next_write = now + options_.write_backoff;
  if (unsent && !slot.write->settle) {
    slot.write.reset();
  } else {
    slot.write->settle = true;
  }
}

void Reconciler::SettleWrites(TimePoint now, Actions* actions) {
  for (auto& [target, slot] : slots_) {
    if (!slot.write) {
      continue;
    }
    PendingWrite& write = *slot.write;
    const bool late = now - write.sent_at > options_.call_timeout;
    if (late) {
      write.settle = true;
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
    } else if (write.settle && !write.read_sent) {
      write.read_sent = true;
      write.sent_at = now;
      actions->emplace_back(ReadOrder{target});
    }
  }
}

void Reconciler::Settle(Slot* slot, const StoredOrder& stored) {
  if (!slot->write) {
    return;
  }
  const bool ours =
      stored.order && stored.order->nonce == slot->write->order.nonce;
  if (ours) {
    Accept(slot);
  } else if (stored.version > slot->write->expected) {
    slot->write.reset();
  } else if (slot->write->settle) {
    slot->write->may_repeat = true;
  }
}

void Reconciler::Accept(Slot* slot) {
  if (slot->write->record) {
    accepted_.push_back(*slot->write->record);
  }
  slot->write.reset();
}

void Reconciler::Store(Slot* slot, const StoredOrder& stored,
                       const LeaseRecord& lease, TimePoint now) {
  if (stored.version < slot->stored.version) {
    return;  // A stale read.
  }
  // Checked again even for the same version: a newer lease may show that the
  // order was written after its fencing number was superseded.
  slot->void_order = stored.order && !WrittenUnderAuthority(stored, lease);
  if (stored.version == slot->stored.version) {
    return;
  }
  const bool same = slot->stored.order && stored.order &&
                    slot->stored.order->generation == stored.order->generation;
  if (!same) {
    slot->phase.reset();
    slot->detail.clear();
    slot->ordered_at = now;
  }
  slot->stored = stored;
  Confirm(slot, now);
}

void Reconciler::Confirm(Slot* slot, TimePoint now) {
  if (!slot->seen || !slot->stored.order || slot->void_order) {
    return;
  }
  const bool in_force =
      slot->seen->order_generation == slot->stored.order->generation &&
      slot->seen->health == ObservedHealth::kUp;
  if (in_force && slot->phase != OrderPhase::kInForce) {
    slot->phase = OrderPhase::kInForce;
    slot->phase_at = now;
    slot->detail.clear();
  }
}

Reconciler::Slot* Reconciler::FindOrAdd(const std::string& target) {
  const auto it = slots_.find(target);
  if (it != slots_.end()) {
    return &it->second;
  }
  if (slots_.size() >= options_.max_targets) {
    return nullptr;
  }
  return &slots_[target];
}

std::vector<TargetObservation> Reconciler::Members(
    const std::string& deployment) const {
  std::vector<TargetObservation> members;
  for (const auto& [name, slot] : slots_) {
    const bool ours = slot.seen && slot.seen->deployment == deployment;
    if (!ours || slot.seen->leaving || slot.drained) {
      continue;
    }
    members.push_back(*slot.seen);
    if (slot.stored.order && !slot.void_order) {
      const DesiredState& ordered = slot.stored.order->desired;
      members.back().role = ordered.role;
      members.back().models = {ordered.model + "@" + ordered.version};
      members.back().adapters = ordered.adapters;
    }
  }
  return members;
}

std::size_t Reconciler::CountInChange(const std::string& deployment) const {
  return static_cast<std::size_t>(
      std::count_if(slots_.begin(), slots_.end(), [&](const auto& entry) {
        const Slot& slot = entry.second;
        return slot.seen && slot.seen->deployment == deployment &&
               !slot.seen->leaving && !slot.drained && InChange(slot);
      }));
}

std::size_t Reconciler::CountWeightLoads() const {
  return static_cast<std::size_t>(
      std::count_if(slots_.begin(), slots_.end(), [](const auto& entry) {
        return entry.second.loads_weights && InChange(entry.second) &&
               entry.second.phase != OrderPhase::kFailed;
      }));
}

std::size_t Reconciler::CountWrites() const {
  return static_cast<std::size_t>(std::count_if(
      slots_.begin(), slots_.end(),
      [](const auto& entry) { return entry.second.write.has_value(); }));
}

bool Reconciler::InChange(const Slot& slot) {
  if (slot.write) {
    return true;
  }
  return slot.stored.order && !slot.void_order &&
         (slot.phase != OrderPhase::kInForce ||
          slot.stored.order->desired.out_of_service);
}

bool Reconciler::LoadsWeights(const Slot& slot, const DesiredState& desired) {
  if (slot.stored.order && !slot.void_order &&
      SameWeights(slot.stored.order->desired, desired) &&
      slot.phase == OrderPhase::kInForce) {
    return false;
  }
  TargetObservation seen = slot.seen.value_or(TargetObservation{});
  seen.role = desired.role;
  return !Matches(seen, desired);
}

AuditRecord Reconciler::Describe(const Slot& slot,
                                 const TargetOrder& order) const {
  const auto& before = slot.stored.order;
  const bool role_only = before && before->desired.role != order.desired.role &&
                         SameWeights(before->desired, order.desired);
  AuditRecord record;
  record.kind = role_only ? AuditKind::kRoleChange : AuditKind::kOrder;
  record.subject = order.target;
  record.cause = order.cause;
  record.actor = options_.actor;
  record.fencing_number = order.fencing_number;
  record.before = before ? Text(before->desired) : "";
  record.after = Text(order.desired);
  return record;
}

std::optional<Reconciler::TargetView> Reconciler::View(
    const std::string& target, TimePoint now) const {
  const auto it = slots_.find(target);
  if (it == slots_.end()) {
    return std::nullopt;
  }
  const Slot& slot = it->second;
  TargetView view;
  view.deployment = slot.seen ? slot.seen->deployment : "";
  view.stored = slot.stored;
  view.phase = slot.phase;
  view.detail = slot.detail;
  view.drifted = slot.drift_since.has_value();
  view.stuck = slot.stored.order && slot.phase != OrderPhase::kInForce &&
               slot.phase != OrderPhase::kFailed &&
               now - slot.ordered_at >= options_.stuck_after;
  return view;
}

}  // namespace indigolead
