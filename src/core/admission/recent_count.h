#ifndef INDIGOLEAD_CORE_ADMISSION_RECENT_COUNT_H_
#define INDIGOLEAD_CORE_ADMISSION_RECENT_COUNT_H_

#include <algorithm>
#include <array>
#include <cstdint>

#include "core/base/time.h"

namespace indigolead {

/// Counts the events of a sliding window, which advances in steps of a tenth of
/// its length.
///
/// May undercount but never overcounts: the oldest, partly expired tenth is
/// excluded.
class RecentCount {
 public:
  explicit RecentCount(Duration window) : step_(window / kSteps) {}

  void Add(TimePoint now) {
    Slot& slot = slots_[IndexOf(now) % kSteps];
    if (slot.index != IndexOf(now)) {
      slot = {IndexOf(now), 0};
    }
    ++slot.n;
  }

  /// Returns the time until at most `n` events are left in the window if none
  /// is added. The result is never too short, and too long by at most a tenth
  /// of the window.
  Duration UntilAtMost(std::uint64_t n, TimePoint now) const {
    std::uint64_t left = 0;
    for (const Slot& it : slots_) {
      left += it.index + kSteps >= IndexOf(now) ? it.n : 0;
    }
    std::uint64_t index = IndexOf(now) - std::min(IndexOf(now), kSteps);
    while (left > n && index <= IndexOf(now)) {
      const Slot& slot = slots_[index % kSteps];
      left -= slot.index == index ? std::min(left, slot.n) : 0;
      ++index;
    }
    const TimePoint gone_at{step_ * (index + kSteps)};
    return std::max(gone_at - now, Duration{0});
  }

  std::uint64_t Count(TimePoint now) const {
    std::uint64_t n = 0;
    for (const Slot& it : slots_) {
      n += it.index + kSteps > IndexOf(now) ? it.n : 0;
    }
    return n;
  }

 private:
  static constexpr std::uint64_t kSteps = 10;
  struct Slot {
    std::uint64_t index = 0;
    std::uint64_t n = 0;
  };

  std::uint64_t IndexOf(TimePoint now) const {
    return static_cast<std::uint64_t>(now.time_since_epoch() / step_);
  }

  Duration step_;
  std::array<Slot, kSteps> slots_{};
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_RECENT_COUNT_H_
