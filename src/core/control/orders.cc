#include "core/control/orders.h"

#include <nlohmann/json.hpp>

#include "core/config/enum_names.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;

Error Malformed(const std::string& detail) {
  return Error{ErrorCode::kProtocol, "order.decode", "store",
               "expected an order as JSON, saw: " + detail};
}

}  // namespace

std::string EncodeOrder(const TargetOrder& order) {
  return Json{{"target", order.target},
              {"deployment", order.deployment},
              {"fencing_number", order.fencing_number},
              {"generation", order.generation},
              {"role", EngineRoleName(order.desired.role)},
              {"model", order.desired.model},
              {"version", order.desired.version},
              {"adapters", order.desired.adapters},
              {"out_of_service", order.desired.out_of_service},
              {"revision", order.revision},
              {"tries", order.tries},
              {"cause", order.cause},
              {"nonce", ToHex(order.nonce)}}
      .dump();
}

Result<TargetOrder> DecodeOrder(std::string_view json) {
  try {
    const Json parsed = Json::parse(json);
    const auto role = EngineRoleFromName(parsed.at("role").get<std::string>());
    const auto nonce = Id128FromHex(parsed.at("nonce").get<std::string>());
    if (!role || !nonce) {
      return Malformed("an unknown role, or a nonce that is not 32 hex digits");
    }
    TargetOrder order;
    parsed.at("target").get_to(order.target);
    parsed.at("deployment").get_to(order.deployment);
    parsed.at("fencing_number").get_to(order.fencing_number);
    parsed.at("generation").get_to(order.generation);
    order.desired.role = *role;
    parsed.at("model").get_to(order.desired.model);
    parsed.at("version").get_to(order.desired.version);
    parsed.at("adapters").get_to(order.desired.adapters);
    parsed.at("out_of_service").get_to(order.desired.out_of_service);
    parsed.at("revision").get_to(order.revision);
    parsed.at("tries").get_to(order.tries);
    parsed.at("cause").get_to(order.cause);
    order.nonce = *nonce;
    return order;
  } catch (const Json::exception& e) {
    return Malformed(e.what());
  }
}

bool WrittenUnderAuthority(const StoredOrder& order,
                           const LeaseRecord& newest) {
  return order.order &&
         WasInForce(order.order->fencing_number, order.version, newest);
}

std::string_view OrderPhaseName(OrderPhase phase) {
  switch (phase) {
    case OrderPhase::kAccepted:
      return "accepted";
    case OrderPhase::kDraining:
      return "draining";
    case OrderPhase::kApplying:
      return "applying";
    case OrderPhase::kInForce:
      return "in-force";
    case OrderPhase::kRefusedStale:
      return "refused-stale";
    case OrderPhase::kFailed:
      return "failed";
  }
  return "accepted";
}

}  // namespace indigolead
