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

/// What is done with a caller's request: it is forwarded, refused, or answered
/// by the entry itself.
using CallerHandling = std::variant<CallerRequest, Refusal, WholeAnswer>;

/// How callers speak to an entry. Sessions carry bytes; what a request means
/// and how a refusal is put is said here.
struct CallerInterface {
  /// Decides by the head alone whether a body still to come is read.
  std::function<std::optional<Refusal>(const std::vector<HeaderField>&)>
      check_head;
  /// Reads a whole request.
  std::function<CallerHandling(IncomingRequest, const RequestId&)> handle;
  /// Returns the id under which the caller knows its request.
  std::function<std::string(const std::vector<HeaderField>&, const RequestId&)>
      name_request;
  /// Puts a refusal into an answer.
  std::function<WholeAnswer(const Refusal&, const std::string& request_name)>
      render_refusal;
  /// A stream that breaks off ends with an error event. Off where callers take
  /// every event for the target's.
  bool error_events = true;
  /// The entry answers "/healthz", "/readyz" and "/metrics" on the callers'
  /// address. Off where every path may be a caller's.
  bool serves_own_paths = true;
};

/// Returns the product's own interface: API keys, OpenAI-style paths and the
/// services of `catalogue`.
CallerInterface MakeCatalogueInterface(
    std::function<std::shared_ptr<const Catalogue>()> catalogue, Clock clock);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CALLER_INTERFACE_H_
