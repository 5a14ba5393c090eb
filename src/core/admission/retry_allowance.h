#ifndef INDIGOLEAD_CORE_ADMISSION_RETRY_ALLOWANCE_H_
#define INDIGOLEAD_CORE_ADMISSION_RETRY_ALLOWANCE_H_

#include <cstddef>
#include <optional>

namespace indigolead {

/// One entry's part of a `RetryAllowance`.
struct RetryPart {
  double saved = 0;     ///< Arrivals that the entry may save up.
  double refilled = 0;  ///< Arrivals that come back in a window.

  friend bool operator==(const RetryPart&, const RetryPart&) = default;
};

/// Further arrivals at a service's targets that all entries together may make
/// on top of a share of the traffic.
///
/// The failure: each entry may save up the same number, and a fleet of a
/// hundred entries makes a hundred times as many in the seconds in which a
/// failure domain is lost. The symptom: targets that are left are overrun, and
/// the operator's bound on repeated work is broken, on large fleets only. Each
/// entry has an equal part instead; what it does not use, no other one may.
class RetryAllowance {
 public:
  double arrivals = 50;  ///< Of all entries, for each service.
  /// Of it, what all entries may have saved up at the beginning of a window,
  /// and what comes back to them in it. The last tenth is for arrivals that
  /// were allowed just before the window and come in it.
  double share_saved = 0.6;
  double share_refilled = 0.3;
  /// Entries assumed before any list was read: more than most fleets have, for
  /// a start while the store is away.
  std::size_t assumed_entries = 64;

  friend bool operator==(const RetryAllowance&,
                         const RetryAllowance&) = default;

  /// Returns the part of one of `entries`.
  RetryPart PartOfOneOf(std::optional<std::size_t> entries) const {
    const std::size_t n = entries.value_or(assumed_entries);
    const double part = arrivals / static_cast<double>(n == 0 ? 1 : n);
    return {share_saved * part, share_refilled * part};
  }
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_RETRY_ALLOWANCE_H_
