#include "core/control/reconciler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace indigolead {
namespace {

// Returns how many engines of a deployment may change at once. At least one,
// because a small deployment could never change otherwise.
std::size_t ChangeLimit(const DeploymentSpec& spec, std::size_t members) {
  const double share = spec.max_change_share * static_cast<double>(members);
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(share)));
}

DesiredState InService(DesiredState desired) {
  desired.out_of_service = false;
  return desired;
}

std::string RevisionCause(std::uint64_t revision) {
  return "revision " + std::to_string(revision);
}

}  // namespace

Reconciler::Reconciler(Options options, RolePlan role_plan, IdSource ids)
    : options_(std::move(options)),
      role_plan_(std::move(role_plan)),
      ids_(std::move(ids)) {}

void Reconciler::OnRevision(const Revision& revision) {
  const std::string& name = revision.spec.name;
  const auto it = revisions_.find(name);
  if (it != revisions_.end()) {
    if (it->second.number < revision.number) {
      it->second = revision;
    }
  } else if (revisions_.size() < options_.max_deployments) {
    revisions_.emplace(name, revision);
  }
}

void Reconciler::OnTarget(const TargetObservation& seen, TimePoint now) {
  if (Slot* slot = FindOrAdd(seen.name)) {
    slot->seen = seen;
    Confirm(slot, now);
  }
}

void Reconciler::OnTargetGone(const std::string& target) {
  slots_.erase(target);
}

void Reconciler::OnDrain(const std::string& target, bool drained) {
  if (Slot* slot = FindOrAdd(target)) {
    slot->drained = drained;
  }
}

void Reconciler::OnReport(const OrderReport& report, TimePoint now) {
  const auto it = slots_.find(report.target);
  if (it == slots_.end() || !it->second.stored.order) {
    return;
  }
  Slot& slot = it->second;
  // Generations are never reused, so the generation alone identifies a report
  // on an earlier order.
  if (report.generation != slot.stored.order->generation) {
    return;
  }
  if (slot.phase != report.phase) {
    slot.phase_at = now;
  }
  slot.phase = report.phase;
  slot.detail = report.detail;
}

Reconciler::Actions Reconciler::Tick(std::optional<FencingNumber> authority,
                                     TimePoint now) {
  Actions actions;
  for (AuditRecord& record : std::exchange(accepted_, {})) {
    actions.emplace_back(std::move(record));
  }
  if (!authority) {
    number_.reset();
    return actions;
  }
  if (!Begin(*authority, now, &actions)) {
    return actions;
  }
  SettleWrites(now, &actions);
  for (const auto& [name, revision] : revisions_) {
    if (revision.spec.kind == DeploymentKind::kModel) {
      Reconcile(revision, now, &actions);
    }
  }
  return actions;
}

// A new holder reads its predecessor's orders first. Otherwise it could issue
// the same desired state again as a different order.
bool Reconciler::Begin(FencingNumber number, TimePoint now, Actions* actions) {
  if (number_ != number) {
    number_ = number;
    orders_read_ = false;
    list_sent_at_.reset();
    for (auto& [name, slot] : slots_) {
      slot.write.reset();
    }
  }
  if (orders_read_) {
    return true;
  }
  if (!list_sent_at_ || now - *list_sent_at_ > options_.call_timeout) {
    list_sent_at_ = now;
    actions->emplace_back(ReadOrders{});
  }
  return false;
}

void Reconciler::Reconcile(const Revision& revision, TimePoint now,
                           Actions* actions) {
  const std::vector<TargetObservation> members = Members(revision.spec.name);
  const Roles roles = role_plan_(revision.spec, members, now);
  const auto desired = PlaceTargets(revision.spec, members, roles);
  const std::size_t limit = ChangeLimit(revision.spec, members.size());
  const std::size_t in_change = CountInChange(revision.spec.name);
  Pass pass{revision, limit - std::min(limit, in_change), now, actions};
  for (const auto& [target, state] : desired) {
    Slot& slot = slots_.at(target);
    if (!slot.write && now >= slot.next_write &&
        CountWrites() < options_.max_writes_in_flight) {
      Step(target, state, &slot, &pass);
    }
  }
}

void Reconciler::Step(const std::string& target, const DesiredState& desired,
                      Slot* slot, Pass* pass) {
  const auto& order = slot->stored.order;
  if (!order || slot->void_order) {
    First(target, desired, slot, pass);
    return;
  }
  if (order->fencing_number != *number_) {
    Seal(slot, pass);
    return;
  }
  if (slot->phase == OrderPhase::kFailed) {
    Retry(desired, slot, pass);
    return;
  }
  if (slot->phase != OrderPhase::kInForce) {
    return;
  }
  if (InService(order->desired) != desired) {
    Change(desired, slot, pass);
    return;
  }
  if (!order->desired.out_of_service) {
    MendDrift(slot, pass);
  } else if (pass->now - slot->phase_at >= options_.out_of_service_time) {
    Change(desired, slot, pass);
  }
}

