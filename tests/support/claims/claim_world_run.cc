#include <algorithm>

#include "tests/support/claims/claim_world.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHomes = 3;
constexpr std::size_t kEntries = 2;
constexpr Duration kStep = milliseconds(20);
constexpr const char* kDeployment = "tarifa-llm";

ClaimKey KeyOf(int key) {
  return MakeClaimKey("bilbao", kDeployment, std::to_string(key));
}

}  // namespace

std::size_t ClaimWorld::HomeOf(int key) const {
  const auto slot =
      SlotOf(KeyOf(key), static_cast<std::uint32_t>(map_->slots.size()));
  return IndexOf(map_->slots[slot].owner.home);
}

void ClaimWorld::Decided(std::size_t n, const ClaimDecided& decided) {
  const int key = issued_requests_.at(decided.request).key;
  verdicts_[decided.request] = decided.decision.verdict;
  switch (decided.decision.verdict) {
    case ClaimVerdict::kGranted:
      RunRequest(n, decided.request, key);
      break;
    case ClaimVerdict::kFinished:
      ++counts_.replayed;
      if (decided.decision.answer->body != answers_[key]) {
        RecordViolation("a retry got the response " +
                        decided.decision.answer->body + ", expected " +
                        answers_[key]);
      }
      break;
    case ClaimVerdict::kAlreadyRun:
      ++counts_.already_run;
      if (runs_[key] != 1) {
        RecordViolation("already-run reported for a key that did not run once");
      }
      break;
    case ClaimVerdict::kOverloaded:
      ++counts_.free;
      if (runs_[key] != 0) {
        RecordViolation("not-run reported for a key that ran");
      }
      break;
    case ClaimVerdict::kBodyDiffers:
      RecordViolation("body-differs reported for equal bodies");
      break;
    default:
      ++counts_.unknown;
      break;
  }
}

void ClaimWorld::RunRequest(std::size_t n, const RequestId& request, int key) {
  const Incarnation incarnation = entries_[n].incarnation;
  const bool refused = !faults_ended_ && Chance(0.1);
  const bool complete = faults_ended_ || Chance(0.9);
  Schedule(Delay(200), [this, n, incarnation, request, key, refused, complete] {
    Entry& entry = entries_[n];
    if (!entry.client || entry.incarnation != incarnation) {
      return;
    }
    if (refused || !entry.client->MayStart(request, now_)) {
      entry.client->Finish(request, ClaimState::kNotRun, {}, now_);
      EntryActions(n);
      return;
    }
    ++counts_.runs;
    if (++runs_[key] > 1) {
      RecordViolation("key " + std::to_string(key) + " ran twice");
    }
    answers_[key] = "answer of " + ToHex(request.value);
    Schedule(Delay(1500), [this, n, incarnation, request, key, complete] {
      Entry& held = entries_[n];
      if (!held.client || held.incarnation != incarnation) {
        return;
      }
      counts_.answered += complete ? 1 : 0;
      held.client->Finish(
          request, complete ? ClaimState::kFinished : ClaimState::kUnknown,
          complete ? std::optional(ClaimAnswer{200, {}, answers_[key]})
                   : std::nullopt,
          now_);
      EntryActions(n);
    });
  });
}

void ClaimWorld::StartRequest(std::size_t n, int key) {
  if (!entries_[n].client) {
    return;
  }
  const RequestId request{NextId()};
  issued_requests_[request] = {key, n};
  entries_[n].client->Begin(request, kDeployment, KeyOf(key), 7, seconds(5),
                            now_);
  EntryActions(n);
}

std::optional<ClaimVerdict> ClaimWorld::AskOnce(std::size_t entry, int key,
                                                int steps) {
  StartRequest(entry, key);
  RequestId request;
  for (const auto& [id, asked] : issued_requests_) {
    if (asked.key == key && asked.entry == entry && verdicts_.count(id) == 0) {
      request = id;
    }
  }
  for (int it = 0; it < steps && verdicts_.count(request) == 0; ++it) {
    Step();
  }
  const auto found = verdicts_.find(request);
  return found == verdicts_.end() ? std::nullopt : std::optional(found->second);
}

