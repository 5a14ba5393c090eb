#include "store/watch_pace.h"

#include <algorithm>

namespace indigolead {

Duration WatchPace::DelayAfter(Duration in_flight, bool changed) {
  const Duration delay = std::max<Duration>(gap_ - in_flight, Duration{0});
  // Quiet means no change for as long as a change may go unnoticed. Shorter
  // pauses occur within any burst of changes, and reacting to them would cost a
  // call for each change.
  const bool quiet = in_flight >= options_.max_interval;
  if (quiet) {
    gap_ = options_.min_interval;
  } else if (changed) {
    gap_ = std::min<Duration>(gap_ * 2, options_.max_interval);
  }
  return delay;
}

}  // namespace indigolead
