#include <iterator>

#include "tests/support/direct_simulation/messages.h"
#include "tests/support/direct_simulation/simulation.h"

// Targets that request a cooldown, or announce that they leave.
namespace indigolead::testing::direct_simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

void Simulation::StartNotice() {
  if (!options_.cooldowns && !options_.leaving) {
    return;
  }
  Target* target = targets_[notice_random_() % targets_.size()].get();
  const bool free = !target->shedding && !target->announces_leaving;
  if (!target->alive || !free || target->record.leaving) {
    return;
  }
  const bool both = options_.cooldowns && options_.leaving;
  if (both ? notice_random_() % 3 > 0 : options_.cooldowns) {
    BeginShedding(target);
  } else {
    BeginLeaving(target);
  }
}

void Simulation::BeginShedding(Target* target) {
  constexpr double kShares[] = {0.5, 0.9, 1};
  constexpr milliseconds kCooldowns[] = {milliseconds(300), seconds(1),
                                         seconds(3), seconds(6)};
  target->shedding =
      Shedding{kShares[notice_random_() % std::size(kShares)],
               kCooldowns[notice_random_() % std::size(kCooldowns)]};
  time_.After(seconds(2 + notice_random_() % 4),
              [target] { target->shedding.reset(); });
}

void Simulation::BeginLeaving(Target* target) {
  target->announces_leaving = true;
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

bool Simulation::TryShed(const std::shared_ptr<Call>& call,
                         const Target& target) {
  const std::string instance = FieldOf(call->request, kInstance);
  const bool is_other = !instance.empty() && instance != target.record.id;
  if (!target.shedding || is_other ||
      ToUnitInterval(notice_random_()) >= target.shedding->share) {
    return false;
  }
  const auto cooldown = target.shedding->cooldown / milliseconds(1);
  Answer(call, 503, "", {{kCooldownMs, std::to_string(cooldown)}});
  return true;
}

void Simulation::CheckNotices(const Call& call) {
  const Target* target = FindTarget(call.address);
  if (!target) {
    return;
  }
  const auto cooldown = target->cooldowns.find(call.process_number);
  if (cooldown != target->cooldowns.end() && time_.now() < cooldown->second) {
    AddViolation(
        "back-off: a call is written to " + target->record.id +
        ", whose back-off lasts " +
        std::to_string((cooldown->second - time_.now()) / milliseconds(1)) +
        " ms longer");
  }
}

std::vector<HttpHeader> Simulation::WithNotices(
    const Call& call, std::vector<HttpHeader> headers) {
  Target* target = FindTarget(call.address);
  if (!target) {
    return headers;
  }
  const std::string cooldown = FieldOf(headers, kCooldownMs);
  if (!cooldown.empty()) {
    ++report_.cooldowns;
    TimePoint& until = target->cooldowns[call.process_number];
    until = std::max(until, time_.now() + milliseconds(std::stol(cooldown)));
  }
  if (target->announces_leaving) {
    ++report_.leaving;
    headers.push_back({kLeaving, "1"});
  }
  if (target->announces_leaving &&
      FieldOf(call.request, kInstance) == target->record.id) {
    entries_[call.entry].known_leaving.insert(target->record.id);
  }
  return headers;
}

}  // namespace indigolead::testing::direct_simulation
