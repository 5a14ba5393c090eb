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

/// Carries out what lease and reconciler decide, with calls of the store.
///
/// Every entry has one; only the holder of the lease writes orders. The
/// authority is asked for again with a fresh clock reading immediately before
/// each order is handed to the store, because a process may sleep between the
/// decision and the send. What slips through even so carries an old number,
/// lands after the new lease, and is passed on to no side.
///
/// Lives on the thread of its store.
class Controller {
 public:
  struct Options {
    Lease::Options lease;
    Reconciler::Options reconciler;
    /// Takes part in the lease. Entries that do not still follow the orders.
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

  /// The watch showed lease and orders.
  void OnState(const ControlState& state);
  /// Drives both cores; call several times a second.
  void Tick();
  /// Gives the lease up, if it is held here.
  void Resign();

  Reconciler& reconciler() { return reconciler_; }
  const Reconciler& reconciler() const { return reconciler_; }
  const Lease& lease() const { return lease_.lease(); }

 private:
  LeaseKeeper::Options LeaseOptions() const;
  LeaseKeeper::Hooks LeaseHooks();
  void NoteMove(std::string cause, FencingNumber number, std::string before,
                std::string after);
  void Carry(const Reconciler::Actions& actions);
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
  /// Callbacks of the store may come after this object is gone.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CONTROLLER_H_
