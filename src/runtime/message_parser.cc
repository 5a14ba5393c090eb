#include "runtime/message_parser.h"

#include <algorithm>
#include <limits>

#include "core/base/http_status.h"
#include "core/request/header_fields.h"

namespace indigolead {
namespace {

namespace http = boost::beast::http;

constexpr char kTransferEncoding[] = "Transfer-Encoding";
constexpr char kChunked[] = "chunked";
constexpr unsigned kHttp11 = 11;

/// Returns the number of Transfer-Encoding fields.
std::ptrdiff_t CountTransferEncodings(const std::vector<HeaderField>& headers) {
  return std::count_if(headers.begin(), headers.end(), [](const auto& it) {
    return EqualsIgnoringCase(it.name, kTransferEncoding);
  });
}

/// Returns true if no transfer coding but "chunked" is applied.
bool IsChunkedAtMost(const std::vector<HeaderField>& headers) {
  const auto n = CountTransferEncodings(headers);
  return n == 0 ||
         (n == 1 &&
          EqualsIgnoringCase(FindHeader(headers, kTransferEncoding), kChunked));
}

}  // namespace

std::uint32_t ToHeaderLimit(std::uint64_t bytes) {
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(
      bytes, std::numeric_limits<std::uint32_t>::max()));
}

bool HasFoldedLine(std::string_view lines) {
  return lines.find("\r\n ") != std::string_view::npos ||
         lines.find("\r\n\t") != std::string_view::npos;
}

boost::system::error_code CheckRequestHead(
    unsigned version, const std::vector<HeaderField>& headers) {
  const bool allows_coding =
      version >= kHttp11 || CountTransferEncodings(headers) == 0;
  if (!allows_coding || !IsChunkedAtMost(headers)) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

boost::system::error_code CheckResponseHead(
    int status, const std::vector<HeaderField>& headers) {
  if (!IsInterim(status) && !IsFinalStatus(status)) {
    return http::error::bad_status;
  }
  if (!IsChunkedAtMost(headers)) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

bool IsInterim(int status) { return IsInterimStatus(status); }

}  // namespace indigolead
