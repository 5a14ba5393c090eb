#include "entry/control_state.h"

#include <string_view>
#include <utility>

namespace indigolead {

std::string OrderKey(const std::string& target) {
  return kOrderPrefix + target;
}

void AddControlObject(const StoredObject& object, ControlState* state) {
  if (object.key == kLeaseKey) {
    const auto record = DecodeLease(object.value, object.version);
    if (IsOk(record)) {
      state->lease = LeaseView{ValueOf(record), object.version};
    } else {
      state->lease = LeaseView{std::nullopt, object.version};
      state->unreadable.push_back(ErrorOf(record));
    }
    return;
  }
  const std::string_view prefix = kOrderPrefix;
  if (!object.key.starts_with(prefix)) {
    return;
  }
  const std::string target = object.key.substr(prefix.size());
  auto order = DecodeOrder(object.value);
  if (IsOk(order) && ValueOf(order).target == target) {
    state->orders[target] =
        StoredOrder{ValueOf(std::move(order)), object.version};
  } else {
    state->orders[target] = StoredOrder{std::nullopt, object.version};
    state->unreadable.push_back(
        Error{ErrorCode::kProtocol, "order.decode", object.key,
              IsOk(order) ? "names another target" : ErrorOf(order).detail});
  }
}

LeaseView LeaseFrom(const std::optional<StoredObject>& object) {
  ControlState state;
  if (object) {
    AddControlObject(*object, &state);
  }
  return state.lease;
}

StoredOrder OrderFrom(const std::optional<StoredObject>& object) {
  ControlState state;
  if (object) {
    AddControlObject(*object, &state);
  }
  return state.orders.empty() ? StoredOrder{} : state.orders.begin()->second;
}

}  // namespace indigolead
