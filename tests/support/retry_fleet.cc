#include "tests/support/retry_fleet.h"

#include <utility>

#include "core/admission/entry_retry_budget.h"
#include "core/admission/retry_allowance.h"
#include "entry/roster_keeper.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{20};
constexpr milliseconds kTick{200};
/// Time for which a stopping process still accepts requests.
constexpr milliseconds kStopTime{2600};

/// Parts of the operator's ratio that requests earn and may accumulate, as in
/// the entries' options.
constexpr double kEarnedShare = 0.7;
constexpr double kSavedShare = 0.15;

}  // namespace

/// Retry budget of one entry process.
class RetryFleet::Process {
 public:
  Process(RetryFleet* fleet, const std::string& name)
      : fleet_(fleet),
        allowance_(AllowanceOf(fleet->options_)),
        budget_(BudgetOptions(fleet->options_)),
        store_(&fleet->io_, &fleet->platform_, std::chrono::seconds(3)),
        keeper_(
            &store_, KeeperOptions(name, ++fleet->incarnations_), Hooks(),
            [fleet] { return fleet->now_; }, MakeNullEventLog()) {}

  /// Returns the budget, updated with the entry's current share.
  EntryRetryBudget& budget() {
    budget_.SetPart(allowance_.PartOf(view_, fleet_->now_), fleet_->now_);
    return budget_;
  }
  RosterKeeper& keeper() { return keeper_; }

 private:
  static RetryAllowance AllowanceOf(const Options& options) {
    RetryAllowance allowance;
    allowance.arrivals = options.rule.slack;
    return allowance;
  }

  EntryRetryBudget::Options BudgetOptions(const Options& options) const {
    EntryRetryBudget::Options budget;
    budget.share = kEarnedShare * options.rule.ratio;
    budget.saved_per_request = kSavedShare * options.rule.ratio;
    budget.window = options.rule.window;
    budget.part = {};
    budget.min_saved = options.arrivals_of_attempt;
    return budget;
  }

  static RosterKeeper::Options KeeperOptions(const std::string& name,
                                             std::uint64_t incarnation) {
    RosterKeeper::Options options;
    options.roster.own_name = name;
    options.prefix = "entries/";
    options.incarnation = std::to_string(incarnation);
    return options;
  }

  RosterKeeper::Hooks Hooks() {
    RosterKeeper::Hooks hooks;
    hooks.on_count = [](std::size_t) {};
    hooks.on_view = [this](const EntryView& it) { view_ = it; };
    hooks.jitter = [this] { return ToUnitInterval(fleet_->random_()); };
    return hooks;
  }

  RetryFleet* fleet_;
  RetryAllowance allowance_;
  EntryRetryBudget budget_;
  EntryView view_;
  FakeObjectStore store_;
  RosterKeeper keeper_;
};

RetryFleet::RetryFleet(const Options& options)
    : options_(options), random_(MakeSeededRandom(options.seed)) {
  for (std::size_t n = 0; n < options.entries; ++n) {
    Add();
  }
}

RetryFleet::~RetryFleet() = default;

void RetryFleet::Add() {
  slots_.emplace_back();
  slots_.back().name = "entry-" + std::to_string(slots_.size());
  Start(slots_.size() - 1);
}

void RetryFleet::Start(std::size_t entry) {
  Slot& slot = slots_.at(entry);
  slot.process = std::make_unique<Process>(this, slot.name);
  slot.ends_at = TimePoint::max();
  slot.frozen = false;
}

void RetryFleet::Kill(std::size_t entry) { slots_.at(entry).process.reset(); }

void RetryFleet::KillAll() {
  for (Slot& it : slots_) {
    it.process.reset();
  }
}

void RetryFleet::StartAll() {
  for (std::size_t n = 0; n < slots_.size(); ++n) {
    Start(n);
  }
}

void RetryFleet::Stop(std::size_t entry) {
  Slot& slot = slots_.at(entry);
  if (slot.process) {
    slot.process->keeper().Stop();
    slot.ends_at = now_ + kStopTime;
  }
}

void RetryFleet::SetFrozen(std::size_t entry, bool frozen) {
  slots_.at(entry).frozen = frozen;
}

void RetryFleet::SetDisconnected(std::size_t entry, bool is_disconnected) {
  slots_.at(entry).is_disconnected = is_disconnected;
}

bool RetryFleet::IsRunning(std::size_t entry) const {
  return slots_.at(entry).process != nullptr;
}

void RetryFleet::Run(Duration length) {
  const TimePoint end = now_ + length;
  while (now_ < end) {
    now_ += kStep;
    Step();
  }
}

void RetryFleet::Step() {
  const bool tick = now_ >= next_tick_;
  if (tick) {
    next_tick_ = now_ + kTick;
  }
  for (Slot& it : slots_) {
    if (now_ >= it.ends_at) {
      it.process.reset();
      it.ends_at = TimePoint::max();
    }
    // Without a connection an entry makes no call; its list and registration
    // only age.
    if (tick && it.process && !it.frozen && !it.is_disconnected) {
      it.process->keeper().Tick();
    }
  }
  io_.restart();
  io_.poll();
  due_ += options_.requests_per_second *
          std::chrono::duration<double>(kStep).count();
  for (; due_ >= 1; due_ -= 1) {
    Ask();
  }
}

void RetryFleet::Ask() {
  requests_.push_back(now_);
  const int retries_per_failure = failing_ ? options_.retries_per_failure : 0;
  wanted_retries_ += retries_per_failure;
  Slot& slot = slots_[random_() % slots_.size()];
  if (!slot.process || slot.frozen) {
    return;
  }
  EntryRetryBudget& budget = slot.process->budget();
  budget.OnRequest(now_);
  for (int it = 0; it < retries_per_failure; ++it) {
    if (!budget.TryTake(options_.arrivals_of_attempt, now_)) {
      break;
    }
    retry_arrivals_.insert(
        retry_arrivals_.end(),
        static_cast<std::size_t>(options_.arrivals_of_attempt), now_);
  }
}

RetryWindow RetryFleet::Worst() const {
  return WorstRetryWindow(options_.rule, requests_, retry_arrivals_);
}

}  // namespace indigolead::testing
