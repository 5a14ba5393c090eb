#ifndef INDIGOLEAD_CORE_MEMBERSHIP_ENTRY_STANDING_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_ENTRY_STANDING_H_

#include <string_view>

#include "core/base/time.h"
#include "core/membership/entry_roster.h"

namespace indigolead {

/// Whether an entry may use its share of a limit, such as a rate limit. Each
/// entry computes its share from its own list of entries, without asking the
/// others. Depends on the ages of its registration and of its list.
enum class EntryStanding {
  kNotJoined,  ///< Not on every entry's list yet, or no longer.
  kStale,      ///< Its own list is old and may lack new entries.
  kFresh,
};

/// Times that determine an entry's standing.
struct StandingTimes {
  /// Time from an entry's registration until every fresh list contains it: the
  /// sum of `fresh_list` and the longest time that a list may already be
  /// outdated when it is read.
  Duration join_time;
  Duration fresh_list;  ///< A list older than this is stale.

  friend bool operator==(const StandingTimes&, const StandingTimes&) = default;
};

/// Returns the standing of the entry that has `view`.
inline EntryStanding StandingOf(const EntryView& view,
                                const StandingTimes& times, TimePoint now) {
  if (!view.registered_at || !view.listed_at ||
      now - *view.registered_at < times.join_time) {
    return EntryStanding::kNotJoined;
  }
  return now - *view.listed_at < times.fresh_list ? EntryStanding::kFresh
                                                  : EntryStanding::kStale;
}

/// Returns the name of a standing, for logs.
inline std::string_view NameOf(EntryStanding standing) {
  switch (standing) {
    case EntryStanding::kNotJoined:
      return "not-joined";
    case EntryStanding::kStale:
      return "stale";
    case EntryStanding::kFresh:
      break;
  }
  return "fresh";
}

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_ENTRY_STANDING_H_
