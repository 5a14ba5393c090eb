#include "entry/caller_interface.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "entry/http_answer.h"

namespace indigolead {
namespace {

WholeAnswer AnswerModels(const Catalogue& catalogue,
                         const std::vector<AccountGrant>& grants) {
  nlohmann::json list = nlohmann::json::array();
  for (const std::string& name : catalogue.ModelsFor(grants)) {
    list.push_back(
        {{"id", name}, {"object", "model"}, {"owned_by", "indigolead"}});
  }
  const nlohmann::json body = {{"object", "list"}, {"data", list}};
  return {200, {{"Content-Type", "application/json"}}, body.dump()};
}

CallerHandling HandleByCatalogue(IncomingRequest incoming,
                                 const Catalogue& catalogue,
                                 const RequestId& id, TimePoint now) {
  const std::string_view target = incoming.target;
  const std::string_view path = target.substr(0, target.find('?'));
  const auto grants =
      catalogue.FindGrants(HashKey(FindApiKey(incoming.headers)));
  if (grants.empty()) {
    return UnknownKeyRefusal();
  }
  if (path == "/v1/models") {
    return AnswerModels(catalogue, grants);
  }
  auto read = ReadRequest(std::move(incoming), catalogue, grants, id, now);
  if (auto* refusal = std::get_if<Refusal>(&read)) {
    return std::move(*refusal);
  }
  return std::get<CallerRequest>(std::move(read));
}

}  // namespace

CallerInterface MakeCatalogueInterface(
    std::function<std::shared_ptr<const Catalogue>()> catalogue, Clock clock) {
  CallerInterface interface;
  interface.check_head =
      [catalogue](
          const std::vector<HeaderField>& headers) -> std::optional<Refusal> {
    // The body is read only for a known key, so that unauthenticated callers
    // cannot fill the memory.
    if (catalogue()->FindGrants(HashKey(FindApiKey(headers))).empty()) {
      return UnknownKeyRefusal();
    }
    return std::nullopt;
  };
  interface.handle = [catalogue, clock = std::move(clock)](
                         IncomingRequest incoming, const RequestId& id) {
    return HandleByCatalogue(std::move(incoming), *catalogue(), id, clock());
  };
  interface.name_request = [](const std::vector<HeaderField>&,
                              const RequestId& id) { return ToHex(id.value); };
  interface.render_refusal = [](const Refusal& refusal,
                                const std::string& request_name) {
    return WholeAnswer{refusal.status, RefusalHeaders(refusal),
                       ErrorJson(refusal, request_name) + "\n"};
  };
  return interface;
}

}  // namespace indigolead
