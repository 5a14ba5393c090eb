#include "tests/support/direct_simulation/messages.h"
#include "tests/support/direct_simulation/simulation.h"
#include "tests/support/limit_rule.h"

// Targets that advertise a rate limit for all entries together.
namespace indigolead::testing::direct_simulation {
using std::chrono::seconds;

void Simulation::StartLimit() {
  constexpr double kLimits[] = {0.5, 1, 2, 4};
  Target* target = targets_[limit_random_() % targets_.size()].get();
  if (!target->alive || target->limit) {
    return;
  }
  target->limit.emplace();
  target->limit->per_second = kLimits[limit_random_() % std::size(kLimits)];
  time_.After(seconds(5 + limit_random_() % 5),
              [this, target] { EndLimit(target); });
}

void Simulation::EndLimit(Target* target) {
  const AdvertisedLimit limit = *target->limit;
  target->limit.reset();
  if (!limit.advertised_at) {
    return;
  }
  const int most =
      MaxInSpan(limit.informed_calls, *limit.advertised_at + kLimitGracePeriod);
  if (most > MaxAllowedInSpan(limit.per_second)) {
    AddViolation("limit: " + std::to_string(most) + " calls in 4 s at " +
                 target->record.id + ", whose limit is " +
                 std::to_string(limit.per_second) + " a second");
  }
}

void Simulation::CountForLimit(const Call& call) {
  Target* target = FindTarget(call.address);
  if (!target || !target->limit) {
    return;
  }
  const auto received_at = target->limit->received_at.find(call.process_number);
  if (received_at != target->limit->received_at.end() &&
      time_.now() - received_at->second >= kLimitReaction) {
    target->limit->informed_calls.push_back(time_.now());
  }
}

std::vector<HttpHeader> Simulation::WithLimit(const Call& call,
                                              std::vector<HttpHeader> headers) {
  Target* target = FindTarget(call.address);
  if (target && target->limit &&
      FieldOf(call.request, kInstance) == target->record.id) {
    headers.push_back({kLimit, std::to_string(target->limit->per_second)});
    target->limit->received_at.emplace(call.process_number, time_.now());
    target->limit->advertised_at =
        target->limit->advertised_at.value_or(time_.now());
  }
  return headers;
}

}  // namespace indigolead::testing::direct_simulation
