#include "runtime/message_head.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <iterator>

#include "core/base/http_status.h"

namespace indigolead {
namespace {

namespace http = boost::beast::http;

constexpr char kChunked[] = "chunked";
constexpr unsigned kHttp11 = 11;

int StatusOf(const http::response_header<>& head) {
  return static_cast<int>(head.result_int());
}

bool HasTransferCoding(const http::fields& fields) {
  return fields.find(http::field::transfer_encoding) != fields.end();
}

/// Returns true if no transfer coding but "chunked" is applied.
bool IsChunkedAtMost(const http::fields& fields) {
  const auto [begin, end] = fields.equal_range(http::field::transfer_encoding);
  return begin == end || (std::next(begin) == end &&
                          boost::beast::iequals(begin->value(), kChunked));
}

}  // namespace

bool HasFoldedLine(std::string_view lines) {
  return lines.find("\r\n ") != std::string_view::npos ||
         lines.find("\r\n\t") != std::string_view::npos;
}

boost::system::error_code CheckHead(const http::request_header<>& head) {
  const bool allows_coding = head.version() >= kHttp11;
  if (!IsChunkedAtMost(head) || (!allows_coding && HasTransferCoding(head))) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

boost::system::error_code CheckHead(const http::response_header<>& head) {
  if (!IsInterim(head) && !IsFinalStatus(StatusOf(head))) {
    return http::error::bad_status;
  }
  if (!IsChunkedAtMost(head)) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

bool IsInterim(const http::response_header<>& head) {
  return IsInterimStatus(StatusOf(head));
}

}  // namespace indigolead
