#ifndef INDIGOLEAD_CORE_ADMISSION_RETRY_BUDGET_H_
#define INDIGOLEAD_CORE_ADMISSION_RETRY_BUDGET_H_

#include <cstdint>

#include "core/base/random.h"
#include "core/base/time.h"

namespace indigolead {

/// Limits retries and hedges of one deployment to a share of its traffic.
///
/// When a failure domain is lost, all attempts there fail at once. If each were
/// retried up to a limit of its own, fewer targets would receive a multiple of
/// the load, and the outage would outlast its cause. Limiting retries to a
/// share of the first attempts bounds that multiple for any number of callers.
///
/// The unit is arrivals: requests that reach targets. One retry may cause
/// several.
class RetryBudget {
 public:
  struct Options {
    double share = 0.1;  ///< Arrivals earned per first attempt.
    double burst = 10;   ///< Maximum arrivals that accumulate.
    double initial = 0;  ///< Arrivals available at the start.
  };

  explicit RetryBudget(const Options& options)
      : options_(options), level_(options.initial) {}

  /// Sets the number of arrivals earned per first attempt.
  void SetShare(double share) { options_.share = share; }

  /// Sets the maximum number of arrivals that accumulate; any excess is
  /// discarded.
  void SetBurst(double burst);

  /// Adds `arrivals` to the budget, up to the maximum.
  void Grant(double arrivals);

  /// Records a first attempt and adds its share to the budget.
  void OnFirstAttempt();

  /// Takes a retry that causes `arrivals` at targets from the budget. Returns
  /// false if the budget is insufficient; the outcome of the previous attempt
  /// is then final.
  bool TryTake(double arrivals = 1);

  /// Returns the remaining arrivals.
  double left() const { return level_; }
  std::uint64_t first_attempts() const { return first_attempts_; }
  std::uint64_t retries() const { return retries_; }

 private:
  Options options_;
  double level_;
  std::uint64_t first_attempts_ = 0;
  std::uint64_t retries_ = 0;
};

/// Exponential backoff with full jitter.
struct Backoff {
  Duration base = std::chrono::milliseconds(20);
  Duration cap = std::chrono::seconds(2);

  /// Returns the delay before retry number `retry`, counted from 0: uniformly
  /// distributed between zero and a maximum that starts at `base` and doubles
  /// with each retry up to `cap`. Drawing from the whole range keeps attempts
  /// that failed together from being retried together.
  Duration Delay(std::uint32_t retry, std::uint64_t random_bits) const;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_RETRY_BUDGET_H_
