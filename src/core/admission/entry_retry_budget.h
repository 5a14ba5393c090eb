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

/// Bounds the arrivals that one entry causes at a service's targets by retries
/// and hedges.
///
/// The operator sets a limit for all entries together: per window, a share of
/// the requests plus a fixed allowance. Entries do not coordinate, so each
/// enforces a limit of its own such that the sum stays within the operator's.
/// An entry earns `share` with each request and its part of the allowance over
/// time. It accumulates at most that part plus `saved_per_request` for each of
/// its own requests in the last window.
///
/// A process starts with an empty budget: with an initial grant, entries that
/// restart repeatedly would exceed any limit on the sum.
///
/// `saved_per_request` exists for large fleets with little traffic per entry.
/// With 100 entries at two or three requests a second each, of which one in
/// seven fails and can be retried, the part of the allowance alone accumulates
/// 1.5 retries. A second failure within two seconds of a retry was then
/// returned to the caller, although the fleet used only a quarter of its limit.
class EntryRetryBudget {
 public:
  struct Options {
    double share = 0.14;
    RetryPart part{10, 0};
    double initial = 0;  ///< Arrivals available at process start.
    double saved_per_request = 0;
    /// Window of the operator's limit.
    Duration window = std::chrono::seconds(10);
    /// Arrivals of one attempt; with a lower maximum, no attempt could ever be
    /// made.
    double min_saved = 1;
  };

  explicit EntryRetryBudget(const Options& options)
      : options_(options),
        requests_(options.window),
        budget_({options.share, std::max(options.part.saved, options.min_saved),
                 options.initial}) {}

  /// Sets the entry's part of the allowance.
  void SetPart(const RetryPart& part, TimePoint now) {
    Refill(now);
    options_.part = part;
    budget_.SetBurst(MaxSaved(now));
  }

  /// Returns arrivals that were taken from the budget but not used.
  void Refund(double arrivals) { budget_.Grant(arrivals); }

  /// Records a request.
  void OnRequest(TimePoint now) {
    requests_.Add(now);
    Refill(now);
    budget_.SetBurst(MaxSaved(now));
    budget_.OnFirstAttempt();
  }

  /// Takes `arrivals` for one retry or hedge from the budget. Returns false if
  /// the budget is insufficient.
  bool TryTake(double arrivals, TimePoint now) {
    Refill(now);
    return budget_.TryTake(arrivals);
  }

  /// Returns the remaining arrivals.
  double left() const { return budget_.left(); }

  /// Returns the maximum number of arrivals that may be accumulated now.
  double MaxSaved(TimePoint now) const {
    const auto recent = static_cast<double>(requests_.Count(now));
    return std::max(options_.part.saved + options_.saved_per_request * recent,
                    options_.min_saved);
  }

 private:
  /// Adds the part of the allowance earned since the last call.
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
