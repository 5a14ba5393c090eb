#include "core/usage/steady_calendar.h"

#include <algorithm>
#include <cstdlib>

namespace indigolead {
namespace {

/// Readings that differ by less are of one and the same offset: the clocks are
/// not read in one instant, and the time of day is slewed a little at times.
constexpr WallMicros kSameMicros = 50'000;
/// Offsets remembered. A clock that steps more often than this is not kept by
/// anything that could be followed.
constexpr std::size_t kMostOffsets = 8;

WallMicros ToMicros(TimePoint boot) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             boot.time_since_epoch())
      .count();
}

bool SeenLess(Duration a, Duration b) { return a < b; }

}  // namespace

SteadyCalendar::Offset* SteadyCalendar::Near(WallMicros micros) {
  for (Offset& it : offsets_) {
    if (std::abs(it.micros - micros) < kSameMicros) {
      return &it;
    }
  }
  if (offsets_.size() >= kMostOffsets) {
    offsets_.erase(std::min_element(offsets_.begin(), offsets_.end(),
                                    [](const Offset& a, const Offset& b) {
                                      return SeenLess(a.seen, b.seen);
                                    }));
  }
  offsets_.push_back({micros, Duration{0}});
  return &offsets_.back();
}

void SteadyCalendar::Observe(TimePoint boot, WallMicros wall) {
  const WallMicros micros = wall - ToMicros(boot);
  Offset* offset = Near(micros);
  offset->micros = micros;  // Follows a slew.
  if (observed_at_) {
    offset->seen += boot - *observed_at_;
  }
  observed_at_ = boot;
}

std::optional<WallMicros> SteadyCalendar::At(TimePoint boot) const {
  if (offsets_.empty()) {
    return std::nullopt;
  }
  const auto longest = std::max_element(offsets_.begin(), offsets_.end(),
                                        [](const Offset& a, const Offset& b) {
                                          return SeenLess(a.seen, b.seen);
                                        });
  return ToMicros(boot) + longest->micros;
}

}  // namespace indigolead
