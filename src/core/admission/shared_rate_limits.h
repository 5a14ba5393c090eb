#ifndef INDIGOLEAD_CORE_ADMISSION_SHARED_RATE_LIMITS_H_
#define INDIGOLEAD_CORE_ADMISSION_SHARED_RATE_LIMITS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/admission/limit_share.h"
#include "core/admission/named_limits.h"
#include "core/admission/recent_count.h"
#include "core/admission/send_pacer.h"
#include "core/base/random.h"
#include "core/base/time.h"
#include "core/membership/entry_roster.h"

namespace indigolead {

/// Keeps what an entry sends to targets that name a limit within its share.
///
/// The failure: a target in need says how many requests a second it takes, and
/// still gets as many as before. The symptom: it falls further behind, and each
/// request placed there is late while other targets have room. Every request
/// counts, first or further, to read a prompt or to make an answer.
///
/// A limit is averaged over `kAveragingTime`, and what an entry sent in that
/// time before it heard of the limit counts: a target that names one has mostly
/// had too much already.
///
/// Not thread-safe. Memory: one small record for each target.
class SharedRateLimits {
 public:
  SharedRateLimits(const LimitShare::Options& options, RandomSource random);

  /// Takes the list of entries, or what else changed of the entry's standing.
  void OnEntries(EntryView view, TimePoint now);

  /// Takes what an answer of `target` says. Returns the change of belief.
  std::optional<LimitChange> OnAnswer(const std::string& target,
                                      const LimitNotice& notice, TimePoint now);

  /// Takes the limit that entries share of `target`. Returns the change of
  /// belief; nothing where the same was shared before.
  std::optional<LimitChange> OnShared(const std::string& target,
                                      std::optional<double> limit,
                                      TimePoint now);

  /// Returns true if the entries should be told what is believed of `target`,
  /// and takes it that they are; again after `kShareInterval`, until it shows.
  ///
  /// The failure: each entry learns of a limit by a request of its own. The
  /// symptom: on a fleet of a hundred entries these requests alone are more
  /// than the limit, for as long as it takes until all have made theirs.
  bool ShouldShare(const std::string& target, TimePoint now);

  /// Returns the limit of `target`, in requests a second, or nothing.
  std::optional<double> LimitOf(const std::string& target) const {
    return named_.Find(target);
  }

  /// Returns the time until a request may be sent to `target`, zero if it may
  /// be now; nothing if this entry has no share of its limit.
  std::optional<Duration> WaitFor(const std::string& target,
                                  TimePoint now) const;
  bool MaySend(const std::string& target, TimePoint now) const {
    return WaitFor(target, now) == Duration{0};
  }

  /// A request is sent to `target`, in its turn or not, with a limit or
  /// without.
  void OnSent(const std::string& target, TimePoint now);

  /// The target's run is over, and its limit with it.
  void Forget(const std::string& target);

  /// Acts on what time alone decides. Call several times a second.
  void Tick(TimePoint now);

  /// Returns where this entry stands among those that share the limits.
  LimitShare::Standing standing() const { return standing_; }

  /// Returns the number of targets with a limit.
  std::size_t size() const { return pacers_.size(); }

  /// Returns this entry's share of the limit of `target`; zero if there is
  /// none.
  RateShare ShareOf(const std::string& target) const;

 private:
  static constexpr Duration kAveragingTime = std::chrono::seconds(4);
  /// Between two attempts to tell the entries of one target.
  static constexpr Duration kShareInterval = std::chrono::seconds(2);
  /// What the entries know of a target from each other.
  struct Shared {
    std::optional<double> limit;
    std::optional<TimePoint> told_at;  ///< When this entry last told them.
  };

  /// Returns when one more request to `target` keeps the average of `share`.
  TimePoint DueByAverage(const std::string& target, const RateShare& share,
                         TimePoint now) const;
  void Follow(const std::string& target, const LimitChange& change,
              TimePoint now);
  void SetShare(const std::string& target, SendPacer* pacer, TimePoint now);
  void SetShares(TimePoint now);

  LimitShare shares_;
  RandomSource random_;
  NamedLimits named_;
  EntryView view_;
  LimitShare::Standing standing_ = LimitShare::Standing::kNotJoined;
  std::map<std::string, SendPacer> pacers_;  ///< Of each target in `named_`.
  std::map<std::string, Shared> shared_;
  std::unordered_map<std::string, RecentCount> sent_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_SHARED_RATE_LIMITS_H_
