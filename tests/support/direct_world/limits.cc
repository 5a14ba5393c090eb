#include <algorithm>

#include "tests/support/direct_world/words.h"
#include "tests/support/direct_world/world.h"

// Targets that name a limit on what they take from all entries together.
namespace indigolead::testing::direct_world {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The rule: in no `kSpan` more than `kTolerance` times what the limit allows,
/// and `kLimitSlack` calls, from entries that were told `kTold` ago or earlier;
/// from `kContact` after the limit was first named.
constexpr Duration kSpan = seconds(4);
constexpr double kTolerance = 1.5;
constexpr double kLimitSlack = 5;
constexpr Duration kTold = milliseconds(500);
constexpr Duration kContact = seconds(3);

/// Returns the most times in any span that begins at `from` or later.
int MostInSpan(const std::vector<TimePoint>& times, TimePoint from) {
  int most = 0;
  auto first = std::lower_bound(times.begin(), times.end(), from);
  for (auto it = first; it != times.end(); ++it) {
    while (*it - *first >= kSpan) {
      ++first;
    }
    most = std::max(most, static_cast<int>(it - first) + 1);
  }
  return most;
}

}  // namespace

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
  const int most = MostInSpan(limit.counted, *limit.named_at + kContact);
  const double allowed = kTolerance * limit.per_second *
                             std::chrono::duration<double>(kSpan).count() +
                         kLimitSlack;
  if (most > allowed) {
    Violate("limit: " + std::to_string(most) + " calls in 4 s at " +
            target->record.id + ", which takes " +
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
      time_.now() - told->second >= kTold) {
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
