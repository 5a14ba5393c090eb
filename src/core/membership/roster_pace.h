#ifndef INDIGOLEAD_CORE_MEMBERSHIP_ROSTER_PACE_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_ROSTER_PACE_H_

#include <algorithm>
#include <cstddef>

#include "core/base/time.h"

namespace indigolead {

/// How often an entry renews its registration in a fleet of a known size.
///
/// The load: every renewal is a write, and hundreds of entries renew. From some
/// size on they renew less often, so that all of them together write no more.
/// An entry that is gone then counts for longer, and its part of what entries
/// share stays unused.
struct RosterPace {
  Duration renew_interval = std::chrono::seconds(60);
  /// Where there are many, two renewals of any entries are so far apart on the
  /// mean, or up to half as far.
  Duration least_gap = std::chrono::milliseconds(300);

  /// Returns the longest time between two renewals of an entry of a fleet of
  /// `entries`; none takes less than half of it.
  Duration RenewInterval(std::size_t entries) const {
    const auto n = static_cast<Duration::rep>(entries);
    return std::max<Duration>(renew_interval, n * least_gap);
  }

  /// Returns the time after which a registration that has not changed is of an
  /// entry that is gone: two renewals, and the lists in which one was missed.
  Duration ExpireAfter(std::size_t entries) const {
    return RenewInterval(entries) * 5 / 2;
  }

  /// Returns the time without a renewal after which an entry no longer counts
  /// itself among the others: before any of them takes it for gone.
  Duration LeaveAfter(std::size_t entries) const {
    return RenewInterval(entries) * 2;
  }

  friend bool operator==(const RosterPace&, const RosterPace&) = default;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_ROSTER_PACE_H_
