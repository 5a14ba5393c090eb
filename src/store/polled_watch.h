#ifndef INDIGOLEAD_STORE_POLLED_WATCH_H_
#define INDIGOLEAD_STORE_POLLED_WATCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "core/base/time.h"
#include "store/object_store.h"
#include "store/run_after.h"
#include "store/watch_pace.h"

namespace indigolead {

/// Watch made of consecutive long polls of the store.
///
/// Ends at the first call that fails; its owner then resumes or lists again.
/// Runs on the thread of its store.
class PolledWatch : public ObjectStore::Watch {
 public:
  using PollDone = std::function<void(Result<WatchBatch>)>;

  struct Hooks {
    /// Makes one call that waits for changes after `from`. Must not invoke
    /// `done` from inside the call.
    std::function<void(std::uint64_t from, PollDone done)> poll;
    /// Receives the changes of one response, in order; there is at least one.
    std::function<void(const std::vector<WatchEvent>&)> on_events;
    std::function<void(const Error&)> on_end;
  };

  /// Sends the first poll.
  PolledWatch(std::uint64_t from_version, const WatchPace::Options& pace,
              Hooks hooks, Clock clock, RunAfter run_after);
  ~PolledWatch() override;
  PolledWatch(const PolledWatch&) = delete;
  PolledWatch& operator=(const PolledWatch&) = delete;

  /// Returns the send time of the last answered poll, since a response shows
  /// the state after its request was sent. A poll in flight proves nothing: its
  /// connection may be dead. For a response through a relay, the time is
  /// earlier by the relay's lag.
  TimePoint known_until(TimePoint /*now*/) const override {
    return known_until_;
  }
  TimePoint heard_at(TimePoint /*now*/) const override { return heard_at_; }
  std::uint64_t reported_version() const override { return version_; }

 private:
  void Poll();
  void OnAnswer(const Result<WatchBatch>& answer);
  /// Records the versions and times of a response. Returns the delay before the
  /// next poll.
  Duration ApplyBatch(const WatchBatch& batch);

  std::uint64_t version_;
  WatchPace pace_;
  Hooks hooks_;
  Clock clock_;
  RunAfter run_after_;
  TimePoint sent_at_{};  ///< Send time of the latest poll.
  TimePoint known_until_{};
  TimePoint heard_at_{};
  /// False once this object is destroyed; callbacks may run later.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_POLLED_WATCH_H_
