#ifndef INDIGOLEAD_CORE_ROLES_DEMAND_AVERAGE_H_
#define INDIGOLEAD_CORE_ROLES_DEMAND_AVERAGE_H_

#include "core/base/time.h"

namespace indigolead {

/// Rates of prefill and decode work, in tokens per second.
struct TokenMix {
  double prefill_tokens_per_s = 0;
  double output_tokens_per_s = 0;

  friend bool operator==(const TokenMix&, const TokenMix&) = default;
};

/// Exponentially decaying average of the token mix.
class DemandAverage {
 public:
  explicit DemandAverage(Duration time_constant)
      : time_constant_(time_constant) {}

  /// Adds `mix`, observed over `length`. The first observations are weighted by
  /// their length, so that the initial value of zero does not bias the average.
  void Add(const TokenMix& mix, Duration length);

  /// Returns the average; zero before the first call to `Add`.
  const TokenMix& mix() const { return mix_; }

  /// Returns the total length of all observations.
  Duration observed() const { return observed_; }

 private:
  Duration time_constant_;
  Duration observed_{0};
  TokenMix mix_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROLES_DEMAND_AVERAGE_H_
