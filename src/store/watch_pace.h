#ifndef INDIGOLEAD_STORE_WATCH_PACE_H_
#define INDIGOLEAD_STORE_WATCH_PACE_H_

#include <chrono>

#include "core/base/time.h"

namespace indigolead {

/// Determines the delay between the long polls of a watch.
///
/// Every entry watches every registration. In a fleet of 180 engines something
/// changes several times a second and each change ends the pending poll of each
/// entry; 103 entries made 2.8 calls a second each. A delay lets one response
/// collect several changes. The delay adapts to the rate of changes: a change
/// after a quiet period is reported at once, and while changes keep coming the
/// interval doubles up to `max_interval`, the time for which a change may go
/// unnoticed.
class WatchPace {
 public:
  struct Options {
    /// Interval between calls while changes are rare. Short enough that
    /// an operator who drains a target and checks the result notices no delay.
    Duration min_interval = std::chrono::milliseconds(200);
    /// Interval between calls while changes keep coming. A change is known
    /// after at most this time and the latency of one response.
    Duration max_interval = std::chrono::milliseconds(800);

    friend bool operator==(const Options&, const Options&) = default;
  };

  explicit WatchPace(const Options& options)
      : options_(options), gap_(options.min_interval) {}

  /// Takes the duration of a completed call and whether it returned a change.
  /// Returns the delay before the next call.
  Duration DelayAfter(Duration in_flight, bool changed);

  /// Returns the current minimum interval between calls.
  Duration gap() const { return gap_; }

 private:
  Options options_;
  Duration gap_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_WATCH_PACE_H_
