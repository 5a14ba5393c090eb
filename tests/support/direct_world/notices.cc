#include <iterator>

#include "tests/support/direct_world/words.h"
#include "tests/support/direct_world/world.h"

// Targets that ask an entry to back off, or announce that they leave.
namespace indigolead::testing::direct_world {

using std::chrono::milliseconds;
using std::chrono::seconds;

void World::NextNotice() {
  if (!options_.rests && !options_.leaving) {
    return;
  }
  Target* target = targets_[notice_random_() % targets_.size()].get();
  const bool free = !target->shedding && !target->says_leaving;
  if (!target->alive || !free || target->record.leaving) {
    return;
  }
  const bool both = options_.rests && options_.leaving;
  if (both ? notice_random_() % 3 > 0 : options_.rests) {
    BeginShedding(target);
  } else {
    BeginLeaving(target);
  }
}

void World::BeginShedding(Target* target) {
  constexpr double kShares[] = {0.5, 0.9, 1};
  constexpr milliseconds kRests[] = {milliseconds(300), seconds(1), seconds(3),
                                     seconds(6)};
  target->shedding = Shedding{kShares[notice_random_() % std::size(kShares)],
                              kRests[notice_random_() % std::size(kRests)]};
  time_.After(seconds(2 + notice_random_() % 4),
              [target] { target->shedding.reset(); });
}

void World::BeginLeaving(Target* target) {
  target->says_leaving = true;
  if (notice_random_() % 4 == 0) {
    return;  // It neither leaves the list nor ends.
  }
  AddTarget(target->record.service, target->record.role, "");
  if (notice_random_() % 2 == 0) {
    time_.After(milliseconds(notice_random_() % 2000),
                [target] { target->record.leaving = true; });
  }
  time_.After(seconds(3 + notice_random_() % 3), [target] {
    target->alive = false;
    target->listed = false;
  });
}

bool World::Shed(const std::shared_ptr<Call>& call, const Target& target) {
  const std::string instance = FieldOf(call->request, kInstance);
  const bool is_other = !instance.empty() && instance != target.record.id;
  if (!target.shedding || is_other ||
      ToUnitInterval(notice_random_()) >= target.shedding->share) {
    return false;
  }
  const auto rest = target.shedding->rest / milliseconds(1);
  Answer(call, 503, "", {{kRestMs, std::to_string(rest)}});
  return true;
}

void World::CheckNotices(const Call& call) {
  const Target* target = At(call.address);
  if (!target) {
    return;
  }
  const auto rest = target->rests.find(call.life);
  if (rest != target->rests.end() && time_.now() < rest->second) {
    Violate("back-off: a call is written to " + target->record.id +
            ", whose back-off lasts " +
            std::to_string((rest->second - time_.now()) / milliseconds(1)) +
            " ms longer");
  }
}

std::vector<HttpHeader> World::WithNotices(const Call& call,
                                           std::vector<HttpHeader> headers) {
  Target* target = At(call.address);
  if (!target) {
    return headers;
  }
  const std::string rest = FieldOf(headers, kRestMs);
  if (!rest.empty()) {
    ++report_.rests;
    TimePoint& until = target->rests[call.life];
    until = std::max(until, time_.now() + milliseconds(std::stol(rest)));
  }
  if (target->says_leaving) {
    ++report_.leaving;
    headers.push_back({kLeaving, "1"});
  }
  if (target->says_leaving &&
      FieldOf(call.request, kInstance) == target->record.id) {
    entries_[call.entry].told_leaving.insert(target->record.id);
  }
  return headers;
}

}  // namespace indigolead::testing::direct_world
