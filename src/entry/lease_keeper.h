#ifndef INDIGOLEAD_ENTRY_LEASE_KEEPER_H_
#define INDIGOLEAD_ENTRY_LEASE_KEEPER_H_

#include <functional>
#include <memory>
#include <optional>

#include "core/control/lease.h"
#include "observe/event_log.h"
#include "store/object_store.h"

namespace indigolead {

/// Carries out what the control lease decides, with calls of the store.
///
/// Lives on the thread of its store.
class LeaseKeeper {
 public:
  struct Options {
    Lease::Options lease;
    Duration call_deadline = std::chrono::seconds(2);
  };
  struct Hooks {
    /// Authority under the number began.
    std::function<void(FencingNumber)> on_gained;
    /// Authority under the number ended.
    std::function<void(FencingNumber, LeaseLoss)> on_lost;
    Lease::Jitter jitter;
  };

  /// `store` must outlive this object.
  LeaseKeeper(ObjectStore* store, Options options, Hooks hooks, Clock clock,
              IdSource ids, EventLog log);
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  /// A watch showed the lease.
  void OnWatched(const LeaseView& view);
  /// See `Lease::SetReserve`.
  void SetReserve(bool reserve) { lease_.SetReserve(reserve); }
  /// Drives the timers; call several times a second.
  void Tick();
  /// Gives the lease up, if it is held here.
  void Resign();

  /// Returns the number to act under, as of a fresh reading of the clock.
  std::optional<FencingNumber> Authority() const;
  const Lease& lease() const { return lease_; }

 private:
  void Carry(const Lease::Actions& actions);
  void Read();
  void Write(const Lease::Write& write);

  ObjectStore* store_;
  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  Lease lease_;
  /// Callbacks of the store may come after this object is gone.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_LEASE_KEEPER_H_
