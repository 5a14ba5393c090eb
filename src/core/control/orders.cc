#include "core/control/orders.h"

#include <nlohmann/json.hpp>

#include "core/base/bounded_json.h"
#include "core/base/json_fields.h"
#include "core/base/json_problem.h"
#include "core/config/enum_names.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;

constexpr char kDecodeStep[] = "order.decode";

Error Malformed(const std::string& detail) {
  return Error{ErrorCode::kProtocol, kDecodeStep, "store",
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
  const auto document = ParseBoundedJson(json, kDecodeStep, "store");
  if (!IsOk(document)) {
    return Malformed(ErrorOf(document).detail);
  }
  try {
    const Json& parsed = ValueOf(document);
    const auto role = EngineRoleFromName(parsed.at("role").get<std::string>());
    const auto nonce = Id128FromHex(parsed.at("nonce").get<std::string>());
    if (!role || !nonce) {
      return Malformed("an unknown role, or a nonce that is not 32 hex digits");
    }
    TargetOrder order;
    parsed.at("target").get_to(order.target);
    parsed.at("deployment").get_to(order.deployment);
    order.fencing_number =
        IntegerAt<decltype(order.fencing_number)>(parsed, "fencing_number");
    order.generation =
        IntegerAt<decltype(order.generation)>(parsed, "generation");
    order.desired.role = *role;
    parsed.at("model").get_to(order.desired.model);
    parsed.at("version").get_to(order.desired.version);
    parsed.at("adapters").get_to(order.desired.adapters);
    parsed.at("out_of_service").get_to(order.desired.out_of_service);
    order.revision = IntegerAt<decltype(order.revision)>(parsed, "revision");
    order.tries = IntegerAt<decltype(order.tries)>(parsed, "tries");
    parsed.at("cause").get_to(order.cause);
    order.nonce = *nonce;
    return order;
  } catch (const Json::exception& e) {
    return Malformed(JsonProblem(e));
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
