#include "core/admission/entry_retry_budget.h"

#include <algorithm>
#include <cmath>

namespace indigolead {
namespace {

/// Sums of a share such as 0.1 fall short of a whole by rounding.
constexpr double kTolerance = 1e-9;

}  // namespace

EntryRetryBudget::EntryRetryBudget(const Options& options, TimePoint started_at)
    : options_(options),
      started_at_(started_at),
      requests_(options.window),
      earned_({options.share, /*burst=*/0, /*initial=*/0}) {}

void EntryRetryBudget::SetParts(double part, double initial) {
  options_.part = part;
  options_.initial = initial;
}

double EntryRetryBudget::EarnedInWindow(TimePoint now) const {
  return options_.share * static_cast<double>(requests_.Count(now));
}

double EntryRetryBudget::MostAtOnce(TimePoint now) const {
  const bool first = now - started_at_ < options_.window;
  const double part = first ? options_.initial : options_.part;
  const double saved =
      options_.saved_per_request * static_cast<double>(requests_.Count(now));
  return std::floor(part + saved + options_.rounding + kTolerance);
}

double EntryRetryBudget::FilledByRequests(TimePoint now) const {
  return std::min(EarnedInWindow(now), MostAtOnce(now));
}

void EntryRetryBudget::OnRequest(TimePoint now) {
  requests_.Add(now);
  // An entry that may have nothing at once can still earn one arrival.
  const double least = MostAtOnce(now) < 1 ? 1 : 0;
  earned_.SetBurst(std::max(FilledByRequests(now), least));
  earned_.OnFirstAttempt();
}

void EntryRetryBudget::Forget(TimePoint now) {
  while (!taken_.empty() && now - taken_.front().at >= options_.window) {
    taken_.pop_front();
  }
}

bool EntryRetryBudget::TryTake(double arrivals, TimePoint now) {
  Forget(now);
  double taken = 0;
  double of_part = 0;
  for (const Taken& it : taken_) {
    taken += it.arrivals;
    of_part += it.of_part;
  }
  const double most = MostAtOnce(now);
  const double part_left =
      std::max(most - FilledByRequests(now) - of_part, 0.0);
  // What requests have filled may become a part that time fills, when they grow
  // rare; it must not be spent as both within one window.
  const double window_left = most + EarnedInWindow(now) - taken;
  const double left = std::min(earned_.level() + part_left, window_left);
  if (left < arrivals - kTolerance) {
    return false;
  }
  const double of_earned = std::min(earned_.level(), arrivals);
  earned_.TryTake(of_earned);
  taken_.push_back({now, arrivals, arrivals - of_earned});
  return true;
}

void EntryRetryBudget::GiveBack(double arrivals) {
  while (!taken_.empty() && arrivals > 0) {
    Taken& last = taken_.back();
    const double given = std::min(last.arrivals, arrivals);
    const double of_part = std::min(last.of_part, given);
    earned_.Grant(given - of_part);
    last.arrivals -= given;
    last.of_part -= of_part;
    arrivals -= given;
    if (last.arrivals <= 0) {
      taken_.pop_back();
    }
  }
}

}  // namespace indigolead
