#include "entry/lease_keeper.h"

#include <string>
#include <utility>

#include "entry/control_events.h"
#include "entry/control_state.h"

namespace indigolead {

LeaseKeeper::LeaseKeeper(ObjectStore* store, Options options, Hooks hooks,
                         Clock clock, IdSource ids, EventLog log)
    : store_(store),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      lease_(options_.lease, std::move(ids), hooks_.jitter),
      alive_(std::make_shared<bool>(true)) {}

LeaseKeeper::~LeaseKeeper() { *alive_ = false; }

void LeaseKeeper::OnWatched(const LeaseView& view) {
  ExecuteActions(lease_.OnWatched(view, clock_()));
}

void LeaseKeeper::Tick() { ExecuteActions(lease_.Tick(clock_())); }

void LeaseKeeper::Resign() { ExecuteActions(lease_.Resign(clock_())); }

std::optional<FencingNumber> LeaseKeeper::Authority() const {
  return lease_.Authority(clock_());
}

void LeaseKeeper::ExecuteActions(const Lease::Actions& actions) {
  for (const Lease::Action& action : actions) {
    if (std::holds_alternative<Lease::Read>(action)) {
      Read();
    } else if (const auto* write = std::get_if<Lease::Write>(&action)) {
      Write(*write);
    } else if (const auto* gained = std::get_if<Lease::Gained>(&action)) {
      log_(kLeaseGained, {{"number", std::to_string(gained->number)}});
      hooks_.on_gained(gained->number);
    } else if (const auto* lost = std::get_if<Lease::Lost>(&action)) {
      log_(kLeaseLost, {{"number", std::to_string(lost->number)},
                        {"reason", std::string(LeaseLossName(lost->reason))}});
      hooks_.on_lost(lost->number, lost->reason);
    }
  }
}

void LeaseKeeper::Read() {
  const CallOptions call{CallPriority::kLease, options_.call_deadline,
                         !lease_.needs_newest()};
  store_->Get(kLeaseKey, call,
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
                ExecuteActions(lease_.OnRead(view, clock_()));
              });
}

void LeaseKeeper::Write(const Lease::Write& write) {
  store_->Put(kLeaseKey, EncodeLease(write.record), write.expected,
              {CallPriority::kLease, options_.call_deadline},
              [this, alive = alive_, nonce = write.record.nonce](
                  const Result<std::uint64_t>& result) {
                if (*alive) {
                  ExecuteActions(lease_.OnWritten(nonce, result, clock_()));
                }
              });
}

}  // namespace indigolead
