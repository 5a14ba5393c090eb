#include "core/placement/role_load.h"

#include <algorithm>

namespace indigolead {
namespace {

/// Share of an engine's KV cache memory that decodes may use on average. The
/// rest is for cached prefixes and bursts: decodes that do not fit evict each
/// other and must be prefilled again, while overloaded prefill engines refuse
/// at once. In a memory-bound workload on 46 engines, 3 decode engines instead
/// of 9 reduced the value served to a quarter.
constexpr double kDecodeMemoryShare = 0.5;

/// Assumed ratio of decode time to prefill time. Four workloads had ratios of
/// 5, 5.5, 9 and 11 by the engines' own times; within that range the plan is
/// off by one engine in eight.
constexpr double kAssumedDecodePrefillRatio = 8;

/// Assumed prompt length in tokens, used to derive how many decodes fit into an
/// engine's memory. The means of four workloads were 8,500 to 9,000.
constexpr double kAssumedPromptTokens = 8000;

}  // namespace

double EngineSeconds(const DecodeWork& work, const EngineLimits& limits) {
  const double by_slots = work.slot_s / std::max(limits.decode_slots, 1.0);
  const double by_memory =
      limits.memory_tokens > 0
          ? work.memory_token_s / (limits.memory_tokens * kDecodeMemoryShare)
          : 0;
  const double by_link = work.transferred_tokens * limits.transfer_s_per_token;
  return std::max({by_slots, by_memory, by_link});
}

RoleLoad AssumedRoleLoad(const EngineLimits& limits) {
  const DecodeWork work{kAssumedDecodePrefillRatio,
                        kAssumedDecodePrefillRatio * kAssumedPromptTokens, 0};
  return {1, EngineSeconds(work, limits)};
}

double DecodeShare(const RoleLoad& load) {
  const double total = load.decode_load + load.prefill_load;
  return total > 0 ? std::clamp(load.decode_load / total, 0.0, 1.0) : 0;
}

}  // namespace indigolead
