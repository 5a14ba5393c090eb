#ifndef INDIGOLEAD_CORE_ADMISSION_SEND_PACER_H_
#define INDIGOLEAD_CORE_ADMISSION_SEND_PACER_H_

#include <optional>

#include "core/admission/limit_share.h"
#include "core/base/time.h"

namespace indigolead {

/// Spaces an entry's requests to one target according to its share of the
/// target's rate limit.
///
/// Not thread-safe.
class SendPacer {
 public:
  /// Sets the share. If the previous share was zero or had another `valid_for`,
  /// the next request is due after the fraction `phase`, in [0, 1), of a
  /// period, but not before `not_before`. The random phase keeps entries that
  /// learn of a limit at the same time from sending at the same time.
  void SetShare(const RateShare& share, double phase, TimePoint not_before,
                TimePoint now);

  /// Returns the time until the next request may be sent, zero if it may be
  /// sent now; nullopt if the share is zero.
  std::optional<Duration> WaitFor(TimePoint now) const;

  /// Records a sent request. A request sent before it was due delays the next
  /// one.
  void OnSent(TimePoint now);

  const RateShare& share() const { return share_; }

 private:
  /// Returns when the next request is due, skipping those that expired unsent.
  TimePoint DueAt(TimePoint now) const;

  RateShare share_;
  TimePoint next_at_{};
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_SEND_PACER_H_
