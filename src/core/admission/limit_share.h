#ifndef INDIGOLEAD_CORE_ADMISSION_LIMIT_SHARE_H_
#define INDIGOLEAD_CORE_ADMISSION_LIMIT_SHARE_H_

#include <cstddef>
#include <optional>
#include <string>

#include "core/base/time.h"
#include "core/membership/entry_roster.h"
#include "core/membership/entry_standing.h"

namespace indigolead {

/// One entry's share of the request rate that a target accepts from all entries
/// together.
struct RateShare {
  double per_second = 0;  ///< 0 if the entry may send no requests.
  /// Time during which a due request may be sent; after that, the next one is
  /// due a period later. If absent, a due request does not expire, and at most
  /// one accumulates.
  std::optional<Duration> valid_for;

  friend bool operator==(const RateShare&, const RateShare&) = default;
};

/// Divides a target's limit among the entries of a fleet of any size.
///
/// Entries do not coordinate before sending: each computes its share from the
/// list of entries alone, such that the shares add up to less than the limit.
///
/// In a fleet of at most `MaxParticipants` entries, all entries have equal
/// shares. In a larger fleet, that many entries are chosen by rendezvous hash
/// of the target's name and have equal shares. The others only send occasional
/// probes that detect the end of the limit. Probes that are not sent in time
/// expire, because hundreds of entries could otherwise send an accumulated
/// probe within one second.
class LimitShare {
 public:
  struct Options {
    /// Share of a limit that is divided among the participants. The rest allows
    /// for requests that arrive in bunches, and for entries that still serve
    /// although no list contains them any more.
    double participant_share = 0.8;
    /// Share of a limit that is divided among the other entries, for their
    /// probes.
    double probing_share = 0.1;
    /// Time after which a due probe expires.
    Duration probe_validity = std::chrono::seconds(1);
    /// The maximum number of participants is a constant plus a number
    /// proportional to the limit: each participant may have accumulated one
    /// request, and all of them may send it within the same second.
    double participants_base = 3;
    double participants_per_rps = 2;
    /// Replaces lower limits; without any requests, no entry would notice the
    /// end of a limit.
    double min_limit_rps = 0.05;
    /// Time from the registration of an entry until all others have listed it
    /// and reduced their shares.
    Duration join_time = std::chrono::seconds(7);
    /// A list older than this may lack new entries; the share is then
    /// multiplied by `stale_factor`.
    Duration fresh_list = std::chrono::seconds(5);
    double stale_factor = 0.5;
  };
  /// Standing of an entry; one that has not joined has no share.
  using Standing = EntryStanding;

  explicit LimitShare(Options options) : options_(options) {}

  /// Returns the standing of the entry of `view`.
  Standing StandingOf(const EntryView& view, TimePoint now) const;

  /// Returns the share of the entry of `view` in the limit of `target`, which
  /// is `limit_rps` requests per second.
  RateShare Compute(const std::string& target, double limit_rps,
                    const EntryView& view, Standing standing) const;

  /// Returns the maximum number of entries that divide a limit of `limit_rps`
  /// equally.
  std::size_t MaxParticipants(double limit_rps) const;

 private:
  Options options_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_LIMIT_SHARE_H_
