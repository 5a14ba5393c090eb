#ifndef INDIGOLEAD_STORE_WATCH_FEED_H_
#define INDIGOLEAD_STORE_WATCH_FEED_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "core/base/time.h"
#include "store/polled_watch.h"
#include "store/run_after.h"

namespace indigolead {

/// Serves the polls of many watches of one prefix with few store calls.
///
/// Every poll is answered by a store call that completed after the poll
/// arrived. A response is therefore older than its request by at most the
/// relay's lag, without synchronized clocks. No call is made while no poll is
/// pending. A call that fails is repeated once at once, without waiting for
/// changes, before the error is passed to the pending polls, since each poller
/// would then call the store itself.
///
/// If the store no longer has the changes, it is listed once, and the pending
/// polls receive the difference between the list and the state known to this
/// process. Otherwise hundreds of entries would list everything at the same
/// time.
///
/// Runs on the thread of its store. Memory use is bounded by the number of kept
/// changes.
class WatchFeed {
 public:
  struct Options {
    /// Minimum time between two store calls.
    Duration min_interval = std::chrono::milliseconds(400);
    /// Time within which a poll is answered, with or without changes, while the
    /// store works.
    Duration answer_within = std::chrono::milliseconds(600);
    /// A call is repeated, without waiting for changes, if it is unanswered
    /// this long after its wait should have ended, because the store may drop a
    /// call silently or stop responding for a while. Repeats end shortly before
    /// the pollers give up.
    Duration overdue_after = std::chrono::milliseconds(200);
    /// Maximum number of changes kept for pollers that are behind.
    std::size_t max_events = 4096;

    friend bool operator==(const Options&, const Options&) = default;
  };
  struct Hooks {
    /// Makes one store call that waits for changes after `from`, for at most
    /// `wait`. Must not invoke `done` from inside the call.
    std::function<void(std::uint64_t from, Duration wait,
                       PolledWatch::PollDone done)>
        poll;
    /// Lists all objects, without stale reads. Must not invoke `done` from
    /// inside the call.
    std::function<void(ObjectStore::Callback<ObjectStore::Listing> done)> list;
    /// Returns the objects as known to this process.
    std::function<ObjectStore::Listing()> known;
  };

  WatchFeed(const Options& options, Hooks hooks, Clock clock,
            RunAfter run_after);
  ~WatchFeed();
  WatchFeed(const WatchFeed&) = delete;
  WatchFeed& operator=(const WatchFeed&) = delete;

  /// Requests the changes after `from`. Never answered from inside the call.
  /// Fails with `kNotFound` if the changes are no longer available.
  void Ask(std::uint64_t from, PolledWatch::PollDone done);

 private:
  struct PendingPoll {
    std::uint64_t from = 0;
    TimePoint requested_at{};
    PolledWatch::PollDone done;
  };

  void ScheduleCall();
  void Call();
  void CallFrom(std::uint64_t from, Duration wait);
  void OnAnswer(const Result<WatchBatch>& answer);
  void OnFailed(const Error& error);
  void Relist(const Error& error);
  void OnListed(const Result<ObjectStore::Listing>& result, const Error& error);
  void AddEvents(const WatchBatch& batch);
  void Trim();
  void ClearEvents();
  void AnswerAll();
  Result<WatchBatch> AnswerTo(const PendingPoll& pending_poll) const;
  std::uint64_t LowestRequestedVersion() const;

  Options options_;
  Hooks hooks_;
  Clock clock_;
  RunAfter run_after_;
  std::vector<PendingPoll> pending_polls_;
  std::deque<WatchEvent> events_;
  std::uint64_t kept_from_ = 0;  ///< `events_` has all later changes.
  /// Changes between `kept_from_` and this version are known only as a net
  /// difference between two listings, which is of no use to a poller at a
  /// version in between.
  std::uint64_t diff_until_ = 0;
  /// Version up to which `events_` is complete; 0 if no changes are known.
  std::uint64_t version_ = 0;
  bool call_scheduled_ = false;  ///< A call is planned or in flight.
  std::uint64_t call_ = 0;       ///< Number of the call in flight.
  TimePoint called_at_{};
  std::uint64_t called_from_ = 0;
  /// The call rereads changes that are no longer kept, for a poller that is
  /// behind.
  bool rereading_ = false;
  bool is_repeat_ = false;    ///< The call in flight repeats a failed one.
  TimePoint repeat_until_{};  ///< No repeats of overdue calls after it.
  /// False once this object is destroyed; callbacks may run later.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_WATCH_FEED_H_
