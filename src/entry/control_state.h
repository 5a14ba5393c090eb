#ifndef INDIGOLEAD_ENTRY_CONTROL_STATE_H_
#define INDIGOLEAD_ENTRY_CONTROL_STATE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/control/lease.h"
#include "core/control/orders.h"
#include "store/object_store.h"

namespace indigolead {

/// Prefix of the lease and the orders. They share a prefix so that one watch
/// delivers both in the order of the store's versions: a reader that has seen
/// an order has also seen every lease written before it.
inline constexpr char kControlPrefix[] = "control/";
inline constexpr char kLeaseKey[] = "control/lease";
inline constexpr char kOrderPrefix[] = "control/orders/";

/// The lease and all orders as of one version of the store.
struct ControlState {
  LeaseView lease;
  std::map<std::string, StoredOrder> orders;  ///< By target.
  std::vector<Error> unreadable;  ///< Objects that could not be decoded.

  friend bool operator==(const ControlState&, const ControlState&) = default;
};

/// Returns the key of a target's order.
std::string OrderKey(const std::string& target);

/// Decodes one object into `state`. Objects of other keys are ignored.
void AddControlObject(const StoredObject& object, ControlState* state);

/// Returns the lease in `object`, without a record if it is absent or
/// unreadable.
LeaseView LeaseFrom(const std::optional<StoredObject>& object);

/// Returns the order in `object`, or an empty one if it is absent or
/// unreadable.
StoredOrder OrderFrom(const std::optional<StoredObject>& object);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CONTROL_STATE_H_
