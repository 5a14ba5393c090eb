#include "core/placement/role_load.h"

#include <algorithm>

namespace indigolead {
namespace {

/// Share of an engine's memory that answers may fill on average. The rest is
/// for cached parts of prompts, which share it, and for bursts: answers that do
/// not fit push each other out and are read again, while readers that have too
/// much refuse at once. On a workload of 46 engines whose memory binds, 3 in
/// place of 9 for answers left a quarter of its worth.
constexpr double kMemoryForAnswers = 0.5;

/// An answer is at work so many times as long as its prompt takes to read. On
/// four workloads it was 5, 5.5, 9 and 11, by the engines' own times; within
/// that range the plan is off by one engine in eight.
constexpr double kAssumedAnswersPerReader = 8;

/// Prompt assumed, in tokens, to tell how many answers an engine's memory
/// holds. The means of four workloads were 8,500 to 9,000.
constexpr double kAssumedPromptTokens = 8000;

}  // namespace

double EngineSeconds(const AnsweringWork& work, const EngineLimits& limits) {
  const double by_places = work.place_s / std::max(limits.places, 1.0);
  const double by_memory =
      limits.memory_tokens > 0
          ? work.memory_token_s / (limits.memory_tokens * kMemoryForAnswers)
          : 0;
  const double by_link = work.moved_tokens * limits.transfer_s_per_token;
  return std::max({by_places, by_memory, by_link});
}

RoleLoad AssumedRoleLoad(const EngineLimits& limits) {
  const AnsweringWork work{kAssumedAnswersPerReader,
                           kAssumedAnswersPerReader * kAssumedPromptTokens, 0};
  return {1, EngineSeconds(work, limits)};
}

double AnsweringShare(const RoleLoad& load) {
  const double total = load.answering + load.reading;
  return total > 0 ? std::clamp(load.answering / total, 0.0, 1.0) : 0;
}

}  // namespace indigolead
