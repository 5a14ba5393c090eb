#ifndef INDIGOLEAD_ENTRY_TARGET_FOLLOWER_H_
#define INDIGOLEAD_ENTRY_TARGET_FOLLOWER_H_

#include <functional>
#include <optional>

#include "core/base/time.h"
#include "observe/event_log.h"
#include "store/list_watcher.h"
#include "store/run_after.h"

namespace indigolead {

/// Watches the targets' registrations in the store. Reports the list, whether
/// the store can be watched, and the time up to which the list is current.
///
/// Runs on the thread of its store.
class TargetFollower {
 public:
  struct Hooks {
    /// Receives the list, or a part of it while the first list is read.
    std::function<void(const ListWatcher::State&)> on_listed;
    /// The store cannot be watched; it last responded at `heard_at`.
    std::function<void(TimePoint heard_at)> on_lost;
    /// The store can be watched. May be called repeatedly.
    std::function<void()> on_followed;
    /// The last reported list contains every change up to `known_until`.
    std::function<void(TimePoint known_until)> on_known_until;
    /// Returns the time at which a current list is needed, or nullopt if none
    /// is. The store is asked then unless the list is already as recent.
    std::function<std::optional<TimePoint>()> list_needed_at;
    /// Returns a number in [0, 1) that randomizes the delay between retries.
    std::function<double()> jitter;
  };

  /// `store` must outlive this object.
  TargetFollower(ObjectStore* store, ListWatcher::Options options, Hooks hooks,
                 Clock clock, RunAfter run_after, EventLog log);
  TargetFollower(const TargetFollower&) = delete;
  TargetFollower& operator=(const TargetFollower&) = delete;

  /// Requests the first list.
  void Start() { watcher_.Start(); }
  /// Call several times a second.
  void Tick();

  /// Returns true once a list, or a part of the first one, was reported.
  bool listed() const { return listed_; }
  /// Returns the state with the store version up to which it is complete.
  ObjectStore::Listing Known() const { return watcher_.Known(); }

 private:
  ListWatcher::Hooks WatcherHooks();
  void OnListed(const ListWatcher::State& state);
  void NoteFollowed();

  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  bool listed_ = false;
  bool following_ = false;
  ListWatcher watcher_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_TARGET_FOLLOWER_H_
