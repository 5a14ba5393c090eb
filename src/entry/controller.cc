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
      lease_(options_.lease, ids, hooks_.jitter),
      reconciler_(options_.reconciler, hooks_.role_plan, ids),
      alive_(std::make_shared<bool>(true)) {}

Controller::~Controller() { *alive_ = false; }

void Controller::OnState(const ControlState& state) {
  const TimePoint now = clock_();
  if (state.lease.version != 0) {
    Carry(lease_.OnWatched(state.lease, now));
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
  Carry(lease_.Tick(clock_()));
  const TimePoint now = clock_();
  Carry(reconciler_.Tick(lease_.Authority(now), now));
}

void Controller::Resign() { Carry(lease_.Resign(clock_())); }

void Controller::Carry(const Lease::Actions& actions) {
  for (const Lease::Action& action : actions) {
    if (std::holds_alternative<Lease::Read>(action)) {
      ReadLease();
    } else if (const auto* write = std::get_if<Lease::Write>(&action)) {
      WriteLease(*write);
    } else if (const auto* gained = std::get_if<Lease::Gained>(&action)) {
      log_(kLeaseGained, {{"number", std::to_string(gained->number)}});
      NoteMove("lease won", gained->number, "", options_.lease.holder);
    } else if (const auto* lost = std::get_if<Lease::Lost>(&action)) {
      const std::string reason(LeaseLossName(lost->reason));
      log_(kLeaseLost,
           {{"number", std::to_string(lost->number)}, {"reason", reason}});
      NoteMove("lease " + reason, lost->number, options_.lease.holder, "");
    }
  }
}

void Controller::ReadLease() {
  store_->Get(kLeaseKey, {CallPriority::kLease, options_.call_deadline},
              [this, alive = alive_](
                  const Result<std::optional<StoredObject>>& result) {
                if (!*alive) {
                  return;
                }
                Result<LeaseView> view = LeaseView{};
                if (IsOk(result)) {
                  view = LeaseFrom(ValueOf(result));
                } else {
                  view = ErrorOf(result);
                }
                Carry(lease_.OnRead(view, clock_()));
              });
}

void Controller::WriteLease(const Lease::Write& write) {
  store_->Put(kLeaseKey, EncodeLease(write.record), write.expected,
              {CallPriority::kLease, options_.call_deadline},
              [this, alive = alive_, nonce = write.record.nonce](
                  const Result<std::uint64_t>& result) {
                if (*alive) {
                  Carry(lease_.OnWritten(nonce, result, clock_()));
                }
              });
}

void Controller::NoteMove(std::string cause, FencingNumber number,
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

void Controller::Carry(const Reconciler::Actions& actions) {
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
        // The lease of the same listing, so that a stale one is recognised.
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
  if (lease_.Authority(clock_()) != write.order.fencing_number) {
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
  return lease_.newest().record.value_or(LeaseRecord{});
}

}  // namespace indigolead
