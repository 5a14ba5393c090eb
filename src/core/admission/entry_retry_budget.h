#ifndef INDIGOLEAD_CORE_ADMISSION_ENTRY_RETRY_BUDGET_H_
#define INDIGOLEAD_CORE_ADMISSION_ENTRY_RETRY_BUDGET_H_

#include <deque>

#include "core/admission/recent_count.h"
#include "core/admission/retry_budget.h"
#include "core/base/time.h"

namespace indigolead {

/// Further arrivals at a service's targets that one entry of a fleet may make.
///
/// The operator bounds what all entries make together in any window: a share of
/// the requests in it, and a fixed allowance. Entries ask nobody, so each keeps
/// to a bound of its own, and the sum of these keeps the operator's: in a
/// window its part of the allowance, `saved_per_request` of its requests of the
/// last window, and `share` for each new one.
///
/// The load: hundreds of entries with a request in three seconds each, of which
/// one in twenty fails and is worth a second try. With a part that only
/// requests fill again the next failure within a minute finds nothing left,
/// while the fleet uses a tenth of what it is allowed. So what the requests of
/// a window would not fill is there again after a window.
///
/// A process that starts does not know what the one before has spent, so its
/// part is `initial` for its first window.
///
/// Memory: one small record for each attempt of the last window.
class EntryRetryBudget {
 public:
  struct Options {
    double share = 0.14;
    double part = 10;    ///< Of the fixed allowance, in arrivals.
    double initial = 0;  ///< The same in a process's first window.
    double saved_per_request = 0;
    Duration window = std::chrono::seconds(10);  ///< The operator's.
    /// From [0, 1), another one for each entry. What an entry may have at once
    /// is cut to whole arrivals, and rounded up where the rest and this make
    /// one: a rest is of use to nobody, and the sum over many entries stays.
    double rounding = 0;
  };

  /// `started_at` is when the process began.
  EntryRetryBudget(const Options& options, TimePoint started_at);

  /// Sets the entry's part of the allowance, and that of its first window.
  void SetParts(double part, double initial);

  /// A request came.
  void OnRequest(TimePoint now);

  /// Takes a further attempt that makes `arrivals`. Returns false if there is
  /// not enough.
  bool TryTake(double arrivals, TimePoint now);

  /// Gives back arrivals that were taken last and not made.
  void GiveBack(double arrivals);

 private:
  struct Taken {
    TimePoint at{};
    double arrivals = 0;
    double of_part = 0;  ///< Of them, from what comes back with time.
  };

  /// Returns what the requests of the last window have earned.
  double EarnedInWindow(TimePoint now) const;
  /// Returns the most that the entry may have at once.
  double MostAtOnce(TimePoint now) const;
  /// Returns how much of that requests fill again, time the rest.
  double FilledByRequests(TimePoint now) const;
  void Forget(TimePoint now);

  Options options_;
  TimePoint started_at_;
  RecentCount requests_;
  RetryBudget earned_;
  std::deque<Taken> taken_;  ///< Of the last window, oldest first.
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_ENTRY_RETRY_BUDGET_H_
