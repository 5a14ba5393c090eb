#ifndef INDIGOLEAD_CORE_ADMISSION_ENTRY_RETRY_BUDGET_H_
#define INDIGOLEAD_CORE_ADMISSION_ENTRY_RETRY_BUDGET_H_

#include <algorithm>

#include "core/admission/recent_count.h"
#include "core/admission/retry_budget.h"
#include "core/base/time.h"

namespace indigolead {

/// Further arrivals at a service's targets that one entry of a fleet may make.
///
/// The operator bounds what all entries make together in a window: a share of
/// its requests, and a fixed allowance. Entries ask nobody, so each keeps to a
/// bound of its own, and the sum of these keeps the operator's: each earns
/// `share` with every request, and saves up its part of the allowance (`saved`)
/// and `saved_per_request` of its own requests of the last window.
///
/// The load: a hundred entries with two or three requests a second each, of
/// which one in seven fails and is worth a second try. With a part of the
/// allowance alone an entry saves up one try and a half; after a try the next
/// failure within two seconds found nothing left and went back to its caller,
/// while the fleet used a quarter of what it was allowed.
class EntryRetryBudget {
 public:
  struct Options {
    double share = 0.14;
    double saved = 10;
    double initial = 0;  ///< Arrivals that a process begins with.
    double saved_per_request = 0;
    Duration window = std::chrono::seconds(10);  ///< The operator's.
    /// One whole attempt: with less to save up none could ever be made.
    double least_saved = 1;
  };

  explicit EntryRetryBudget(const Options& options)
      : options_(options),
        requests_(options.window),
        budget_({options.share, std::max(options.saved, options.least_saved),
                 options.initial}) {}

  /// Sets the entry's part of the allowance.
  void SetSaved(double saved, TimePoint now) {
    options_.saved = saved;
    budget_.SetBurst(MostSaved(now));
  }

  /// Adds arrivals, up to the most that are saved up.
  void Grant(double arrivals) { budget_.Grant(arrivals); }

  /// A request came.
  void OnRequest(TimePoint now) {
    requests_.Add(now);
    budget_.SetBurst(MostSaved(now));
    budget_.OnFirstAttempt();
  }

  /// Takes a further attempt that makes `arrivals`. Returns false if there is
  /// not enough.
  bool TryTake(double arrivals) { return budget_.TryTake(arrivals); }

  /// Returns the arrivals that are left.
  double left() const { return budget_.left(); }

  /// Returns the most arrivals that may be saved up now.
  double MostSaved(TimePoint now) const {
    const auto recent = static_cast<double>(requests_.Count(now));
    return std::max(options_.saved + options_.saved_per_request * recent,
                    options_.least_saved);
  }

 private:
  Options options_;
  RecentCount requests_;
  RetryBudget budget_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_ENTRY_RETRY_BUDGET_H_
