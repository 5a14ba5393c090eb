#ifndef INDIGOLEAD_CORE_ADMISSION_SHARED_RATE_LIMITS_H_
#define INDIGOLEAD_CORE_ADMISSION_SHARED_RATE_LIMITS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/admission/advertised_limits.h"
#include "core/admission/limit_share.h"
#include "core/admission/recent_count.h"
#include "core/admission/send_pacer.h"
#include "core/base/random.h"
#include "core/base/time.h"
#include "core/membership/entry_roster.h"

namespace indigolead {

/// Limits the requests that an entry sends to targets with a rate limit to the
/// entry's share of it.
///
/// An overloaded target that advertises a limit but receives as many requests
/// as before falls further behind, and its requests are late while other
/// targets have capacity. All requests count: first attempts, retries and
/// hedges, for prefill and for decode.
///
/// Limits apply to the average over `kAveragingTime`. Requests sent within that
/// time before the entry learned of the limit count as well, because a target
/// that advertises a limit has usually received too many already.
///
/// Not thread-safe. Uses one small record per target.
class SharedRateLimits {
 public:
  SharedRateLimits(const LimitShare::Options& options, RandomSource random);

  /// Sets the list of entries and the registration that determine the standing.
  void OnEntries(EntryView view, TimePoint now);

  /// Processes the notice in an answer of `target`. Returns the change of the
  /// limit, if any.
  std::optional<LimitChange> OnAnswer(const std::string& target,
                                      const LimitNotice& notice, TimePoint now);

  /// Processes the limit of `target` that other entries have shared. Returns
  /// the change of the limit, if any; nullopt if the same limit was shared
  /// before.
  std::optional<LimitChange> OnShared(const std::string& target,
                                      std::optional<double> limit,
                                      TimePoint now);

  /// Returns true if the caller should share the limit of `target` with the
  /// other entries, and assumes that it does. Returns true again after
  /// `kShareInterval` until `OnShared` reports about the same limit.
  ///
  /// If each entry learned of a limit only through a request of its own, these
  /// requests alone would exceed the limit on a fleet of 100 entries, until
  /// every entry has sent one.
  bool ShouldShare(const std::string& target, TimePoint now);

  /// Returns the limit of `target` in requests per second, if any.
  std::optional<double> LimitOf(const std::string& target) const {
    return advertised_.Find(target);
  }

  /// Returns the time until a request may be sent to `target`, zero if it may
  /// be sent now; nullopt if this entry has no share of the limit.
  std::optional<Duration> WaitFor(const std::string& target,
                                  TimePoint now) const;
  bool MaySend(const std::string& target, TimePoint now) const {
    return WaitFor(target, now) == Duration{0};
  }

  /// Records a request sent to `target`, whether or not it was due and whether
  /// or not the target has a limit.
  void OnSent(const std::string& target, TimePoint now);

  /// Removes all state of `target`. Called when the target's process has ended.
  void Forget(const std::string& target);

  /// Updates the shares if the standing has changed with time. Must be called
  /// several times a second.
  void Tick(TimePoint now);

  /// Returns the standing of this entry, which determines its shares.
  LimitShare::Standing standing() const { return standing_; }

  /// Returns the number of targets with a limit.
  std::size_t size() const { return pacers_.size(); }

  /// Returns this entry's share of the limit of `target`; zero without a limit.
  RateShare ShareOf(const std::string& target) const;

 private:
  static constexpr Duration kAveragingTime = std::chrono::seconds(4);
  /// Minimum time between two attempts to share the limit of one target.
  static constexpr Duration kShareInterval = std::chrono::seconds(2);
  /// Limit of a target as shared among the entries.
  struct Shared {
    std::optional<double> limit;
    std::optional<TimePoint> shared_at;  ///< When this entry last shared it.
  };

  /// Returns when one more request to `target` keeps the average within
  /// `share`.
  TimePoint DueByAverage(const std::string& target, const RateShare& share,
                         TimePoint now) const;
  void ApplyChange(const std::string& target, const LimitChange& change,
                   TimePoint now);
  void SetShare(const std::string& target, SendPacer* pacer, TimePoint now);
  void SetShares(TimePoint now);

  LimitShare shares_;
  RandomSource random_;
  AdvertisedLimits advertised_;
  EntryView view_;
  LimitShare::Standing standing_ = LimitShare::Standing::kNotJoined;
  std::map<std::string, SendPacer> pacers_;  ///< By target with a limit.
  std::map<std::string, Shared> shared_;
  std::unordered_map<std::string, RecentCount> sent_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_SHARED_RATE_LIMITS_H_
