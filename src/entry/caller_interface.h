#ifndef INDIGOLEAD_ENTRY_CALLER_INTERFACE_H_
#define INDIGOLEAD_ENTRY_CALLER_INTERFACE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/request/catalogue.h"
#include "core/request/request_reader.h"
#include "core/request/request_types.h"

namespace indigolead {

/// How a caller's request is handled: forwarded, refused, or answered by the
/// entry itself.
using CallerHandling = std::variant<CallerRequest, Refusal, WholeAnswer>;

/// The HTTP API offered to callers: how a request is interpreted and how a
/// refusal is rendered. Sessions only transport bytes.
struct CallerInterface {
  /// Returns a refusal if the body must not be read, judging by the head alone.
  std::function<std::optional<Refusal>(const std::vector<HeaderField>&)>
      check_head;
  /// Interprets a complete request.
  std::function<CallerHandling(IncomingRequest, const RequestId&)> handle;
  /// Returns the request id shown to the caller.
  std::function<std::string(const std::vector<HeaderField>&, const RequestId&)>
      name_request;
  /// Renders a refusal as an answer.
  std::function<WholeAnswer(const Refusal&, const std::string& request_name)>
      render_refusal;
  /// Ends an interrupted stream with an error event. Disabled where callers
  /// would take the event for one of the target's.
  bool error_events = true;
  /// Serves "/healthz", "/readyz" and "/metrics" on the callers' address.
  /// Disabled where callers may use any path.
  bool serves_own_paths = true;
};

/// Returns the default interface: API keys, OpenAI-style paths and the services
/// of `catalogue`.
CallerInterface MakeCatalogueInterface(
    std::function<std::shared_ptr<const Catalogue>()> catalogue, Clock clock);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CALLER_INTERFACE_H_
