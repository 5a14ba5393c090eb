#include "tests/support/direct_world/words.h"
#include "tests/support/direct_world/world.h"
#include "tests/support/limit_rule.h"

// Targets that announce a rate limit for all entries together.
namespace indigolead::testing::direct_world {
using std::chrono::seconds;

void World::NextLimit() {
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

void World::EndLimit(Target* target) {
  const NamedLimit limit = *target->limit;
  target->limit.reset();
  if (!limit.named_at) {
    return;
  }
  const int most = MostInSpan(limit.counted, *limit.named_at + kLimitContact);
  if (most > MostAllowed(limit.per_second)) {
    Violate("limit: " + std::to_string(most) + " calls in 4 s at " +
            target->record.id + ", whose limit is " +
            std::to_string(limit.per_second) + " a second");
  }
}

void World::CountForLimit(const Call& call) {
  Target* target = At(call.address);
  if (!target || !target->limit) {
    return;
  }
  const auto told = target->limit->told.find(call.life);
  if (told != target->limit->told.end() &&
      time_.now() - told->second >= kLimitTold) {
    target->limit->counted.push_back(time_.now());
  }
}

std::vector<HttpHeader> World::WithLimit(const Call& call,
                                         std::vector<HttpHeader> headers) {
  Target* target = At(call.address);
  if (target && target->limit &&
      FieldOf(call.request, kInstance) == target->record.id) {
    headers.push_back({kLimit, std::to_string(target->limit->per_second)});
    target->limit->told.emplace(call.life, time_.now());
    target->limit->named_at = target->limit->named_at.value_or(time_.now());
  }
  return headers;
}

}  // namespace indigolead::testing::direct_world
