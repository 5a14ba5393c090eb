#ifndef INDIGOLEAD_CORE_MEMBERSHIP_ROSTER_PACE_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_ROSTER_PACE_H_

#include <algorithm>
#include <cstddef>

#include "core/base/time.h"

namespace indigolead {

/// Times at which an entry renews its registration, depending on fleet size.
///
/// Every renewal is a write, and hundreds of entries renew. Above a certain
/// fleet size entries renew less often, which bounds the total write rate. As a
/// drawback, an entry that is gone counts for longer, and its share of limits
/// that are divided among entries stays unused for that time.
struct RosterPace {
  Duration renew_interval = std::chrono::seconds(60);
  /// In a large fleet, the mean time between two renewals by any entries is at
  /// most this and at least half of it.
  Duration fleet_renew_gap = std::chrono::milliseconds(300);

  /// Returns the longest time between two renewals by one entry in a fleet of
  /// `entries`. The shortest is half of it.
  Duration RenewInterval(std::size_t entries) const {
    const auto n = static_cast<Duration::rep>(entries);
    return std::max<Duration>(renew_interval, n * fleet_renew_gap);
  }

  /// Returns the time after which an unchanged registration counts as expired:
  /// two renewal intervals, plus half of one for lists that miss a renewal.
  Duration ExpireAfter(std::size_t entries) const {
    return RenewInterval(entries) * 5 / 2;
  }

  /// Returns the time without a renewal after which an entry no longer counts
  /// itself as part of the fleet, which is before any other entry regards it as
  /// gone.
  Duration LeaveAfter(std::size_t entries) const {
    return RenewInterval(entries) * 2;
  }

  friend bool operator==(const RosterPace&, const RosterPace&) = default;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_ROSTER_PACE_H_
