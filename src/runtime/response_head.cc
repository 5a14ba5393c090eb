#include "runtime/response_head.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <iterator>

namespace indigolead {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr char kChunked[] = "chunked";

bool IsValidStatus(unsigned status) {
  return status >= kMinStatus && status <= kMaxStatus &&
         status != static_cast<unsigned>(http::status::switching_protocols);
}

/// Returns true if no transfer coding but "chunked" is applied.
bool IsChunkedAtMost(const http::response_header<>& head) {
  const auto [begin, end] = head.equal_range(http::field::transfer_encoding);
  return begin == end || (std::next(begin) == end &&
                          boost::beast::iequals(begin->value(), kChunked));
}

}  // namespace

bool HasFoldedLine(std::string_view lines) {
  return lines.find("\r\n ") != std::string_view::npos ||
         lines.find("\r\n\t") != std::string_view::npos;
}

boost::system::error_code CheckResponseHead(
    const http::response_header<>& head) {
  if (!IsValidStatus(head.result_int())) {
    return http::error::bad_status;
  }
  if (!IsChunkedAtMost(head)) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

bool IsInterim(const http::response_header<>& head) {
  return http::to_status_class(head.result_int()) ==
         http::status_class::informational;
}

}  // namespace indigolead
