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

/// Returns the count of `role` in `counts`, to read or to change.
std::uint32_t& CountOf(RoleCounts* counts, EngineRole role);

/// What one engine does in a second, in its own role.
struct EngineRates {
  double prefill_tokens_per_s = 8000;
  double decode_tokens_per_s = 1500;
  /// Share of its work that an engine does of both kinds at once: a prefill
  /// interrupts the decodes beside it.
  double mixed_efficiency = 0.85;

  friend bool operator==(const EngineRates&, const EngineRates&) = default;
};

/// Engines that a token mix keeps busy, by kind of work.
struct EngineDemand {
  double prefill = 0;
  double decode = 0;

  friend bool operator==(const EngineDemand&, const EngineDemand&) = default;
};

/// Returns the engines that `mix` keeps busy at `rates`.
EngineDemand DemandOf(const TokenMix& mix, const EngineRates& rates);

/// Returns how many times over the engines could serve `demand`, at most
/// 100. Below 1, that share of it is served.
double ServedTimes(const RoleCounts& counts, const EngineDemand& demand,
                   const EngineRates& rates);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROLES_ROLE_CAPACITY_H_
