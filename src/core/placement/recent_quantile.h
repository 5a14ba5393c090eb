#ifndef INDIGOLEAD_CORE_PLACEMENT_RECENT_QUANTILE_H_
#define INDIGOLEAD_CORE_PLACEMENT_RECENT_QUANTILE_H_

#include <cstddef>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// Tracks a quantile over a window of recent durations. An outlier moves it by
/// at most one rank. Uses bounded memory; not thread-safe.
class RecentQuantile {
 public:
  /// \param window Number of newest durations kept.
  /// \param quantile From 0 (minimum) to 1 (maximum).
  RecentQuantile(std::size_t window, double quantile)
      : window_(window), quantile_(quantile) {}

  void Add(Duration value);

  /// Returns the quantile; zero before the first value.
  Duration value() const { return value_; }

 private:
  /// Number of values after which the quantile is recomputed. Recomputing it
  /// for each value would cost more than the rest of a placement.
  static constexpr std::size_t kRefreshEvery = 8;

  std::size_t window_;
  double quantile_;
  std::vector<Duration> values_;  ///< Ring buffer.
  std::size_t next_ = 0;
  std::size_t since_refresh_ = 0;
  Duration value_{0};
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_RECENT_QUANTILE_H_
