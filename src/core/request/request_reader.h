#ifndef INDIGOLEAD_CORE_REQUEST_REQUEST_READER_H_
#define INDIGOLEAD_CORE_REQUEST_REQUEST_READER_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/request/catalogue.h"
#include "core/request/request_types.h"

namespace indigolead {

/// A caller's HTTP request as parsed, before it is known whose it is.
struct IncomingRequest {
  std::string method;
  std::string target;  ///< Path with query.
  std::vector<HeaderField> headers;
  std::string body;

  friend bool operator==(const IncomingRequest&,
                         const IncomingRequest&) = default;
};

/// Returns the API key that the caller presents as `Authorization: Bearer KEY`
/// or `X-Api-Key: KEY`; empty if none. Valid as long as `headers`.
std::string_view FindApiKey(const std::vector<HeaderField>& headers);

/// Returns true for the paths of the OpenAI-style interface.
bool IsCompletionPath(std::string_view target);

/// Makes the request to forward, or the refusal to send. `grants` is what the
/// caller's key may use and must not be empty.
std::variant<CallerRequest, Refusal> ReadRequest(
    IncomingRequest incoming, const Catalogue& catalogue,
    const std::vector<AccountGrant>& grants, RequestId id, TimePoint now);
}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_REQUEST_READER_H_
