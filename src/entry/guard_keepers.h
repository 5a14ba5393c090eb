#ifndef INDIGOLEAD_ENTRY_GUARD_KEEPERS_H_
#define INDIGOLEAD_ENTRY_GUARD_KEEPERS_H_

#include <functional>
#include <optional>

#include "entry/quarantine_keeper.h"
#include "entry/request_guards.h"
#include "entry/slot_keeper.h"

namespace indigolead {

/// The part of the request guards on the platform thread: maintains slot maps
/// and quarantines in the store.
class GuardKeepers {
 public:
  struct Hooks {
    /// Passes an event to `RequestGuards::OnEvent`.
    std::function<void(GuardEvent&&)> emit;
    /// Returns the fencing number while this entry holds the control lease.
    std::function<std::optional<FencingNumber>()> held_number;
    std::function<double()> jitter;
  };

  /// `store` must outlive this object.
  GuardKeepers(ObjectStore* store, Duration call_deadline, Hooks hooks,
               Clock clock, RunAfter run_after, EventLog log);

  void Start();
  void OnMessage(GuardMessage&& message);
  void OnInstances(const InstanceList& list) { slots_.OnInstances(list); }
  /// Must be called several times a second.
  void Tick();

 private:
  static SlotKeeper::Options SlotOptions(Duration call_deadline);
  static SlotKeeper::Hooks SlotHooks(const Hooks& hooks);
  static QuarantineKeeper::Hooks QuarantineHooks(const Hooks& hooks);

  Hooks hooks_;
  SlotKeeper slots_;
  QuarantineKeeper quarantines_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_GUARD_KEEPERS_H_
