#include "core/roles/demand_average.h"

#include <algorithm>
#include <cmath>

namespace indigolead {

void DemandAverage::Add(const TokenMix& mix, Duration length) {
  if (length <= Duration{0}) {
    return;
  }
  observed_ += length;
  const double share = std::chrono::duration<double>(length) /
                       std::chrono::duration<double>(time_constant_);
  const double initial_weight = std::chrono::duration<double>(length) /
                                std::chrono::duration<double>(observed_);
  const double weight =
      std::max(1 - std::exp(-share), std::min(initial_weight, 1.0));
  mix_.prefill_tokens_per_s +=
      weight * (mix.prefill_tokens_per_s - mix_.prefill_tokens_per_s);
  mix_.output_tokens_per_s +=
      weight * (mix.output_tokens_per_s - mix_.output_tokens_per_s);
}

}  // namespace indigolead
