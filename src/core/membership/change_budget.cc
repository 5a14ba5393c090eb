#include "core/membership/change_budget.h"

#include <algorithm>

namespace indigolead {
namespace {

using std::chrono::milliseconds;

constexpr Duration kAnswer = milliseconds(100);
constexpr Duration kAnswerDeadline = milliseconds(400);
constexpr Duration kUse = milliseconds(150);
constexpr Duration kFirstTry = milliseconds(50);
constexpr Duration kWatchSlack = milliseconds(150);
/// The platform lists all live targets again within about two seconds of the
/// store's return.
constexpr Duration kAbsenceGrace = milliseconds(2000);
/// Margin in each sum for a thread that runs late.
constexpr Duration kLateThread = milliseconds(300);

/// Pause between two watch calls, in percent of `ChangeBounds::in_force`.
constexpr int kRestHundredths = 30;
constexpr Duration kLongestRest = milliseconds(900);

/// Bounds on the wait of a watch call. Shorter waits cause more calls than they
/// are worth.
constexpr Duration kLeastWatchWait = milliseconds(500);
constexpr Duration kLongestWatchWait = std::chrono::seconds(10);

/// Bounds on the interval between retries. Each call to the store is billed.
constexpr Duration kLeastTryGap = milliseconds(150);
constexpr Duration kLongestTryGap = milliseconds(800);

/// Returns the longest wait of a watch call that the other delays in `budget`
/// leave room for.
Duration WatchWait(const ChangeBounds& bounds, const ChangeBudget& budget) {
  const Duration without_wait = budget.WhenLost();
  // A single unanswered call must not count as an outage that is long enough
  // for the store to drop targets.
  const Duration lost = 2 * bounds.heartbeat - without_wait - kLateThread;
  // A change during an unanswered call must still be known within `in_force`.
  const Duration unseen =
      bounds.in_force - (without_wait - budget.rest) - budget.use;
  return std::clamp<Duration>(std::min(lost, unseen), kLeastWatchWait,
                              kLongestWatchWait);
}

}  // namespace

ChangeBudget MakeChangeBudget(const ChangeBounds& bounds) {
  ChangeBudget budget;
  budget.answer = kAnswer;
  budget.answer_deadline = kAnswerDeadline;
  budget.use = kUse;
  budget.first_try = kFirstTry;
  budget.watch_slack = kWatchSlack;
  budget.rest =
      std::min<Duration>(bounds.in_force * kRestHundredths / 100, kLongestRest);
  budget.watch_wait = WatchWait(bounds, budget);
  budget.try_gap = kLeastTryGap;
  const Duration without_grace = budget.AfterReturn();
  budget.absence_grace = std::clamp<Duration>(
      bounds.contact - without_grace - kLateThread, Duration{0}, kAbsenceGrace);
  const Duration left = bounds.contact - budget.AfterReturn() - kLateThread;
  budget.try_gap =
      std::clamp<Duration>(budget.try_gap + left, kLeastTryGap, kLongestTryGap);
  return budget;
}

bool Holds(const ChangeBudget& budget, const ChangeBounds& bounds) {
  return budget.WhenCalm() <= bounds.in_force &&
         budget.WhenLost() <= 2 * bounds.heartbeat &&
         budget.AfterReturn() <= bounds.contact;
}

}  // namespace indigolead
