#include "entry/controller.h"

#include <utility>

#include "entry/control_events.h"

namespace indigolead {

Controller::Controller(ObjectStore* store, Options options, Hooks hooks,
                       Clock clock, IdSource ids, EventLog log)
    : store_(store),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      lease_(store, LeaseOptions(), LeaseHooks(), clock_, ids, log_),
      reconciler_(options_.reconciler, hooks_.role_plan, ids),
      alive_(std::make_shared<bool>(true)) {}

Controller::~Controller() { *alive_ = false; }

void Controller::OnState(const ControlState& state) {
  const TimePoint now = clock_();
  if (state.lease.version != 0) {
    lease_.OnWatched(state.lease);
  }
  const LeaseRecord newest = NewestLease();
  for (const auto& [target, stored] : state.orders) {
    reconciler_.OnOrder(target, stored, newest, now);
  }
}

void Controller::Tick() {
  if (!options_.enabled) {
    return;
  }
  lease_.Tick();
  ExecuteActions(reconciler_.Tick(lease_.Authority(), clock_()));
}

void Controller::Resign() { lease_.Resign(); }

LeaseKeeper::Options Controller::LeaseOptions() const {
  return {options_.lease, options_.call_deadline};
}

LeaseKeeper::Hooks Controller::LeaseHooks() {
  LeaseKeeper::Hooks hooks;
  hooks.on_gained = [this](FencingNumber number) {
    RecordLeaseChange("lease won", number, "", options_.lease.holder);
  };
  hooks.on_lost = [this](FencingNumber number, LeaseLoss reason) {
    RecordLeaseChange("lease " + std::string(LeaseLossName(reason)), number,
                      options_.lease.holder, "");
  };
  hooks.jitter = hooks_.jitter;
  return hooks;
}

void Controller::RecordLeaseChange(std::string cause, FencingNumber number,
                                   std::string before, std::string after) {
  AuditRecord record;
  record.kind = AuditKind::kLease;
  record.subject = kLeaseKey;
  record.cause = std::move(cause);
  record.actor = options_.lease.holder;
  record.fencing_number = number;
  record.before = std::move(before);
  record.after = std::move(after);
  hooks_.audit(std::move(record));
}

void Controller::ExecuteActions(const Reconciler::Actions& actions) {
  for (const Reconciler::Action& action : actions) {
    if (std::holds_alternative<Reconciler::ReadOrders>(action)) {
      ReadOrders();
    } else if (const auto* read = std::get_if<Reconciler::ReadOrder>(&action)) {
      ReadOrder(read->target);
    } else if (const auto* w = std::get_if<Reconciler::WriteOrder>(&action)) {
      WriteOrder(*w);
    } else if (const auto* record = std::get_if<AuditRecord>(&action)) {
      hooks_.audit(*record);
    }
  }
}

void Controller::ReadOrders() {
  store_->List(
      kControlPrefix, {CallPriority::kOrder, options_.call_deadline},
      [this, alive = alive_](const Result<ObjectStore::Listing>& result) {
        if (!*alive) {
          return;
        }
        if (!IsOk(result)) {
          reconciler_.OnOrders(ErrorOf(result), NewestLease(), clock_());
          return;
        }
        ControlState state;
        for (const StoredObject& object : ValueOf(result).objects) {
          AddControlObject(object, &state);
        }
        std::vector<StoredOrder> orders;
        for (auto& [target, stored] : state.orders) {
          orders.push_back(std::move(stored));
        }
        // Uses the lease of the same listing, so that a stale listing is
        // recognised.
        reconciler_.OnOrders(std::move(orders),
                             state.lease.record.value_or(LeaseRecord{}),
                             clock_());
      });
}

void Controller::ReadOrder(const std::string& target) {
  store_->Get(OrderKey(target), {CallPriority::kOrder, options_.call_deadline},
              [this, alive = alive_,
               target](const Result<std::optional<StoredObject>>& result) {
                if (*alive && IsOk(result)) {
                  reconciler_.OnOrder(target, OrderFrom(ValueOf(result)),
                                      NewestLease(), clock_());
                }
              });
}

void Controller::WriteOrder(const Reconciler::WriteOrder& write) {
  const std::string target = write.order.target;
  const Id128 nonce = write.order.nonce;
  const std::string value = EncodeOrder(write.order);
  if (lease_.Authority() != write.order.fencing_number) {
    log_(kOrderWithheld, {{"target", target}});
    reconciler_.OnWritten(
        target, nonce,
        Error{ErrorCode::kStaleAuthority, "order.write", "store",
              "the authority ended between the decision and the write"},
        clock_());
    return;
  }
  store_->Put(OrderKey(target), value, write.expected,
              {CallPriority::kOrder, options_.call_deadline},
              [this, alive = alive_, target,
               nonce](const Result<std::uint64_t>& result) {
                if (*alive) {
                  reconciler_.OnWritten(target, nonce, result, clock_());
                }
              });
}

LeaseRecord Controller::NewestLease() const {
  return lease_.lease().newest().record.value_or(LeaseRecord{});
}

}  // namespace indigolead