void ClaimWorld::PlanSlots() {
  if (!store_up_ || !Chance(0.1)) {
    return;
  }
  SlotPlanner::Options options;
  options.slot_count = 8;
  SlotPlanner::Input input;
  for (const Home& it : homes_) {
    if (it.core && now_ >= it.paused_until) {
      input.homes.push_back(
          {it.core->ref(), it.name, it.leaving, it.core->absorbed_epoch()});
    } else if (!it.core && now_ - it.died_at > seconds(4)) {
      input.removed.insert(it.name);
    } else if (Chance(0.05)) {
      input.lost.insert(it.name);  // Seems unreachable to the planner.
    }
  }
  const auto next = SlotPlanner(options).Plan(map_, input);
  if (next) {
    map_ = next;
  }
}

void ClaimWorld::DistributeSlotMap() {
  if (!map_) {
    return;
  }
  for (std::size_t it = 0; it < kHomes; ++it) {
    if (homes_[it].core && Chance(0.2)) {
      OnHome(it, homes_[it].incarnation,
             [this](ClaimHome& home) { home.OnSlotMap(*map_, now_); });
    }
  }
  for (Entry& it : entries_) {
    if (it.client && Chance(0.2)) {
      it.client->OnSlotMap(kDeployment, *map_);
    }
  }
}

void ClaimWorld::InjectFaults() {
  if (Chance(faults_.store_down)) {
    store_up_ = false;
  } else if (Chance(faults_.recover)) {
    store_up_ = true;
  }
  for (std::size_t it = 0; it < kHomes; ++it) {
    Home& home = homes_[it];
    if (home.core && Chance(faults_.kill)) {
      KillHome(it);
    } else if (!home.core && Chance(faults_.restart)) {
      StartHome(it);
    } else if (Chance(faults_.pause)) {
      home.paused_until = now_ + Delay(8000);
    }
    home.leaving = home.leaving || Chance(faults_.kill);
    home.store_cut =
        home.store_cut ? !Chance(faults_.recover) : Chance(faults_.cut_store);
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      SetLink(it, entry,
              links_[it][entry] ? !Chance(faults_.cut_link)
                                : Chance(faults_.recover));
    }
  }
  for (std::size_t it = 0; it < kEntries; ++it) {
    if (entries_[it].client && Chance(faults_.kill)) {
      KillEntry(it);
    } else if (!entries_[it].client && Chance(faults_.restart)) {
      StartEntry(it);
    }
  }
}

void ClaimWorld::Step() {
  now_ += kStep;
  InjectFaults();
  PlanSlots();
  DistributeSlotMap();
  while (!events_.empty() && events_.begin()->first <= now_) {
    const auto run = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    run();
  }
  for (std::size_t it = 0; it < kHomes; ++it) {
    if (homes_[it].core && now_ >= homes_[it].paused_until) {
      homes_[it].core->Tick(now_);
      HomeActions(it);
    }
  }
  for (std::size_t it = 0; it < kEntries; ++it) {
    if (entries_[it].client) {
      entries_[it].client->Tick(now_);
      EntryActions(it);
    }
  }
}

void ClaimWorld::Run(int steps, std::size_t key_count, double load) {
  for (int it = 0; it < steps && violation_.empty(); ++it) {
    if (key_count > 0 && Chance(load)) {
      StartRequest(random_() % kEntries,
                   static_cast<int>(random_() % key_count));
    }
    Step();
  }
}

void ClaimWorld::EndFaults(int steps) {
  faults_ = Faults{};
  faults_.restart = 1;
  faults_.recover = 1;
  faults_ended_ = true;
  for (Home& it : homes_) {
    it.leaving = false;
  }
  Run(steps, 0, 0);
}

}  // namespace indigolead
