#include "core/membership/change_budget.h"

#include <algorithm>

namespace indigolead {
namespace {

using std::chrono::milliseconds;

constexpr Duration kAnswer = milliseconds(100);
constexpr Duration kAnswerDeadline = milliseconds(400);
constexpr Duration kDispatchDelay = milliseconds(150);
constexpr Duration kFirstRetryDelay = milliseconds(50);
constexpr Duration kWatchSlack = milliseconds(150);
/// The platform lists all live targets again within about two seconds of the
/// store's return.
constexpr Duration kAbsenceGrace = milliseconds(2000);
/// Margin in each sum for a thread that runs late.
constexpr Duration kLateThreadMargin = milliseconds(300);

/// Pause between two watch calls, in percent of `ChangeBounds::in_force`.
constexpr int kRestPercent = 30;
constexpr Duration kMaxRest = milliseconds(900);

/// Bounds on the wait of a watch call. Shorter waits cause more calls than they
/// are worth.
constexpr Duration kMinWatchWait = milliseconds(500);
constexpr Duration kMaxWatchWait = std::chrono::seconds(10);

/// Bounds on the interval between retries. Each call to the store is billed.
constexpr Duration kMinRetryInterval = milliseconds(150);
constexpr Duration kMaxRetryInterval = milliseconds(800);

/// Returns the longest wait of a watch call that the other delays in `budget`
/// leave room for.
Duration WatchWait(const ChangeBounds& bounds, const ChangeBudget& budget) {
  const Duration without_wait = budget.LostCallDelay();
  // A single unanswered call must not count as an outage that is long enough
  // for the store to drop targets.
  const Duration lost_call_limit =
      2 * bounds.heartbeat - without_wait - kLateThreadMargin;
  // A change during an unanswered call must still be known within `in_force`.
  const Duration in_force_limit =
      bounds.in_force - (without_wait - budget.rest) - budget.dispatch_delay;
  return std::clamp<Duration>(std::min(lost_call_limit, in_force_limit),
                              kMinWatchWait, kMaxWatchWait);
}

}  // namespace

ChangeBudget MakeChangeBudget(const ChangeBounds& bounds) {
  ChangeBudget budget;
  budget.answer = kAnswer;
  budget.answer_deadline = kAnswerDeadline;
  budget.dispatch_delay = kDispatchDelay;
  budget.first_retry_delay = kFirstRetryDelay;
  budget.watch_slack = kWatchSlack;
  budget.rest =
      std::min<Duration>(bounds.in_force * kRestPercent / 100, kMaxRest);
  budget.watch_wait = WatchWait(bounds, budget);
  budget.retry_interval = kMinRetryInterval;
  const Duration without_grace = budget.RecoveryDelay();
  budget.absence_grace =
      std::clamp<Duration>(bounds.recovery - without_grace - kLateThreadMargin,
                           Duration{0}, kAbsenceGrace);
  const Duration left =
      bounds.recovery - budget.RecoveryDelay() - kLateThreadMargin;
  budget.retry_interval = std::clamp<Duration>(
      budget.retry_interval + left, kMinRetryInterval, kMaxRetryInterval);
  return budget;
}

bool IsWithinBounds(const ChangeBudget& budget, const ChangeBounds& bounds) {
  return budget.NormalDelay() <= bounds.in_force &&
         budget.LostCallDelay() <= 2 * bounds.heartbeat &&
         budget.RecoveryDelay() <= bounds.recovery;
}

}  // namespace indigolead
