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
/// Lists the objects, then watches from the listed version. When the watch
/// breaks or goes silent, it reads the changes since then, retrying with
/// exponential backoff and jitter so that a fleet does not hit a recovering
/// store all at once. Every other retry lists instead, because a store may
/// answer lists but not reads of changes; it also lists if the store no longer
/// has the changes.
///
/// Once the first list has succeeded, each retry opens a new connection and
/// does not wait for earlier retries: one sent just before the store recovered
/// would otherwise cost its whole deadline. A listing older than the held state
/// is a stale read, which must not revert configuration; it is dropped and the
/// watch resumes from the held version.
///
/// Runs on the thread of its store.
class ListWatcher {
 public:
  /// Objects by key.
  using State = std::map<std::string, StoredObject>;

  struct Options {
    std::string prefix;
    CallOptions list;
    /// Allows the first list to be a few seconds old; the watch after it brings
    /// the state up to date.
    bool first_may_be_stale = false;
    /// Delay between the end of a watch and the first retry.
    Duration min_backoff = std::chrono::milliseconds(200);
    /// Longest time from the start of one retry to the next.
    Duration max_backoff = std::chrono::seconds(10);
    /// Deadline of one read of changes.
    Duration read_deadline = std::chrono::milliseconds(700);
  };

  struct Hooks {
    /// Called when the state changed, was first read, or was read again after
    /// the store had been lost. `version` is the store-wide version up to which
    /// it is known.
    std::function<void(const State&, std::uint64_t version)> on_state;
    /// Called when listing failed or the watch ended; a retry follows.
    std::function<void(const Error&)> on_error;
    /// Returns a random number in [0, 1) to jitter the delays.
    std::function<double()> jitter;
    /// Called with the partial state when the first list takes several calls.
    /// May be empty.
    std::function<void(const State&)> on_part{};
    /// Called with each object that a later change of the same response
    /// replaces or deletes, before `on_state`: no state contains it. May be
    /// empty.
    std::function<void(const StoredObject&)> on_passed{};
  };

  /// `store` must outlive this object.
  ListWatcher(ObjectStore* store, Options options, Hooks hooks, Clock clock,
              RunAfter run_after, EventLog log);

  /// Stops the watcher; the hooks are not called afterwards.
  ~ListWatcher();
  ListWatcher(const ListWatcher&) = delete;
  ListWatcher& operator=(const ListWatcher&) = delete;

  /// Starts with the first listing.
  void Start();

  const State& state() const { return state_; }

  /// Returns a snapshot of the state and the version up to which it includes
  /// every change.
  ObjectStore::Listing Known() const;

  /// Returns the store-wide version up to which the state is known; 0 before
  /// the first listing.
  std::uint64_t version() const { return version_; }

  /// Returns true while a watch is active.
  bool following() const { return watch_ != nullptr; }

  /// Returns the time up to which the state includes every change, as proven by
  /// responses of the store. Default-constructed before the first one.
  TimePoint fresh_at() const;

  /// Returns the time up to which lists and reads of changes that went to the
  /// store itself prove that the state includes every change. A response to the
  /// watch is not counted: through a relay it may be older than it seems.
  TimePoint proven_until() const { return proven_until_; }

  /// Returns when the store last responded. Default-constructed before the
  /// first response.
  TimePoint heard_at() const;

  /// Reads changes at once, in addition to the active watch; the response
  /// advances `fresh_at`. Does nothing without an active watch, or within
  /// `max_backoff` of the previous such read.
  void Refresh();

  /// Reads changes at once, in addition to the active watch; the response
  /// advances `proven_until`. Does nothing without an active watch, or while
  /// such a read is in flight.
  void ReadAhead();

 private:
  void List();
  void Retry();
  void ReadChanges();
  void OnChangesRead(TimePoint started_at, const Result<WatchBatch>& result);
  void OnReadChangesFailed(TimePoint started_at, const Error& error);
  void ReadBesideWatch(std::function<void()> on_end);
  void OnRefreshed(TimePoint requested_at, const Result<WatchBatch>& result);
  bool ApplyAll(const std::vector<WatchEvent>& events);
  void RecordResponse(TimePoint known_until);
  void ReportError(const Error& error);
  void ScheduleRetry();
  Duration NextDelay();
  void OnListed(const Result<ObjectStore::Listing>& result);
  void OnPart(const ObjectStore::Listing& part);
  void ApplyListing(const ObjectStore::Listing& listing);
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
  TimePoint known_until_{};  ///< From responses outside the watch.
  TimePoint heard_at_{};     ///< From responses outside the watch.
  TimePoint proven_until_{};
  bool reading_ahead_ = false;
  TimePoint watch_started_{};
  std::uint64_t next_retry_ = 0;  ///< Number of the next retry.
  bool listing_ = false;
  std::uint32_t retry_count_ = 0;  ///< Retries after the first list.
  TimePoint refreshed_at_{};       ///< Time of the latest `Refresh`.
  TimePoint list_started_at_{};    ///< Start time of the list in flight.
  std::unique_ptr<ObjectStore::Watch> watch_;
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_LIST_WATCHER_H_
