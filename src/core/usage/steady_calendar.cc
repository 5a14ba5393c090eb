#include "core/usage/steady_calendar.h"

#include <algorithm>
#include <cstdlib>

namespace indigolead {
namespace {

/// Offsets that differ by less count as the same offset: the two clocks are not
/// read at the same instant, and the time of day may be slewed slightly.
constexpr WallMicros kOffsetToleranceMicros = 50'000;
/// Maximum number of offsets kept. A clock that steps between more values has
/// no usable reference.
constexpr std::size_t kMaxOffsets = 8;

WallMicros ToMicros(TimePoint boot) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             boot.time_since_epoch())
      .count();
}

bool ShorterThan(Duration a, Duration b) { return a < b; }

}  // namespace

SteadyCalendar::Offset* SteadyCalendar::FindOrAddOffset(WallMicros micros) {
  for (Offset& it : offsets_) {
    if (std::abs(it.micros - micros) < kOffsetToleranceMicros) {
      return &it;
    }
  }
  if (offsets_.size() >= kMaxOffsets) {
    offsets_.erase(std::min_element(
        offsets_.begin(), offsets_.end(), [](const Offset& a, const Offset& b) {
          return ShorterThan(a.observed_for, b.observed_for);
        }));
  }
  offsets_.push_back({micros, Duration{0}});
  return &offsets_.back();
}

void SteadyCalendar::Observe(TimePoint boot, WallMicros wall) {
  const WallMicros micros = wall - ToMicros(boot);
  Offset* offset = FindOrAddOffset(micros);
  offset->micros = micros;  // Tracks a slewed clock.
  if (observed_at_) {
    offset->observed_for += boot - *observed_at_;
  }
  observed_at_ = boot;
}

std::optional<WallMicros> SteadyCalendar::At(TimePoint boot) const {
  if (offsets_.empty()) {
    return std::nullopt;
  }
  const auto longest = std::max_element(
      offsets_.begin(), offsets_.end(), [](const Offset& a, const Offset& b) {
        return ShorterThan(a.observed_for, b.observed_for);
      });
  return ToMicros(boot) + longest->micros;
}

}  // namespace indigolead
