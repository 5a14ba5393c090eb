#ifndef INDIGOLEAD_ENTRY_GUARD_STATE_STORE_H_
#define INDIGOLEAD_ENTRY_GUARD_STATE_STORE_H_

#include <functional>
#include <optional>

#include "entry/quarantine_store.h"
#include "entry/request_guards.h"
#include "entry/slot_map_manager.h"

namespace indigolead {

/// The part of the request guards on the platform thread: maintains slot maps
/// and quarantines in the store.
class GuardStateStore {
 public:
  struct Hooks {
    /// Passes an event to `RequestGuards::OnEvent`.
    std::function<void(GuardEvent&&)> emit;
    /// Returns the fencing number while this entry holds the control lease.
    std::function<std::optional<FencingNumber>()> fencing_number;
    std::function<double()> jitter;
  };

  /// `store` must outlive this object.
  GuardStateStore(ObjectStore* store, Duration call_deadline, Hooks hooks,
                  Clock clock, RunAfter run_after, EventLog log);

  void Start();
  void OnMessage(GuardMessage&& message);
  void OnInstances(const InstanceList& list) { slots_.OnInstances(list); }
  /// Must be called several times a second.
  void Tick();

 private:
  static SlotMapManager::Options SlotOptions(Duration call_deadline);
  static SlotMapManager::Hooks SlotHooks(const Hooks& hooks);
  static QuarantineStore::Hooks QuarantineHooks(const Hooks& hooks);

  Hooks hooks_;
  SlotMapManager slots_;
  QuarantineStore quarantines_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_GUARD_STATE_STORE_H_
