#ifndef INDIGOLEAD_CORE_ROLES_ROLE_CAPACITY_H_
#define INDIGOLEAD_CORE_ROLES_ROLE_CAPACITY_H_

#include <cstdint>

#include "core/config/deployment.h"
#include "core/roles/demand_average.h"

namespace indigolead {

/// Number of engines in each role.
struct RoleCounts {
  std::uint32_t prefill = 0;
  std::uint32_t decode = 0;
  std::uint32_t mixed = 0;

  friend bool operator==(const RoleCounts&, const RoleCounts&) = default;
};

/// Returns a mutable reference to the count of `role` in `counts`.
std::uint32_t& CountOf(RoleCounts* counts, EngineRole role);

/// Rates of one engine in its own role.
struct EngineRates {
  double prefill_tokens_per_s = 8000;
  double decode_tokens_per_s = 1500;
  /// Efficiency of an engine that does both kinds of work: each prefill
  /// interrupts the concurrent decodes.
  double mixed_efficiency = 0.85;

  friend bool operator==(const EngineRates&, const EngineRates&) = default;
};

/// Number of engines that a token mix keeps busy, by kind of work.
struct EngineDemand {
  double prefill = 0;
  double decode = 0;

  friend bool operator==(const EngineDemand&, const EngineDemand&) = default;
};

/// Returns the number of engines that `mix` keeps busy at `rates`.
EngineDemand DemandOf(const TokenMix& mix, const EngineRates& rates);

/// Returns the ratio of the engines' capacity to `demand`, at most 100. A value
/// below 1 is the share of the demand that can be served.
double CapacityRatio(const RoleCounts& counts, const EngineDemand& demand,
                     const EngineRates& rates);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROLES_ROLE_CAPACITY_H_
