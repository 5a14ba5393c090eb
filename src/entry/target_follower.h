#ifndef INDIGOLEAD_ENTRY_TARGET_FOLLOWER_H_
#define INDIGOLEAD_ENTRY_TARGET_FOLLOWER_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

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
    /// Receives the complete list.
    std::function<void(const ListWatcher::State&)> on_listed;
    /// Receives what has been read of the first list, until it is complete.
    std::function<void(const ListWatcher::State&)> on_part;
    /// Receives an object that was in the list between two reported ones.
    std::function<void(const StoredObject&)> on_passed;
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

  /// Longest time that a question waits for the store.
  static constexpr Duration kConfirmWithin = std::chrono::milliseconds(700);
  /// Shortest time between two reads of an entry for questions.
  static constexpr Duration kMinReadInterval = std::chrono::milliseconds(100);
  /// Shortest mean time between such reads by any entries of a fleet that is
  /// not too large for it: 200 a second.
  static constexpr Duration kFleetReadGap = std::chrono::milliseconds(5);
  /// Longest such time for one entry, so that a question in a large fleet gets
  /// its read before it ends.
  static constexpr Duration kMaxReadInterval = kConfirmWithin / 2;
  /// Questions that may wait, which bounds the memory.
  static constexpr std::size_t kMaxQuestions = 4096;

  /// `store` must outlive this object.
  TargetFollower(ObjectStore* store, ListWatcher::Options options, Hooks hooks,
                 Clock clock, RunAfter run_after, EventLog log);
  TargetFollower(const TargetFollower&) = delete;
  TargetFollower& operator=(const TargetFollower&) = delete;

  /// Requests the first list.
  void Start() { watcher_.Start(); }
  /// Call several times a second.
  void Tick();

  /// Brings the list up to date and calls `done` with true once it includes
  /// every change up to `needed_at`, or with false if that takes longer than
  /// `kConfirmWithin`. Calls it exactly once, possibly before it
  /// returns. Questions share their reads of the store.
  void Confirm(TimePoint needed_at, std::function<void(bool)> done);
  /// Sets the number of entries, on which the rate of these reads depends.
  void SetEntries(std::size_t entries) { entries_ = entries; }

  /// Returns true once a list, or a part of the first one, was reported.
  bool listed() const { return listed_; }
  /// Returns the state with the store version up to which it is complete.
  ObjectStore::Listing Known() const { return watcher_.Known(); }

 private:
  struct Question {
    TimePoint needed_at;
    TimePoint ends_at;
    std::function<void(bool)> done;
  };

  ListWatcher::Hooks WatcherHooks();
  /// Answers the questions that the list answers, or that have waited long
  /// enough.
  void AnswerQuestions();
  /// Reads the changes if a question waits for it.
  void ReadForQuestions();
  void NoteListed();
  void NoteFollowed();

  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  std::size_t entries_ = 0;
  std::vector<Question> questions_;
  TimePoint read_ahead_at_{};  ///< Time of the latest read for questions.
  bool listed_ = false;
  bool following_ = false;
  ListWatcher watcher_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_TARGET_FOLLOWER_H_
