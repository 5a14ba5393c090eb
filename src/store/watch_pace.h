#ifndef INDIGOLEAD_STORE_WATCH_PACE_H_
#define INDIGOLEAD_STORE_WATCH_PACE_H_

#include <chrono>

#include "core/base/time.h"

namespace indigolead {

/// Decides how long a watch that is a chain of waiting calls rests between two
/// of them.
///
/// The load: every entry follows every registration. On a fleet of 180 engines
/// something changes several times a second, and each change ends the waiting
/// call of each entry: 103 entries made 2.8 calls a second each. A watch that
/// rests collects the changes of its rest in one answer. So the rest follows
/// how often things change: a change after a quiet time is told at once, and
/// where changes keep coming the rest doubles up to `most_gap`, the time for
/// which a change may stay unseen.
class WatchPace {
 public:
  struct Options {
    /// From one call to the next while changes are rare: what a person who
    /// drains a target and looks at it would not notice.
    Duration least_gap = std::chrono::milliseconds(200);
    /// From one call to the next while they keep coming. A change is known at
    /// the latest after this time and the way of one answer.
    Duration most_gap = std::chrono::milliseconds(800);

    friend bool operator==(const Options&, const Options&) = default;
  };

  explicit WatchPace(const Options& options)
      : options_(options), gap_(options.least_gap) {}

  /// Takes the answer of a call that was in flight for `in_flight`, and whether
  /// it told of a change. Returns the rest before the next call.
  Duration RestAfter(Duration in_flight, bool changed);

  /// Returns the least time from one call to the next as it stands now.
  Duration gap() const { return gap_; }

 private:
  Options options_;
  Duration gap_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_WATCH_PACE_H_
