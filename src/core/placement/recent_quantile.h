#ifndef INDIGOLEAD_CORE_PLACEMENT_RECENT_QUANTILE_H_
#define INDIGOLEAD_CORE_PLACEMENT_RECENT_QUANTILE_H_

#include <cstddef>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// A quantile of the latest durations of some kind. Single ones, however far
/// off, move it by one rank. Bounded memory; not thread-safe.
class RecentQuantile {
 public:
  /// \param window Durations kept, the newest ones.
  /// \param quantile From 0, the least, to 1, the greatest.
  RecentQuantile(std::size_t window, double quantile)
      : window_(window), quantile_(quantile) {}

  void Add(Duration value);

  /// Returns the quantile; zero before the first value.
  Duration value() const { return value_; }

 private:
  /// Values after which the quantile is found anew: finding it for each of them
  /// would cost more than the rest of a placement.
  static constexpr std::size_t kRefreshEvery = 8;

  std::size_t window_;
  double quantile_;
  std::vector<Duration> values_;  ///< A ring.
  std::size_t next_ = 0;
  std::size_t since_refresh_ = 0;
  Duration value_{0};
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_RECENT_QUANTILE_H_
