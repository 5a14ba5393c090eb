#ifndef INDIGOLEAD_CORE_ADMISSION_LIMIT_SHARE_H_
#define INDIGOLEAD_CORE_ADMISSION_LIMIT_SHARE_H_

#include <cstddef>
#include <optional>
#include <string>

#include "core/base/time.h"
#include "core/membership/entry_roster.h"
#include "core/membership/entry_standing.h"

namespace indigolead {

/// One entry's share of the rate that a target takes from all entries together.
struct RateShare {
  double per_second = 0;  ///< 0: the entry sends nothing.
  /// Time for which a request that is due may be sent; after that the next one
  /// is due a period later. Nothing: it may be saved up, one at most.
  std::optional<Duration> valid_for;

  friend bool operator==(const RateShare&, const RateShare&) = default;
};

/// Divides a target's limit among the entries of a fleet of any size.
///
/// Entries do not ask each other before they send, so each computes its share
/// from the list of entries alone, and the shares add up to less than the
/// limit.
///
/// Up to `MostParticipants` entries have equal shares. In a larger fleet that
/// many, chosen by a hash of the target's name, have an equal share each. The
/// others only probe now and then whether the limit still holds, and may not
/// save a probe up: hundreds of them could then be sent within one second.
class LimitShare {
 public:
  struct Options {
    /// Share of a limit that is divided among the participants. The rest is for
    /// requests that bunch on their way, and for entries that still serve and
    /// are on no list any more.
    double used_share = 0.8;
    /// Share of a limit that all other entries probe with.
    double probing_share = 0.1;
    /// Time for which a probe that is due may be sent.
    Duration probe_validity = std::chrono::seconds(1);
    /// Bounds the participants by a fixed number, and one that grows with the
    /// limit: each may have saved up one request, and all of them may send it
    /// within the same second.
    double participants_base = 3;
    double participants_per_rps = 2;
    /// Divided in place of a lower limit, or nobody would notice its end.
    double least_limit_rps = 0.05;
    /// Time from an entry's registration until all others have listed it and
    /// reduced their shares.
    Duration join_time = std::chrono::seconds(7);
    /// A list older than this may lack newcomers; the share is then multiplied
    /// by `stale_factor`.
    Duration fresh_list = std::chrono::seconds(5);
    double stale_factor = 0.5;
  };
  /// An entry that has not joined has no share.
  using Standing = EntryStanding;

  explicit LimitShare(Options options) : options_(options) {}

  /// Returns where the entry of `view` stands.
  Standing StandingOf(const EntryView& view, TimePoint now) const;

  /// Returns the share that the entry of `view` has of the limit of `target`,
  /// which is `limit_rps` requests a second.
  RateShare Of(const std::string& target, double limit_rps,
               const EntryView& view, Standing standing) const;

  /// Returns the number of entries that may have a usable share of a limit.
  std::size_t MostParticipants(double limit_rps) const;

 private:
  Options options_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_LIMIT_SHARE_H_
