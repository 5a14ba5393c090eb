#ifndef INDIGOLEAD_CORE_CONTROL_ORDERS_H_
#define INDIGOLEAD_CORE_CONTROL_ORDERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/ids.h"
#include "core/base/result.h"
#include "core/config/deployment.h"
#include "core/control/lease.h"

namespace indigolead {

/// State that an engine is ordered to have.
struct DesiredState {
  EngineRole role = EngineRole::kMixed;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  /// The target takes no work, because a change failed on it repeatedly.
  bool out_of_service = false;

  friend bool operator==(const DesiredState&, const DesiredState&) = default;
};

/// Value of `control/orders/INSTANCE`: the single order in force for a target.
///
/// An order is desired state, so repeating it does no harm. `generation` grows
/// with each different order for the target; `fencing_number` is that of the
/// lease under which the order was written.
struct TargetOrder {
  std::string target;
  std::string deployment;
  FencingNumber fencing_number = 0;
  std::uint64_t generation = 0;
  DesiredState desired;
  std::uint64_t revision = 0;  ///< Deployment revision that caused the order.
  std::uint32_t tries = 0;     ///< Failed orders for this desired state.
  std::string cause;
  Id128 nonce;  ///< Unique per write; identifies one whose answer was lost.

  friend bool operator==(const TargetOrder&, const TargetOrder&) = default;
};

/// Returns `order` as JSON.
std::string EncodeOrder(const TargetOrder& order);

/// Decodes an order from JSON.
Result<TargetOrder> DecodeOrder(std::string_view json);

/// Order with the store version at which it was read.
struct StoredOrder {
  std::optional<TargetOrder> order;
  std::uint64_t version = 0;

  friend bool operator==(const StoredOrder&, const StoredOrder&) = default;
};

/// Returns true if `order` was written while its fencing number was valid. Any
/// other order must not reach a target. `newest` is the newest lease known.
bool WrittenUnderAuthority(const StoredOrder& order, const LeaseRecord& newest);

/// Progress of a side with an order.
enum class OrderPhase {
  kAccepted,
  kDraining,
  kApplying,
  kInForce,
  kRefusedStale,
  kFailed,
};

/// Returns the lower-case name of `phase`.
std::string_view OrderPhaseName(OrderPhase phase);

/// A side's report on an order.
struct OrderReport {
  std::string target;
  FencingNumber fencing_number = 0;
  std::uint64_t generation = 0;
  OrderPhase phase = OrderPhase::kAccepted;
  std::string detail;

  friend bool operator==(const OrderReport&, const OrderReport&) = default;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_ORDERS_H_
