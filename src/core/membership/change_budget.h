#ifndef INDIGOLEAD_CORE_MEMBERSHIP_CHANGE_BUDGET_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_CHANGE_BUDGET_H_

#include "core/base/time.h"

namespace indigolead {

/// Upper bounds, set by the operator, on how long changes in the store may take
/// to reach every entry.
struct ChangeBounds {
  /// Longest time from a change until no entry acts on the previous state.
  Duration in_force{0};
  /// Recovery time after an outage of the store or of an entry's connection to
  /// it. `in_force` applies again once it has passed.
  Duration recovery{0};
  /// Interval of a target's heartbeats. A target is dropped when its third
  /// heartbeat in a row is missing.
  Duration heartbeat{0};

  friend bool operator==(const ChangeBounds&, const ChangeBounds&) = default;
};

/// Delays that lie between a change in the store and an entry that acts on it.
///
/// A change passes several of these delays in a row. If each had an independent
/// limit, their sum could let requests reach a target seconds after it left.
/// All of them are therefore derived from the operator's bounds, and three sums
/// must hold:
///
/// - `NormalDelay() <= in_force` while the watch of the store works;
/// - `LostCallDelay() <= 2 * heartbeat` if one watch call gets no answer;
/// - `RecoveryDelay() <= recovery` after an outage or a loss of the connection.
struct ChangeBudget {
  Duration rest{0};        ///< Longest pause between two watch calls.
  Duration watch_wait{0};  ///< Time a watch call waits for changes.
  /// Time after `watch_wait` until a call without an answer counts as lost.
  Duration watch_slack{0};
  Duration first_retry_delay{0};  ///< From a lost call to the first retry.
  Duration retry_interval{0};     ///< Between the starts of two retries.
  /// Answer time of a healthy store, scheduling of a busy thread included.
  Duration answer{0};
  /// Timeout of a call that does not wait for changes.
  Duration answer_deadline{0};
  /// Time after the store's return by which all live targets are listed again;
  /// until then an unlisted target may be alive. Used as
  /// `TargetDirectory::Options::return_grace`.
  Duration absence_grace{0};
  /// From the last check of a target, made right before the first byte is
  /// sent, to the arrival of the request there.
  Duration dispatch_delay{0};

  Duration NormalDelay() const { return rest + answer + dispatch_delay; }
  Duration LostCallDelay() const {
    return rest + watch_wait + watch_slack + first_retry_delay + answer;
  }
  Duration RecoveryDelay() const {
    return retry_interval + answer + absence_grace + answer + dispatch_delay;
  }

  friend bool operator==(const ChangeBudget&, const ChangeBudget&) = default;
};

/// Divides `bounds` among the delays and keeps a margin for late threads. If
/// the bounds are too tight, `absence_grace` is shortened first; if that is not
/// enough, a sum exceeds its bound, which `IsWithinBounds` reports.
ChangeBudget MakeChangeBudget(const ChangeBounds& bounds);

/// Returns true if all three sums are within `bounds`.
bool IsWithinBounds(const ChangeBudget& budget, const ChangeBounds& bounds);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_CHANGE_BUDGET_H_
