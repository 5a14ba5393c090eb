#ifndef INDIGOLEAD_TESTS_SUPPORT_WATCH_WORLD_H_
#define INDIGOLEAD_TESTS_SUPPORT_WATCH_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "store/polled_watch.h"

// A simulated store with one list, and simulated time, for tests with many
// watches.
namespace indigolead::testing {

/// Simulated latency of a store call that need not wait for a change.
inline constexpr Duration kStoreAnswerTime = std::chrono::milliseconds(4);

/// Scheduler in simulated time.
class Timeline {
 public:
  TimePoint now{std::chrono::seconds(1000)};

  void After(Duration delay, std::function<void()> task) {
    tasks_.emplace(now + delay, std::move(task));
  }
  void RunFor(Duration length) {
    const TimePoint end = now + length;
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
      auto node = tasks_.extract(tasks_.begin());
      now = node.key();
      node.mapped()();
    }
    now = end;
  }

 private:
  std::multimap<TimePoint, std::function<void()>> tasks_;
};

/// A store with one list of a few objects. Each change has the next version and
/// writes or removes one object. A waiting call is answered at the next change,
/// or when its wait is over.
class ListStore {
 public:
  explicit ListStore(Timeline* timeline) : timeline_(timeline) {}

  void Change() {
    AddChange();
    if (mute) {
      return;
    }
    std::vector<Waiting> waiting;
    waiting.swap(waiting_);
    for (Waiting& it : waiting) {
      Answer(std::move(it));
    }
  }

  void Poll(std::uint64_t from, Duration wait, PolledWatch::PollDone done) {
    ++calls;
    if (down) {
      timeline_->After(kStoreAnswerTime, [done = std::move(done)] {
        done(Error{ErrorCode::kUnavailable, "store.watch", "store", "down"});
      });
      return;
    }
    if (from < compacted_before_) {
      // Like the platform's store: at once without a wait, else after the wait.
      timeline_->After(wait + kStoreAnswerTime, [done = std::move(done)] {
        done(Error{ErrorCode::kNotFound, "store.watch", "store", "forgotten"});
      });
      return;
    }
    Waiting call{++next_id_, from, timeline_->now + wait, std::move(done)};
    if (mute) {
      waiting_.push_back(std::move(call));
      return;
    }
    if (from < changed_at.size()) {
      Answer(std::move(call));
      return;
    }
    timeline_->After(wait, [this, id = call.id] { EndWait(id); });
    waiting_.push_back(std::move(call));
  }

  /// Reads all objects.
  void List(ObjectStore::Callback<ObjectStore::Listing> done) {
    ++calls;
    ++lists;
    timeline_->After(kStoreAnswerTime, [this, done = std::move(done)] {
      if (down) {
        done(Error{ErrorCode::kUnavailable, "store.list", "store", "down"});
      } else {
        done(CurrentListing());
      }
    });
  }

  /// Returns the current objects.
  ObjectStore::Listing CurrentListing() const {
    ObjectStore::Listing listing;
    listing.version = changed_at.size();
    for (const auto& [key, value] : objects) {
      listing.objects.push_back({key, value, listing.version});
    }
    return listing;
  }

  /// Fails all waiting calls.
  void FailWaiting() {
    std::vector<Waiting> waiting;
    waiting.swap(waiting_);
    for (Waiting& it : waiting) {
      timeline_->After(kStoreAnswerTime, [done = std::move(it.done)] {
        done(Error{ErrorCode::kUnavailable, "store.watch", "store", "reset"});
      });
    }
  }

  /// How `Compact` ends waiting calls: with an error at once, or by a timeout.
  enum class Cut { kBroken, kSilent };

  /// Makes `unseen` more changes, compacts all changes up to the last of them,
  /// and fails all waiting calls without reporting these changes.
  void Compact(int unseen = 1, Cut cut = Cut::kBroken) {
    for (int n = 0; n < unseen; ++n) {
      AddChange();
    }
    compacted_before_ = changed_at.size();
    mute = false;
    if (cut == Cut::kBroken) {
      FailWaiting();
      return;
    }
    for (const Waiting& it : waiting_) {
      timeline_->After(
          it.until + kTimeoutSlack - timeline_->now, [done = it.done] {
            done(Error{ErrorCode::kTimeout, "store.watch", "store", "silent"});
          });
    }
    waiting_.clear();
  }

  /// Element n is the time of the change to version n + 1.
  std::vector<TimePoint> changed_at;
  std::map<std::string, std::string> objects;
  std::uint64_t calls = 0;
  std::uint64_t lists = 0;
  bool down = false;
  bool mute = false;  ///< Calls get no answer.

 private:
  /// A call without an answer fails this long after its wait has ended.
  static constexpr Duration kTimeoutSlack = std::chrono::milliseconds(700);
  static constexpr std::uint64_t kObjects = 16;
  /// One in this many changes removes its object, if it exists.
  static constexpr std::uint64_t kRemovalInterval = 5;

  void AddChange() {
    changed_at.push_back(timeline_->now);
    const std::uint64_t version = changed_at.size();
    WatchEvent event{"targets/t" + std::to_string(version * 7 % kObjects),
                     "value " + std::to_string(version), version};
    if (version % kRemovalInterval == 0 && objects.erase(event.key) > 0) {
      event.value.reset();
    } else {
      objects[event.key] = *event.value;
    }
    events_.push_back(std::move(event));
  }

  struct Waiting {
    std::uint64_t id = 0;
    std::uint64_t from = 0;
    TimePoint until{};
    PolledWatch::PollDone done;
  };

  void Answer(Waiting call) {
    WatchBatch batch;
    batch.version = changed_at.size();
    for (std::uint64_t it = call.from; it < batch.version; ++it) {
      batch.events.push_back(events_[it]);
    }
    timeline_->After(kStoreAnswerTime,
                     [done = std::move(call.done), batch] { done(batch); });
  }
  void EndWait(std::uint64_t id) {
    if (mute) {
      return;
    }
    const auto it =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [id](const Waiting& call) { return call.id == id; });
    if (it != waiting_.end()) {
      Waiting call = std::move(*it);
      waiting_.erase(it);
      Answer(std::move(call));
    }
  }

  Timeline* timeline_;
  std::vector<WatchEvent> events_;  ///< Element n has version n + 1.
  std::vector<Waiting> waiting_;
  std::uint64_t next_id_ = 0;
  std::uint64_t compacted_before_ = 0;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_WATCH_WORLD_H_
