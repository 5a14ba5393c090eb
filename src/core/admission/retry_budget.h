#ifndef INDIGOLEAD_CORE_ADMISSION_RETRY_BUDGET_H_
#define INDIGOLEAD_CORE_ADMISSION_RETRY_BUDGET_H_

#include <cstdint>

#include "core/base/random.h"
#include "core/base/time.h"

namespace indigolead {

/// Bounds retries and hedges of one deployment to a share of its traffic.
///
/// When a failure domain is lost, every attempt fails at once. If each were
/// retried up to its own limit, the remaining targets would get a multiple of
/// the load just when there are fewer of them: callers see an outage that
/// outlasts its cause. A share of the first attempts bounds that multiple,
/// whatever the number of callers.
class RetryBudget {
 public:
  struct Options {
    double share = 0.1;  ///< Retries per first attempt.
    double burst = 10;   ///< Most retries saved up in quiet times.
    double initial = 0;  ///< Retries to begin with, for a quiet start.
  };

  explicit RetryBudget(const Options& options)
      : options_(options), level_(options.initial) {}

  /// Sets the share from now on.
  void SetShare(double share) { options_.share = share; }

  /// Sets the most retries that are saved up; more of them are lost.
  void SetBurst(double burst);

  /// Adds retries, up to the most that are saved up.
  void Grant(double arrivals);

  /// Records a first attempt, which earns its share of a retry.
  void OnFirstAttempt();

  /// Takes a retry that makes `arrivals` at targets from the budget. Returns
  /// false if there is not enough; the caller then gets the outcome of the
  /// attempt that it had.
  bool TryTake(double arrivals = 1);

  /// Returns the arrivals that are left.
  double left() const { return level_; }
  std::uint64_t first_attempts() const { return first_attempts_; }
  std::uint64_t retries() const { return retries_; }

 private:
  Options options_;
  double level_;
  std::uint64_t first_attempts_ = 0;
  std::uint64_t retries_ = 0;
};

/// How long to wait before a retry.
struct Backoff {
  Duration base = std::chrono::milliseconds(20);
  Duration cap = std::chrono::seconds(2);

  /// Returns the delay before retry number `retry`, counted from 0: drawn
  /// uniformly from zero to the cap that doubles with each. The draw over the
  /// whole range keeps attempts that failed together from coming back
  /// together.
  Duration Delay(std::uint32_t retry, std::uint64_t random_bits) const;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_RETRY_BUDGET_H_
