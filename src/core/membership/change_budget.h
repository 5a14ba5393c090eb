#ifndef INDIGOLEAD_CORE_MEMBERSHIP_CHANGE_BUDGET_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_CHANGE_BUDGET_H_

#include "core/base/time.h"

namespace indigolead {

/// What the operator promises of changes in the store.
struct ChangeBounds {
  /// From a change to its last use by an entry that does not know of it.
  Duration in_force{0};
  /// An entry is held to `in_force` again this long after its way to the store
  /// was disturbed, or the store itself was.
  Duration contact{0};
  /// Between two heartbeats of a target; the third that is missed drops it.
  Duration heartbeat{0};

  friend bool operator==(const ChangeBounds&, const ChangeBounds&) = default;
};

/// Every wait between a change in the store and an entry that acts on it.
///
/// The failure: each wait has a limit of its own, sound by itself, and a change
/// passes several in a row. The symptom: requests reach targets seconds after
/// these have left. So all of them are parts of the operator's bounds, and the
/// three sums below are what must hold:
///
///     WhenCalm()   <= in_force      a change while the store is followed
///     WhenLost()   <= 2 heartbeats  one call that is not answered
///     AfterReturn() <= contact      the store was away, or the way to it
struct ChangeBudget {
  Duration rest{0};         ///< Longest rest between two calls of a watch.
  Duration watch_wait{0};   ///< For which such a call waits for changes.
  Duration watch_slack{0};  ///< Beyond it, until the call is taken for lost.
  Duration first_try{0};    ///< From a lost call to the first try to go on.
  Duration try_gap{0};      ///< From the start of one try to the next.
  Duration answer{0};  ///< Of a well store, with the turn of a busy thread.
  /// In which a call that does not wait must be answered.
  Duration answer_deadline{0};
  /// From the store's return, for which a target off the list may be alive.
  Duration absence_grace{0};
  /// From the last look at a target, right before the first byte, to the
  /// request there.
  Duration use{0};

  Duration WhenCalm() const { return rest + answer + use; }
  Duration WhenLost() const {
    return rest + watch_wait + watch_slack + first_try + answer;
  }
  Duration AfterReturn() const {
    return try_gap + answer + absence_grace + answer + use;
  }

  friend bool operator==(const ChangeBudget&, const ChangeBudget&) = default;
};

/// Returns how `bounds` are divided among the waits, with time left for a
/// thread that is late. Where the bounds are too tight for that, live targets
/// are not waited for as long, and at last a sum passes its bound; see `Holds`.
ChangeBudget MakeChangeBudget(const ChangeBounds& bounds);

/// Returns true if all three sums keep to `bounds`.
bool Holds(const ChangeBudget& budget, const ChangeBounds& bounds);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_CHANGE_BUDGET_H_