// Writes the first order of a target that has no valid one. If the engine
// already matches, recording its state changes nothing and does not count
// against the change limit.
void Reconciler::First(const std::string& target, const DesiredState& desired,
                       Slot* slot, Pass* pass) {
  if (slot->seen->health != ObservedHealth::kUp) {
    return;
  }
  const bool fits = !slot->stored.order && Matches(*slot->seen, desired);
  if (!fits && !MayChange(desired, *slot, *pass)) {
    return;
  }
  TargetOrder order = Following(*slot, desired, pass->revision.number,
                                RevisionCause(pass->revision.number));
  order.target = target;
  order.deployment = pass->revision.spec.name;
  Write(std::move(order), slot, pass);
}

void Reconciler::Change(const DesiredState& desired, Slot* slot, Pass* pass) {
  // An engine that is down would occupy the change limit until it returns, so
  // it gets its new order once it is up again.
  if (slot->seen->health == ObservedHealth::kUp &&
      MayChange(desired, *slot, *pass)) {
    Write(Following(*slot, desired, pass->revision.number,
                    RevisionCause(pass->revision.number)),
          slot, pass);
  }
}

void Reconciler::Retry(const DesiredState& desired, Slot* slot, Pass* pass) {
  const TargetOrder& failed = *slot->stored.order;
  const bool other = InService(failed.desired) != desired;
  const bool due = pass->now - slot->phase_at >= options_.retry_interval;
  if ((!other && !due) || failed.desired.out_of_service) {
    return;
  }
  TargetOrder next = Following(
      *slot, desired, pass->revision.number,
      other ? RevisionCause(pass->revision.number) : "retry: " + slot->detail);
  next.tries = other ? 0 : failed.tries + 1;
  if (next.tries >= options_.max_tries) {
    next.desired.out_of_service = true;
    next.cause = "taken out of service: " + slot->detail;
  }
  if (next.desired.out_of_service || MayChange(desired, *slot, *pass)) {
    Write(std::move(next), slot, pass);
  }
}

void Reconciler::MendDrift(Slot* slot, Pass* pass) {
  const bool differs = slot->seen->health == ObservedHealth::kUp &&
                       !Matches(*slot->seen, slot->stored.order->desired);
  if (!differs) {
    slot->drift_since.reset();
    return;
  }
  if (!slot->drift_since) {
    slot->drift_since = pass->now;
  }
  const DesiredState& desired = slot->stored.order->desired;
  if (pass->now - *slot->drift_since >= options_.drift_grace &&
      MayChange(desired, *slot, *pass)) {
    Write(Following(*slot, desired, pass->revision.number, "drift"), slot,
          pass);
  }
}

// Rewrites the order unchanged except for the new fencing number. A late write
// by the previous holder then fails on the object version.
void Reconciler::Seal(Slot* slot, Pass* pass) {
  if (slot->stored.order->fencing_number > *number_) {
    return;  // A newer holder wrote it; this one has lost the lease.
  }
  TargetOrder order = *slot->stored.order;
  order.fencing_number = *number_;
  Write(std::move(order), slot, pass);
}

bool Reconciler::MayChange(const DesiredState& desired, const Slot& slot,
                           const Pass& pass) const {
  if (pass.changes_left == 0 && !InChange(slot)) {
    return false;
  }
  if (!LoadsWeights(slot, desired)) {
    return true;
  }
  const bool spaced = !last_weight_load_ || pass.now - *last_weight_load_ >=
                                                options_.weight_load_interval;
  return spaced && CountWeightLoads() < options_.max_weight_loads;
}

void Reconciler::Write(TargetOrder order, Slot* slot, Pass* pass) {
  const auto& last = slot->stored.order;
  const bool differs = !last || last->generation != order.generation;
  if (differs && !InChange(*slot)) {
    pass->changes_left -= std::min<std::size_t>(1, pass->changes_left);
  }
  slot->loads_weights =
      differs ? LoadsWeights(*slot, order.desired) : slot->loads_weights;
  if (differs && slot->loads_weights) {
    last_weight_load_ = pass->now;
  }
  order.nonce = ids_();
  slot->drift_since.reset();
  PendingWrite write;
  write.expected = slot->stored.version;
  write.sent_at = pass->now;
  if (differs) {
    write.record = Describe(*slot, order);
  }
  write.order = std::move(order);
  pass->actions->emplace_back(WriteOrder{write.order, write.expected});
  slot->write = std::move(write);
}

TargetOrder Reconciler::Following(const Slot& slot, const DesiredState& desired,
                                  std::uint64_t revision,
                                  std::string cause) const {
  TargetOrder order = slot.stored.order.value_or(TargetOrder{});
  const std::uint64_t seen = slot.seen ? slot.seen->order_generation : 0;
  order.generation = std::max(order.generation, seen) + 1;
  order.fencing_number = *number_;
  order.desired = desired;
  order.revision = revision;
  order.tries = 0;
  order.cause = std::move(cause);
  return order;
}

}  // namespace indigolead
