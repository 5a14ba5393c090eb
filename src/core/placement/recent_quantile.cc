#include "core/placement/recent_quantile.h"

#include <algorithm>

namespace indigolead {

void RecentQuantile::Add(Duration value) {
  if (values_.size() < window_) {
    values_.push_back(value);
  } else {
    values_[next_] = value;
    next_ = (next_ + 1) % window_;
  }
  // The first values count at once, so that the quantile is not zero at first.
  if (values_.size() >= kRefreshEvery && ++since_refresh_ < kRefreshEvery) {
    return;
  }
  since_refresh_ = 0;
  std::vector<Duration> sorted = values_;
  const auto rank = static_cast<std::size_t>(
      quantile_ * static_cast<double>(sorted.size() - 1));
  const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(sorted.begin(), at, sorted.end());
  value_ = *at;
}

}  // namespace indigolead
