#ifndef INDIGOLEAD_CORE_ADMISSION_ENTRY_RETRY_BUDGET_H_
#define INDIGOLEAD_CORE_ADMISSION_ENTRY_RETRY_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "core/admission/recent_count.h"
#include "core/admission/retry_allowance.h"
#include "core/admission/retry_budget.h"
#include "core/base/time.h"

namespace indigolead {

/// Further arrivals at a service's targets that one entry of a fleet may make.
///
/// The operator bounds what all entries make together in a window: a share of
/// its requests, and a fixed allowance. Entries ask nobody, so each keeps to a
/// bound of its own, and the sum of these keeps the operator's: each earns
/// `share` with every request and its part of the allowance with time, and
/// saves up that part and `saved_per_request` of its own requests of the last
/// window.
///
/// A process begins with nothing: entries that are killed again and again
/// would get a grant at each start, beyond any bound on the sum.
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
    RetryPart part{10, 0};
    double initial = 0;  ///< Arrivals that a process begins with.
    double saved_per_request = 0;
    Duration window = std::chrono::seconds(10);  ///< The operator's.
    /// One whole attempt: with less to save up none could ever be made.
    double least_saved = 1;
  };

  explicit EntryRetryBudget(const Options& options)
      : options_(options),
        requests_(options.window),
        budget_({options.share,
                 std::max(options.part.saved, options.least_saved),
                 options.initial}) {}

  /// Sets the entry's part of the allowance.
  void SetPart(const RetryPart& part, TimePoint now) {
    Refill(now);
    options_.part = part;
    budget_.SetBurst(MostSaved(now));
  }

  /// Gives back arrivals that were taken and not made.
  void GiveBack(double arrivals) { budget_.Grant(arrivals); }

  /// A request came.
  void OnRequest(TimePoint now) {
    requests_.Add(now);
    Refill(now);
    budget_.SetBurst(MostSaved(now));
    budget_.OnFirstAttempt();
  }

  /// Takes a further attempt that makes `arrivals`. Returns false if there is
  /// not enough.
  bool TryTake(double arrivals, TimePoint now) {
    Refill(now);
    return budget_.TryTake(arrivals);
  }

  /// Returns the arrivals that are left.
  double left() const { return budget_.left(); }

  /// Returns the most arrivals that may be saved up now.
  double MostSaved(TimePoint now) const {
    const auto recent = static_cast<double>(requests_.Count(now));
    return std::max(options_.part.saved + options_.saved_per_request * recent,
                    options_.least_saved);
  }

 private:
  /// Adds what has come back since the last time.
  void Refill(TimePoint now) {
    const std::chrono::duration<double> elapsed =
        now - refilled_at_.value_or(now);
    const std::chrono::duration<double> window = options_.window;
    budget_.Grant(options_.part.refilled * (elapsed / window));
    refilled_at_ = now;
  }

  Options options_;
  RecentCount requests_;
  RetryBudget budget_;
  std::optional<TimePoint> refilled_at_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_ENTRY_RETRY_BUDGET_H_
