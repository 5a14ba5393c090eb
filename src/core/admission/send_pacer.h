#ifndef INDIGOLEAD_CORE_ADMISSION_SEND_PACER_H_
#define INDIGOLEAD_CORE_ADMISSION_SEND_PACER_H_

#include <optional>

#include "core/admission/limit_share.h"
#include "core/base/time.h"

namespace indigolead {

/// Spaces an entry's requests to one target by the entry's share of a rate.
///
/// Not thread-safe.
class SendPacer {
 public:
  /// Takes another share. Where it differs in kind, the next request is due
  /// after `phase`, from [0, 1), of a period, since entries that hear of a
  /// limit in the same moment must not send in the same moment; and not before
  /// `not_before`.
  void SetShare(const RateShare& share, double phase, TimePoint not_before,
                TimePoint now);

  /// Returns the time until the next request may be sent, zero if it may be
  /// now; nothing if there is no share.
  std::optional<Duration> WaitFor(TimePoint now) const;

  /// A request is sent. One that did not wait for its turn delays the next.
  void OnSent(TimePoint now);

  const RateShare& share() const { return share_; }

 private:
  /// Returns when the next request is due, after those that stayed unsent.
  TimePoint DueAt(TimePoint now) const;

  RateShare share_;
  TimePoint next_at_{};
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_SEND_PACER_H_
