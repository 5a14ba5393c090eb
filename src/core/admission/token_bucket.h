#ifndef INDIGOLEAD_CORE_ADMISSION_TOKEN_BUCKET_H_
#define INDIGOLEAD_CORE_ADMISSION_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "core/base/time.h"

namespace indigolead {

/// Limits a rate, in units per second, with bursts of up to one second.
///
/// A cost larger than the burst is allowed while the level is positive, and
/// leaves the level negative. Such a cost could otherwise never be taken; the
/// negative level preserves the average rate.
class TokenBucket {
 public:
  /// A `rate` of 0 means no limit.
  explicit TokenBucket(double rate = 0) : rate_(rate), level_(rate) {}

  /// Sets the rate and keeps the level, so that applying a configuration again
  /// does not allow another burst.
  void SetRate(double rate) {
    if (rate_ <= 0) {
      level_ = rate;
    }
    rate_ = rate;
    level_ = std::min(level_, rate_);
  }

  /// Returns true if a cost may be taken now.
  bool Allows(TimePoint now) {
    Refill(now);
    return rate_ <= 0 || level_ > 0;
  }

  /// Takes `cost`, which may make the level negative.
  void Take(double cost) {
    if (rate_ > 0) {
      level_ -= cost;
    }
  }

  /// Returns the time until `Allows` becomes true if nothing else is taken.
  Duration TimeUntilAllowed() const {
    if (rate_ <= 0 || level_ > 0) {
      return Duration{0};
    }
    return std::chrono::duration_cast<Duration>(
               std::chrono::duration<double>(-level_ / rate_)) +
           std::chrono::milliseconds(1);
  }

 private:
  void Refill(TimePoint now) {
    const double elapsed_s =
        std::chrono::duration<double>(now - refilled_at_).count();
    // If the clock jumps back, only this refill is skipped. The new time is
    // stored, so that refilling does not stop until the clock has caught up.
    refilled_at_ = now;
    if (elapsed_s > 0) {
      level_ = std::min(level_ + elapsed_s * rate_, rate_);
    }
  }

  double rate_;
  double level_;
  TimePoint refilled_at_{};
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_TOKEN_BUCKET_H_
