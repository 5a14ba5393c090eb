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

DesiredState AsInService(DesiredState desired) {
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
  if (TrackedTarget* tracked = FindOrAdd(seen.name)) {
    tracked->seen = seen;
    MarkIfInForce(tracked, now);
  }
}

void Reconciler::OnTargetGone(const std::string& target) {
  targets_.erase(target);
}

void Reconciler::OnDrain(const std::string& target, bool drained) {
  if (TrackedTarget* tracked = FindOrAdd(target)) {
    tracked->drained = drained;
  }
}

void Reconciler::OnReport(const OrderReport& report, TimePoint now) {
  const auto it = targets_.find(report.target);
  if (it == targets_.end() || !it->second.stored.order) {
    return;
  }
  TrackedTarget& tracked = it->second;
  // Generations are never reused, so the generation alone identifies a report
  // on an earlier order.
  if (report.generation != tracked.stored.order->generation) {
    return;
  }
  if (tracked.phase != report.phase) {
    tracked.phase_at = now;
  }
  tracked.phase = report.phase;
  tracked.detail = report.detail;
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
  if (!EnsureOrdersRead(*authority, now, &actions)) {
    return actions;
  }
  ResolveWrites(now, &actions);
  for (const auto& [name, revision] : revisions_) {
    if (revision.spec.kind == DeploymentKind::kModel) {
      Reconcile(revision, now, &actions);
    }
  }
  return actions;
}

