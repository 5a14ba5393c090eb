#ifndef INDIGOLEAD_CORE_MEMBERSHIP_ENTRY_STANDING_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_ENTRY_STANDING_H_

#include <string_view>

#include "core/base/time.h"
#include "core/membership/entry_roster.h"

namespace indigolead {

/// Where an entry stands among those that divide something by the list of
/// entries alone. Time decides it.
enum class EntryStanding {
  kNotJoined,  ///< Not on every list yet, or no longer.
  kStale,      ///< Its own list is old, and may lack newcomers.
  kFresh,
};

/// Times by which an entry stands where it does.
struct StandingTimes {
  /// From an entry's registration until every list that is fresh has it: the
  /// age at which a list is stale, and how old one may be as it is read.
  Duration join_time;
  Duration fresh_list;  ///< A list older than this is stale.

  friend bool operator==(const StandingTimes&, const StandingTimes&) = default;
};

/// Returns where the entry of `view` stands.
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
