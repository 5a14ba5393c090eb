#include "tests/support/direct_simulation/simulation.h"

namespace indigolead::testing::direct_simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

void Simulation::AddTarget(const std::string& service, EngineRole role,
                           const std::string& address) {
  auto target = std::make_unique<Target>();
  const std::uint64_t n = ++next_target_;
  target->record.id = "i" + std::to_string(n);
  target->record.service = service;
  target->record.address =
      address.empty() ? "10.0.0." + std::to_string(n) + ":80" : address;
  target->record.failure_domain = n % 2 == 0 ? "oviedo" : "bilbao";
  target->record.role = role;
  target->record.slots = 4;
  targets_.push_back(std::move(target));
}

Target* Simulation::RandomTarget() {
  Target* target = targets_[RandomBelow(targets_.size())].get();
  return target->alive && !target->record.leaving ? target : nullptr;
}

void Simulation::CrashTarget(Target* target) {
  target->alive = false;
  time_.After(RandomBetween(seconds(1), seconds(4)),
              [target] { target->listed = false; });
  // Its address may be reused by a target of another service.
  const TargetRecord was = target->record;
  const bool reused = Chance(0.4);
  time_.After(RandomBetween(seconds(1), seconds(3)), [this, was, reused] {
    const bool other = reused && Chance(0.5);
    AddTarget(other ? "app" : was.service,
              other ? EngineRole::kMixed : was.role, reused ? was.address : "");
  });
}

void Simulation::InjectFault() {
  Target* target = RandomTarget();
  const int entry = static_cast<int>(RandomBelow(entries_.size()));
  switch (RandomBelow(7)) {
    case 0:
      if (target) {
        CrashTarget(target);
      }
      break;
    case 1:
      if (target) {
        target->frozen = true;
        time_.After(RandomBetween(milliseconds(100), seconds(3)),
                    [target] { target->frozen = false; });
      }
      break;
    case 2:
      if (target) {  // Leaves: keeps serving for a while, then ends.
        target->record.leaving = true;
        time_.After(RandomBetween(seconds(3), seconds(5)), [target] {
          target->alive = false;
          target->listed = false;
        });
        AddTarget(target->record.service, target->record.role, "");
      }
      break;
    case 3:
      if (target && target->record.service == "llm") {
        target->record.role = target->record.role == EngineRole::kPrefill
                                  ? EngineRole::kDecode
                                  : EngineRole::kPrefill;
      }
      break;
    case 4:
      Freeze(entry, RandomBetween(milliseconds(50), seconds(2)));
      break;
    case 5:
      for (auto& [id, observation] : observations_) {
        observation.cut =
            observation.cut ||
            (observation.process_number == entries_[entry].process_number &&
             observation.finals == 0);
      }
      CheckBudget(entries_[entry]);
      StartEntry(entry);
      break;
    default:
      store_down_ = !store_down_;
  }
}

}  // namespace indigolead::testing::direct_simulation
