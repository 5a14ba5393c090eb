#ifndef INDIGOLEAD_CORE_REQUEST_REQUEST_READER_H_
#define INDIGOLEAD_CORE_REQUEST_REQUEST_READER_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/request/catalogue.h"
#include "core/request/request_types.h"

namespace indigolead {

/// A parsed HTTP request whose client account is not known yet.
struct IncomingRequest {
  std::string method;
  std::string target;  ///< Path including the query.
  std::vector<HeaderField> headers;
  std::string body;

  friend bool operator==(const IncomingRequest&,
                         const IncomingRequest&) = default;
};

/// Returns the API key that the caller presents as `Authorization: Bearer KEY`
/// or `X-Api-Key: KEY`; empty if none. Valid as long as `headers`.
std::string_view FindApiKey(const std::vector<HeaderField>& headers);

/// Returns true for the completion paths of the OpenAI-style API.
bool IsCompletionPath(std::string_view target);

/// Returns the request to forward, or the refusal to send. `grants` are those
/// of the caller's key and must not be empty.
std::variant<CallerRequest, Refusal> ReadRequest(
    IncomingRequest incoming, const Catalogue& catalogue,
    const std::vector<AccountGrant>& grants, RequestId id, TimePoint now);
}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_REQUEST_READER_H_
