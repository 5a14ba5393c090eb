#include "core/admission/concurrency_limit.h"

#include <algorithm>

namespace indigolead {

void ConcurrencyLimit::OnEnded(bool overloaded, TimePoint now) {
  // Success below the limit does not show that a higher limit is safe.
  const bool binding = static_cast<double>(in_flight_) >= 0.9 * limit_;
  in_flight_ -= in_flight_ > 0 ? 1 : 0;
  if (!overloaded) {
    if (binding) {
      limit_ = std::min(limit_ + 1.0 / limit_, options_.maximum);
    }
    return;
  }
  const bool due = !decreased_before_ || now < decreased_at_ ||
                   now - decreased_at_ >= options_.decrease_interval;
  if (due) {
    limit_ = std::max(limit_ * options_.decrease, options_.minimum);
    decreased_before_ = true;
    decreased_at_ = now;
  }
}

}  // namespace indigolead
