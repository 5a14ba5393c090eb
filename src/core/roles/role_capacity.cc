#include "core/roles/role_capacity.h"

#include <algorithm>

namespace indigolead {
namespace {

constexpr double kMaxRatio = 100;

double BoundedRatio(double engines, double demand) {
  return demand * kMaxRatio <= engines ? kMaxRatio : engines / demand;
}

}  // namespace

std::uint32_t& CountOf(RoleCounts* counts, EngineRole role) {
  switch (role) {
    case EngineRole::kPrefill:
      return counts->prefill;
    case EngineRole::kDecode:
      return counts->decode;
    case EngineRole::kMixed:
      break;
  }
  return counts->mixed;
}

EngineDemand DemandOf(const TokenMix& mix, const EngineRates& rates) {
  return EngineDemand{
      mix.prefill_tokens_per_s / std::max(rates.prefill_tokens_per_s, 1.0),
      mix.output_tokens_per_s / std::max(rates.decode_tokens_per_s, 1.0)};
}

double CapacityRatio(const RoleCounts& counts, const EngineDemand& demand,
                     const EngineRates& rates) {
  const double mixed = counts.mixed * rates.mixed_efficiency;
  // Mixed engines can do either kind of work, so three constraints apply:
  // prefill with all mixed engines, decode with all mixed engines, and both
  // kinds on all engines together.
  return std::min({BoundedRatio(counts.prefill + mixed, demand.prefill),
                   BoundedRatio(counts.decode + mixed, demand.decode),
                   BoundedRatio(counts.prefill + counts.decode + mixed,
                                demand.prefill + demand.decode)});
}

}  // namespace indigolead
