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

/// A watch as a chain of calls, each of which waits at the store for changes.
///
/// Ends with the first call that fails; its owner lists again. Runs on the
/// thread of its store.
class PolledWatch : public ObjectStore::Watch {
 public:
  using PollDone = std::function<void(Result<WatchBatch>)>;

  struct Hooks {
    /// Makes one call that waits for changes after `from`. Must not answer
    /// from inside the call.
    std::function<void(std::uint64_t from, PollDone done)> poll;
    /// Takes the changes of one answer, in order; there is at least one.
    std::function<void(const std::vector<WatchEvent>&)> on_events;
    std::function<void(const Error&)> on_end;
  };

  /// Makes the first call.
  PolledWatch(std::uint64_t from_version, const WatchPace::Options& pace,
              Hooks hooks, Clock clock, RunAfter run_after);
  ~PolledWatch() override;
  PolledWatch(const PolledWatch&) = delete;
  PolledWatch& operator=(const PolledWatch&) = delete;

  /// A call without an answer proves nothing: its connection may bear nothing
  /// any more. One that was answered tells how things stood after it was made.
  TimePoint known_until(TimePoint /*now*/) const override {
    return known_until_;
  }
  TimePoint heard_at(TimePoint /*now*/) const override { return heard_at_; }
  std::uint64_t told_version() const override { return version_; }

 private:
  void Poll();
  void OnAnswer(const Result<WatchBatch>& answer);
  /// Notes what an answer proves. Returns the rest before the next call.
  Duration Take(const WatchBatch& batch);

  std::uint64_t version_;
  WatchPace pace_;
  Hooks hooks_;
  Clock clock_;
  RunAfter run_after_;
  TimePoint sent_at_{};  ///< When the latest call was made.
  TimePoint known_until_{};
  TimePoint heard_at_{};
  /// Callbacks may come after this object is gone.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_POLLED_WATCH_H_
