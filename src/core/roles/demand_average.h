#ifndef INDIGOLEAD_CORE_ROLES_DEMAND_AVERAGE_H_
#define INDIGOLEAD_CORE_ROLES_DEMAND_AVERAGE_H_

#include "core/base/time.h"

namespace indigolead {

/// Rates of the two kinds of work, in tokens per second.
struct TokenMix {
  double prefill_tokens_per_s = 0;
  double output_tokens_per_s = 0;

  friend bool operator==(const TokenMix&, const TokenMix&) = default;
};

/// Averages the token mix with exponential decay.
class DemandAverage {
 public:
  explicit DemandAverage(Duration time_constant)
      : time_constant_(time_constant) {}

  /// Takes `mix`, seen over `length`. The first ones weigh by their length,
  /// so that a young average is not drawn towards zero.
  void Add(const TokenMix& mix, Duration length);

  /// Returns the average; zero before the first `Add`.
  const TokenMix& mix() const { return mix_; }

  /// Returns for how long demand was seen.
  Duration observed() const { return observed_; }

 private:
  Duration time_constant_;
  Duration observed_{0};
  TokenMix mix_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROLES_DEMAND_AVERAGE_H_
