#ifndef INDIGOLEAD_CORE_ADMISSION_RETRY_ALLOWANCE_H_
#define INDIGOLEAD_CORE_ADMISSION_RETRY_ALLOWANCE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "core/membership/entry_roster.h"
#include "core/membership/entry_standing.h"

namespace indigolead {

/// Part of a `RetryAllowance` that one entry may use.
struct RetryPart {
  double saved = 0;     ///< Maximum arrivals that accumulate.
  double refilled = 0;  ///< Arrivals earned per window.

  friend bool operator==(const RetryPart&, const RetryPart&) = default;
};

/// Limits the arrivals (requests that reach targets) that all entries together
/// cause at a service's targets by retries and hedges, in addition to a share
/// of the traffic.
///
/// The allowance is divided equally among the entries, and an entry cannot use
/// what another leaves unused. If each entry could accumulate the same fixed
/// number, a fleet of 100 entries would cause 100 times as many arrivals when a
/// failure domain is lost. On large fleets, this would overload the remaining
/// targets and exceed the operator's limit on repeated work.
///
/// The lists of entries differ between entries while the fleet changes. An
/// entry has a part only after every fresh list of another entry contains it,
/// and only while its own list is fresh. Each entry with a part therefore
/// counts all others that have one, and the parts never add up to more than the
/// allowance.
class RetryAllowance {
 public:
  double arrivals = 50;  ///< Per window and service, all entries.
  /// Shares of the allowance that all entries may have accumulated at the start
  /// of a window, and that they earn during it. The remaining tenth covers
  /// arrivals that were allowed just before the window and arrive within it.
  double share_saved = 0.6;
  double share_refilled = 0.3;
  /// Entries list each other within 20 s, and a list may be 8 s old when it is
  /// read; `join_time` is `fresh_list` plus these 8 s.
  StandingTimes times{std::chrono::seconds(30), std::chrono::seconds(22)};

  friend bool operator==(const RetryAllowance&,
                         const RetryAllowance&) = default;

  /// Returns the standing of the entry of `view`.
  EntryStanding Standing(const EntryView& view, TimePoint now) const {
    return StandingOf(view, times, now);
  }

  /// Returns the part of the entry of `view`; empty unless its standing is
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
