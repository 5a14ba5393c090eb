#include "core/admission/send_pacer.h"

#include <algorithm>

namespace indigolead {
namespace {

/// Returns the time between two requests for a nonzero share.
Duration PeriodOf(const RateShare& share) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / share.per_second));
}

}  // namespace

void SendPacer::SetShare(const RateShare& share, double phase,
                         TimePoint not_before, TimePoint now) {
  const RateShare before = share_;
  if (share == before) {
    return;
  }
  const TimePoint due_at = DueAt(now);
  share_ = share;
  if (share.per_second <= 0) {
    return;
  }
  const Duration period = PeriodOf(share);
  if (before.per_second > 0 && before.valid_for == share.valid_for) {
    next_at_ = std::min(due_at, now + period);
    return;
  }
  const TimePoint at =
      now + std::chrono::duration_cast<Duration>(period * phase);
  next_at_ = std::max(at, not_before);
}

TimePoint SendPacer::DueAt(TimePoint now) const {
  if (!share_.valid_for || now <= next_at_ + *share_.valid_for) {
    return next_at_;
  }
  const Duration period = PeriodOf(share_);
  const auto unsent = (now - next_at_ - *share_.valid_for) / period + 1;
  return next_at_ + period * unsent;
}

std::optional<Duration> SendPacer::WaitFor(TimePoint now) const {
  if (share_.per_second <= 0) {
    return std::nullopt;
  }
  return std::max(DueAt(now) - now, Duration{0});
}

void SendPacer::OnSent(TimePoint now) {
  if (share_.per_second > 0) {
    next_at_ = std::max(DueAt(now), now) + PeriodOf(share_);
  }
}

}  // namespace indigolead
