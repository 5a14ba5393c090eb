#ifndef INDIGOLEAD_CORE_ADMISSION_RETRY_ALLOWANCE_H_
#define INDIGOLEAD_CORE_ADMISSION_RETRY_ALLOWANCE_H_

#include <cstddef>
#include <optional>

namespace indigolead {

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
  /// Of it, what all entries may have saved up.
  double share_saved = 0.6;
  /// Of it, what processes that start anew are given, all of them together: if
  /// every entry is killed just after it has spent its part, both are spent.
  /// The last tenth is for entries that are not on everybody's list yet.
  double share_at_start = 0.3;
  /// Entries assumed before any list was read: more than most fleets have, for
  /// a start while the store is away.
  std::size_t assumed_entries = 64;

  friend bool operator==(const RetryAllowance&,
                         const RetryAllowance&) = default;

  /// Returns the arrivals that one of `entries` may save up.
  double SavedByOneOf(std::optional<std::size_t> entries) const {
    return share_saved * arrivals / Divisor(entries);
  }
  /// Returns the arrivals that a process of one of `entries` begins with.
  double AtStartOfOneOf(std::optional<std::size_t> entries) const {
    return share_at_start * arrivals / Divisor(entries);
  }

 private:
  double Divisor(std::optional<std::size_t> entries) const {
    const std::size_t n = entries.value_or(assumed_entries);
    return static_cast<double>(n == 0 ? 1 : n);
  }
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_RETRY_ALLOWANCE_H_