// A new holder reads its predecessor's orders first. Otherwise it could issue
// the same desired state again as a different order.
bool Reconciler::EnsureOrdersRead(FencingNumber number, TimePoint now,
                                  Actions* actions) {
  if (number_ != number) {
    number_ = number;
    orders_read_ = false;
    list_sent_at_.reset();
    for (auto& [name, tracked] : targets_) {
      tracked.write.reset();
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
  const std::size_t changing = CountChanging(revision.spec.name);
  ReconcilePass pass{revision, limit - std::min(limit, changing), now, actions};
  for (const auto& [target, state] : desired) {
    TrackedTarget& tracked = targets_.at(target);
    if (!tracked.write && now >= tracked.next_write &&
        CountWrites() < options_.max_writes_in_flight) {
      ReconcileTarget(target, state, &tracked, &pass);
    }
  }
}

void Reconciler::ReconcileTarget(const std::string& target,
                                 const DesiredState& desired,
                                 TrackedTarget* tracked, ReconcilePass* pass) {
  const auto& order = tracked->stored.order;
  if (!order || tracked->void_order) {
    WriteFirstOrder(target, desired, tracked, pass);
    return;
  }
  if (order->fencing_number != *number_) {
    RewriteUnderOwnNumber(tracked, pass);
    return;
  }
  if (tracked->phase == OrderPhase::kFailed) {
    RetryFailedOrder(desired, tracked, pass);
    return;
  }
  if (tracked->phase != OrderPhase::kInForce) {
    return;
  }
  if (AsInService(order->desired) != desired) {
    WriteChangedOrder(desired, tracked, pass);
    return;
  }
  if (!order->desired.out_of_service) {
    RepairDrift(tracked, pass);
  } else if (pass->now - tracked->phase_at >= options_.out_of_service_time) {
    WriteChangedOrder(desired, tracked, pass);
  }
}

// Writes the first order of a target that has no valid one. If the engine
// already matches, recording its state changes nothing and does not count
// against the change limit.
void Reconciler::WriteFirstOrder(const std::string& target,
                                 const DesiredState& desired,
                                 TrackedTarget* tracked, ReconcilePass* pass) {
  if (tracked->seen->health != ObservedHealth::kUp) {
    return;
  }
  const bool matches_desired =
      !tracked->stored.order && Matches(*tracked->seen, desired);
  if (!matches_desired && !MayChange(desired, *tracked, *pass)) {
    return;
  }
  TargetOrder order = MakeNextOrder(*tracked, desired, pass->revision.number,
                                    RevisionCause(pass->revision.number));
  order.target = target;
  order.deployment = pass->revision.spec.name;
  Write(std::move(order), tracked, pass);
}

void Reconciler::WriteChangedOrder(const DesiredState& desired,
                                   TrackedTarget* tracked,
                                   ReconcilePass* pass) {
  // An engine that is down would occupy the change limit until it returns, so
  // it gets its new order once it is up again.
  if (tracked->seen->health == ObservedHealth::kUp &&
      MayChange(desired, *tracked, *pass)) {
    Write(MakeNextOrder(*tracked, desired, pass->revision.number,
                        RevisionCause(pass->revision.number)),
          tracked, pass);
  }
}

void Reconciler::RetryFailedOrder(const DesiredState& desired,
                                  TrackedTarget* tracked, ReconcilePass* pass) {
  const TargetOrder& failed = *tracked->stored.order;
  const bool desired_changed = AsInService(failed.desired) != desired;
  const bool due = pass->now - tracked->phase_at >= options_.retry_interval;
  if ((!desired_changed && !due) || failed.desired.out_of_service) {
    return;
  }
  TargetOrder next =
      MakeNextOrder(*tracked, desired, pass->revision.number,
                    desired_changed ? RevisionCause(pass->revision.number)
                                    : "retry: " + tracked->detail);
  next.tries = desired_changed ? 0 : failed.tries + 1;
  if (next.tries >= options_.max_tries) {
    next.desired.out_of_service = true;
    next.cause = "taken out of service: " + tracked->detail;
  }
  if (next.desired.out_of_service || MayChange(desired, *tracked, *pass)) {
    Write(std::move(next), tracked, pass);
  }
}

void Reconciler::RepairDrift(TrackedTarget* tracked, ReconcilePass* pass) {
  const bool differs = tracked->seen->health == ObservedHealth::kUp &&
                       !Matches(*tracked->seen, tracked->stored.order->desired);
  if (!differs) {
    tracked->drift_since.reset();
    return;
  }
  if (!tracked->drift_since) {
    tracked->drift_since = pass->now;
  }
  const DesiredState& desired = tracked->stored.order->desired;
  if (pass->now - *tracked->drift_since >= options_.drift_grace &&
      MayChange(desired, *tracked, *pass)) {
    Write(MakeNextOrder(*tracked, desired, pass->revision.number, "drift"),
          tracked, pass);
  }
}

// Rewrites the order unchanged except for the new fencing number. A late write
// by the previous holder then fails on the object version.
void Reconciler::RewriteUnderOwnNumber(TrackedTarget* tracked,
                                       ReconcilePass* pass) {
  if (tracked->stored.order->fencing_number > *number_) {
    return;  // A newer holder wrote it; this one has lost the lease.
  }
  TargetOrder order = *tracked->stored.order;
  order.fencing_number = *number_;
  Write(std::move(order), tracked, pass);
}

bool Reconciler::MayChange(const DesiredState& desired,
                           const TrackedTarget& tracked,
                           const ReconcilePass& pass) const {
  if (pass.changes_left == 0 && !IsChanging(tracked)) {
    return false;
  }
  if (!LoadsWeights(tracked, desired)) {
    return true;
  }
  const bool interval_passed =
      !last_weight_load_ ||
      pass.now - *last_weight_load_ >= options_.weight_load_interval;
  return interval_passed && CountWeightLoads() < options_.max_weight_loads;
}

void Reconciler::Write(TargetOrder order, TrackedTarget* tracked,
                       ReconcilePass* pass) {
  const auto& last = tracked->stored.order;
  const bool differs = !last || last->generation != order.generation;
  if (differs && !IsChanging(*tracked)) {
    pass->changes_left -= std::min<std::size_t>(1, pass->changes_left);
  }
  tracked->loads_weights =
      differs ? LoadsWeights(*tracked, order.desired) : tracked->loads_weights;
  if (differs && tracked->loads_weights) {
    last_weight_load_ = pass->now;
  }
  order.nonce = ids_();
  tracked->drift_since.reset();
  PendingWrite write;
  write.expected = tracked->stored.version;
  write.sent_at = pass->now;
  if (differs) {
    write.record = MakeAuditRecord(*tracked, order);
  }
  write.order = std::move(order);
  pass->actions->emplace_back(WriteOrder{write.order, write.expected});
  tracked->write = std::move(write);
}

TargetOrder Reconciler::MakeNextOrder(const TrackedTarget& tracked,
                                      const DesiredState& desired,
                                      std::uint64_t revision,
                                      std::string cause) const {
  TargetOrder order = tracked.stored.order.value_or(TargetOrder{});
  const std::uint64_t seen = tracked.seen ? tracked.seen->order_generation : 0;
  order.generation = std::max(order.generation, seen) + 1;
  order.fencing_number = *number_;
  order.desired = desired;
  order.revision = revision;
  order.tries = 0;
  order.cause = std::move(cause);
  return order;
}

}  // namespace indigolead
