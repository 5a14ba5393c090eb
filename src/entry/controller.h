#ifndef INDIGOLEAD_ENTRY_CONTROLLER_H_
#define INDIGOLEAD_ENTRY_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/control/lease.h"
#include "core/control/reconciler.h"
#include "entry/control_state.h"
#include "entry/lease_keeper.h"
#include "observe/event_log.h"
#include "store/object_store.h"

namespace indigolead {

/// Executes the decisions of the lease and the reconciler as store calls.
///
/// Every entry has a controller, but only the lease holder writes orders. The
/// authority is checked again with a fresh clock reading immediately before
/// each order is handed to the store, because a process may be suspended
/// between the decision and the send. An order that is written late
/// nevertheless carries an old fencing number and a store version after the new
/// lease, so it is forwarded to no side.
///
/// Runs on the thread of its store.
class Controller {
 public:
  struct Options {
    Lease::Options lease;
    Reconciler::Options reconciler;
    /// Whether this entry competes for the lease. An entry that does not still
    /// follows the orders.
    bool enabled = true;
    Duration call_deadline = std::chrono::seconds(2);
  };
  struct Hooks {
    std::function<void(AuditRecord)> audit;
    RolePlan role_plan;
    Lease::Jitter jitter;
  };

  /// `store` must outlive this object.
  Controller(ObjectStore* store, Options options, Hooks hooks, Clock clock,
             IdSource ids, EventLog log);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  /// Takes the lease and orders delivered by the watch.
  void OnState(const ControlState& state);
  /// Drives the lease and the reconciler; must be called several times a
  /// second.
  void Tick();
  /// Releases the lease if this entry holds it.
  void Resign();

  Reconciler& reconciler() { return reconciler_; }
  const Reconciler& reconciler() const { return reconciler_; }
  const Lease& lease() const { return lease_.lease(); }

 private:
  LeaseKeeper::Options LeaseOptions() const;
  LeaseKeeper::Hooks LeaseHooks();
  void RecordLeaseChange(std::string cause, FencingNumber number,
                         std::string before, std::string after);
  void ExecuteActions(const Reconciler::Actions& actions);
  void ReadOrders();
  void ReadOrder(const std::string& target);
  void WriteOrder(const Reconciler::WriteOrder& write);
  LeaseRecord NewestLease() const;

  ObjectStore* store_;
  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  LeaseKeeper lease_;
  Reconciler reconciler_;
  /// False once this object is destroyed; store callbacks may run after that.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CONTROLLER_H_
