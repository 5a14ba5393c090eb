#ifndef INDIGOLEAD_ENTRY_LEASE_KEEPER_H_
#define INDIGOLEAD_ENTRY_LEASE_KEEPER_H_

#include <functional>
#include <memory>
#include <optional>

#include "core/control/lease.h"
#include "observe/event_log.h"
#include "store/object_store.h"

namespace indigolead {

/// Executes the decisions of the control lease as store calls.
///
/// Runs on the thread of its store.
class LeaseKeeper {
 public:
  struct Options {
    Lease::Options lease;
    Duration call_deadline = std::chrono::seconds(2);
  };
  struct Hooks {
    /// Called when this entry may act as controller under the fencing number.
    std::function<void(FencingNumber)> on_gained;
    /// Called when it may no longer act under the fencing number.
    std::function<void(FencingNumber, LeaseLoss)> on_lost;
    Lease::Jitter jitter;
  };

  /// `store` must outlive this object.
  LeaseKeeper(ObjectStore* store, Options options, Hooks hooks, Clock clock,
              IdSource ids, EventLog log);
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  /// Processes the state of the lease that a watch reported.
  void OnWatched(const LeaseView& view);
  /// See `Lease::SetReserve`.
  void SetReserve(bool reserve) { lease_.SetReserve(reserve); }
  /// Drives the timers; must be called several times a second.
  void Tick();
  /// Releases the lease if this entry holds it.
  void Resign();

  /// Returns the fencing number to act under as of a fresh clock reading, or
  /// nothing if this entry may not act as controller.
  std::optional<FencingNumber> Authority() const;
  const Lease& lease() const { return lease_; }

 private:
  void ExecuteActions(const Lease::Actions& actions);
  void Read();
  void Write(const Lease::Write& write);

  ObjectStore* store_;
  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  Lease lease_;
  /// False once this object is destroyed; store callbacks may run after that.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_LEASE_KEEPER_H_
