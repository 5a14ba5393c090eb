#ifndef INDIGOLEAD_CORE_ADMISSION_RETRY_ALLOWANCE_H_
#define INDIGOLEAD_CORE_ADMISSION_RETRY_ALLOWANCE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "core/membership/entry_roster.h"
#include "core/membership/entry_standing.h"

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
///
/// Lists differ while entries come and go. An entry has a part only once every
/// list by which another takes one has it too, and while its own list is young.
/// So whoever has a part counts all who have one, and the parts add up to the
/// whole at most.
class RetryAllowance {
 public:
  double arrivals = 50;  ///< Of all entries, for each service.
  /// Of it, what all entries may have saved up at the beginning of a window,
  /// and what comes back to them in it. The last tenth is for arrivals that
  /// were allowed just before the window and come in it.
  double share_saved = 0.6;
  double share_refilled = 0.3;
  /// Entries list each other within 20 s, and a list may be 8 s old when it is
  /// read.
  StandingTimes times{std::chrono::seconds(30), std::chrono::seconds(22)};

  friend bool operator==(const RetryAllowance&,
                         const RetryAllowance&) = default;

  /// Returns where the entry of `view` stands.
  EntryStanding Standing(const EntryView& view, TimePoint now) const {
    return StandingOf(view, times, now);
  }

  /// Returns the part of the entry of `view`; none unless its standing is
  /// fresh.
  RetryPart PartOf(const EntryView& view, TimePoint now) const {
    if (Standing(view, now) != EntryStanding::kFresh) {
      return {};
    }
    const std::size_t n = std::max<std::size_t>(view.names.size(), 1);
    const double part = arrivals / static_cast<double>(n);
    return {share_saved * part, share_refilled * part};
  }
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_RETRY_ALLOWANCE_H_
