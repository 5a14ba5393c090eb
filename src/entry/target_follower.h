#ifndef INDIGOLEAD_ENTRY_TARGET_FOLLOWER_H_
#define INDIGOLEAD_ENTRY_TARGET_FOLLOWER_H_

#include <functional>
#include <optional>

#include "core/base/time.h"
#include "observe/event_log.h"
#include "store/list_watcher.h"
#include "store/run_after.h"

namespace indigolead {

/// Follows the targets' registrations in the store, and tells what an entry
/// needs to judge them by: the list, whether the store can be followed, and up
/// to when the list is known.
///
/// Runs on the thread of its store.
class TargetFollower {
 public:
  struct Hooks {
    /// The list, whole or, while the first one is read, a part of it.
    std::function<void(const ListWatcher::State&)> on_listed;
    /// The store cannot be followed; it was last heard at `heard_at`.
    std::function<void(TimePoint heard_at)> on_lost;
    /// The store can be followed again. May come repeatedly.
    std::function<void()> on_followed;
    /// Every change until then is in the list told last.
    std::function<void(TimePoint known_until)> on_known_until;
    /// Returns when something begins to depend on how the list stands then;
    /// nothing if nothing does. The store is asked at that time.
    std::function<std::optional<TimePoint>()> asks_at;
    /// Returns a number in [0, 1) that spreads the tries to reach the store.
    std::function<double()> jitter;
  };

  /// `store` must outlive this object.
  TargetFollower(ObjectStore* store, ListWatcher::Options options, Hooks hooks,
                 Clock clock, RunAfter run_after, EventLog log);
  TargetFollower(const TargetFollower&) = delete;
  TargetFollower& operator=(const TargetFollower&) = delete;

  /// Starts with the first list.
  void Start() { watcher_.Start(); }
  /// Call several times a second.
  void Tick();

  /// Returns true once a list, or a part of the first one, was told.
  bool listed() const { return listed_; }
  /// Returns the state with the version up to which every change is in it.
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
