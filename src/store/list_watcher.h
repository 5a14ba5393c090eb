#ifndef INDIGOLEAD_STORE_LIST_WATCHER_H_
#define INDIGOLEAD_STORE_LIST_WATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "observe/event_log.h"
#include "store/object_store.h"
#include "store/run_after.h"

namespace indigolead {

/// Keeps a copy of the objects below a prefix up to date.
///
/// Lists, then watches from the version listed. When the watch breaks or falls
/// silent it asks for what has changed since, after a growing delay with jitter
/// so that a fleet does not come back to a recovering store all at once. It
/// lists again with each second try, since a store may answer lists and be
/// silent to whoever asks for changes, and if the store has not kept these.
/// Each try opens a connection and waits for none before it: one that was sent
/// right before the store could be reached again would cost its whole deadline.
/// A stale read must not take configuration back, so a listing older than what
/// is held is dropped and the watch goes on from the version held.
///
/// Runs on the thread of its store.
class ListWatcher {
 public:
  /// Objects by key.
  using State = std::map<std::string, StoredObject>;

  struct Options {
    std::string prefix;
    CallOptions list;
    /// The first list may show the state of seconds ago; the watch after it
    /// brings it forward.
    bool first_may_be_stale = false;
    /// From the end of a watch to the first try, and the longest time from the
    /// start of one try to the next.
    Duration min_backoff = std::chrono::milliseconds(200);
    Duration max_backoff = std::chrono::seconds(10);
    /// Time in which a try must be answered.
    Duration try_deadline = std::chrono::milliseconds(700);
  };

  struct Hooks {
    /// The state changed, was read for the first time, or was read again after
    /// the store had been lost. `version` is the store-wide version up to which
    /// it is known.
    std::function<void(const State&, std::uint64_t version)> on_state;
    /// The store could not be read or the watch ended; another try follows.
    std::function<void(const Error&)> on_error;
    /// Returns a number in [0, 1) that spreads the delays.
    std::function<double()> jitter;
    /// A part of the first list was read, of one that takes several calls. May
    /// be empty.
    std::function<void(const State&)> on_part{};
  };

  /// `store` must outlive this object.
  ListWatcher(ObjectStore* store, Options options, Hooks hooks, Clock clock,
              RunAfter run_after, EventLog log);

  /// Stops; the hooks are not called afterwards.
  ~ListWatcher();
  ListWatcher(const ListWatcher&) = delete;
  ListWatcher& operator=(const ListWatcher&) = delete;

  /// Starts with the first listing.
  void Start();

  const State& state() const { return state_; }

  /// Returns the state with the version up to which every change is in it.
  ObjectStore::Listing Known() const;

  /// Returns the store-wide version up to which the state is known; 0 before
  /// the first listing.
  std::uint64_t version() const { return version_; }

  /// Returns true while a watch follows the store.
  bool following() const { return watch_ != nullptr; }

  /// Returns up to when every change is in the state, as answers of the store
  /// prove it. Default-constructed before the first.
  TimePoint fresh_at() const;

  /// Returns when the store was last heard. Default-constructed before that.
  TimePoint heard_at() const;

  /// Asks for changes at once, beside the watch that follows the store; its
  /// answer moves `fresh_at`. Does nothing while nothing follows the store, and
  /// within `max_backoff` of the last such question.
  void Ask();

 private:
  void List();
  void Try();
  void ReadChanges();
  void OnTried(TimePoint tried_at, const Result<WatchBatch>& result);
  void OnTryFailed(TimePoint tried_at, const Error& error);
  void OnAsked(TimePoint asked_at, const Result<WatchBatch>& result);
  bool ApplyAll(const std::vector<WatchEvent>& events);
  void NoteHeard(TimePoint known_until);
  void NoteLost(const Error& error);
  void TryLater();
  Duration NextDelay();
  void OnListed(const Result<ObjectStore::Listing>& result);
  void OnPart(const ObjectStore::Listing& part);
  void TakeListing(const ObjectStore::Listing& listing);
  void StartWatch();
  void OnEvents(const std::vector<WatchEvent>& events);
  bool Apply(const WatchEvent& event, std::uint64_t known);
  void OnWatchEnd(const Error& error);

  ObjectStore* store_;
  Options options_;
  Hooks hooks_;
  Clock clock_;
  RunAfter run_after_;
  EventLog log_;
  State state_;
  std::uint64_t version_ = 0;
  bool listed_ = false;
  std::uint32_t failures_ = 0;
  TimePoint known_until_{};  ///< By lists, tries and questions.
  TimePoint heard_at_{};     ///< As above.
  TimePoint watch_started_{};
  std::uint64_t next_try_ = 0;  ///< Number of the try that is due next.
  bool listing_ = false;
  std::uint32_t tries_ = 0;  ///< Since the first list.
  TimePoint asked_at_{};     ///< Of the latest question.
  TimePoint listed_from_{};  ///< When the list in flight was asked for.
  std::unique_ptr<ObjectStore::Watch> watch_;
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_LIST_WATCHER_H_
