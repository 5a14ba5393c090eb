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

/// Answers the questions of many watches of one prefix with few calls.
///
/// Every question is answered by a call of the store that ended after it came:
/// an answer tells how things stood after its question was sent, and no clock
/// in common is needed to know that. No call is made while nobody asks. A call
/// that breaks is made once more at once, without waiting for changes, before
/// all who asked are told so: each of them would make one of its own.
///
/// A store that has forgotten its changes is listed once, and all who asked are
/// told how the list differs from what this process knew. Hundreds of entries
/// would each list everything otherwise, in the same moment.
///
/// Runs on the thread of its store. Memory: the changes kept.
class WatchFeed {
 public:
  struct Options {
    /// Least time between two calls of the store.
    Duration least_gap = std::chrono::milliseconds(400);
    /// A question is answered within this, changes or not, while the store is
    /// well.
    Duration answer_within = std::chrono::milliseconds(600);
    /// A call that is not answered for so long after its wait is repeated
    /// without one, until those who ask are about to give up: the store may
    /// drop a call without a word, or keep silent for a while.
    Duration overdue_after = std::chrono::milliseconds(200);
    /// Changes kept for askers that are behind.
    std::size_t max_events = 4096;

    friend bool operator==(const Options&, const Options&) = default;
  };
  struct Hooks {
    /// Makes one call of the store that waits for changes after `from`, for
    /// `wait` at most. Must not answer from inside the call.
    std::function<void(std::uint64_t from, Duration wait,
                       PolledWatch::PollDone done)>
        poll;
    /// Reads all objects, not stale. Must not answer from inside the call.
    std::function<void(ObjectStore::Callback<ObjectStore::Listing> done)> list;
    /// Returns what this process knows of the objects.
    std::function<ObjectStore::Listing()> known;
  };

  WatchFeed(const Options& options, Hooks hooks, Clock clock,
            RunAfter run_after);
  ~WatchFeed();
  WatchFeed(const WatchFeed&) = delete;
  WatchFeed& operator=(const WatchFeed&) = delete;

  /// Asks for the changes after `from`. Never answered from inside the call.
  /// Fails with `kNotFound` if the changes are not kept any more.
  void Ask(std::uint64_t from, PolledWatch::PollDone done);

 private:
  struct Question {
    std::uint64_t from = 0;
    TimePoint asked_at{};
    PolledWatch::PollDone done;
  };

  void CallSoon();
  void Call();
  void CallFrom(std::uint64_t from, Duration wait);
  void OnAnswer(const Result<WatchBatch>& answer);
  void OnFailed(const Error& error);
  void ListAnew(const Error& error);
  void OnListed(const Result<ObjectStore::Listing>& result, const Error& error);
  void Keep(const WatchBatch& batch);
  void Trim();
  void Forget();
  void AnswerAll();
  Result<WatchBatch> AnswerTo(const Question& question) const;
  std::uint64_t LeastAsked() const;

  Options options_;
  Hooks hooks_;
  Clock clock_;
  RunAfter run_after_;
  std::vector<Question> questions_;
  std::deque<WatchEvent> events_;
  std::uint64_t kept_from_ = 0;  ///< All changes after it are in `events_`.
  /// What happened after `kept_from_` and before this is known by its outcome
  /// only, which says nothing to whoever stands in between.
  std::uint64_t gap_until_ = 0;
  std::uint64_t version_ = 0;  ///< Up to which they are; 0: nothing is known.
  bool planned_ = false;       ///< A call is planned or in flight.
  std::uint64_t call_ = 0;     ///< Number of the call in flight.
  TimePoint called_at_{};
  std::uint64_t called_from_ = 0;
  /// The call reads again what was forgotten, for an asker that is behind.
  bool rewound_ = false;
  bool again_ = false;        ///< The call in flight repeats one that broke.
  TimePoint repeat_until_{};  ///< Later, calls that are overdue are left.
  /// Callbacks may come after this object is gone.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_WATCH_FEED_H_
