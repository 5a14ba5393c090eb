#ifndef INDIGOLEAD_CORE_ADMISSION_LIMIT_SHARE_H_
#define INDIGOLEAD_CORE_ADMISSION_LIMIT_SHARE_H_

#include <cstddef>
#include <optional>
#include <string>

#include "core/base/time.h"
#include "core/membership/entry_roster.h"

namespace indigolead {

/// One entry's part of the rate that a target takes from all entries together.
struct RateShare {
  double per_second = 0;  ///< 0: the entry sends nothing.
  /// Time for which a request that is due may stay unsent; after it the next
  /// one is due a period later. Nothing: it is saved up, one at most.
  std::optional<Duration> usable_for;

  friend bool operator==(const RateShare&, const RateShare&) = default;
};

/// Parts a target's limit among the entries of a fleet of any size.
///
/// Entries do not ask each other before they send, so each computes its share
/// from the list of entries alone, and the shares add up to less than the
/// limit.
///
/// Up to `MostParticipants` entries have equal shares. In a larger fleet that
/// many, chosen by a hash of the target's name, have a usable share each. The
/// others only ask now and then whether the limit still holds, and may not save
/// such a request up: hundreds saved up in silence could be sent in one second.
class LimitShare {
 public:
  struct Options {
    /// Part of a limit that is parted among the participants. The rest is for
    /// requests that bunch on their way, and for entries that serve yet and
    /// are on nobody's list any more.
    double used = 0.8;
    /// Part of a limit that all other entries ask with.
    double asking = 0.1;
    Duration asking_usable = std::chrono::seconds(1);
    /// Participants: each may have saved up one request, and all of them may
    /// send it in the same second.
    double participants_base = 3;
    double participants_per_rps = 2;
    /// Parted in place of a lower limit, or nobody would hear of its end.
    double least_limit_rps = 0.05;
    /// From an entry's registration until all others have listed it and have
    /// made room for it.
    Duration join_time = std::chrono::seconds(7);
    /// A list of this age may lack newcomers, and a share is cut to this part.
    Duration fresh_list = std::chrono::seconds(5);
    double stale_part = 0.5;
  };
  /// What time alone decides of an entry's shares.
  enum class Standing {
    kOutside,  ///< Not on everybody's list yet, or no more: no share.
    kStale,    ///< Its own list is old.
    kFresh,
  };

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
