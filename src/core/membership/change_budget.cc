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
/// The platform lists live targets again within about two seconds of the
/// store's return.
constexpr Duration kAbsenceGrace = milliseconds(2000);
/// By which a busy thread may pass a sum.
constexpr Duration kLateThread = milliseconds(300);

/// Of the time in which a change is in force, the hundredths that a watch may
/// rest.
constexpr int kRestHundredths = 30;
constexpr Duration kLongestRest = milliseconds(900);

/// Bounds on the wait of a watch's call: shorter ones cost more than they tell.
constexpr Duration kLeastWatchWait = milliseconds(500);
constexpr Duration kLongestWatchWait = std::chrono::seconds(10);

/// Bounds on the gap between two tries. The store is paid for each.
constexpr Duration kLeastTryGap = milliseconds(150);
constexpr Duration kLongestTryGap = milliseconds(800);

/// Returns the longest wait of a watch's call beside the other waits, which
/// `budget` has.
Duration WatchWait(const ChangeBounds& bounds, const ChangeBudget& budget) {
  const Duration without_wait = budget.WhenLost();
  // One call that is lost must not look like an outage that drops targets.
  const Duration lost = 2 * bounds.heartbeat - without_wait - kLateThread;
  // A change that comes while a call waits is known in time if it is lost.
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
