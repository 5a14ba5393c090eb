#include "runtime/response_head.h"

#include <boost/beast/http/status.hpp>

namespace indigolead {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

bool IsValidStatus(unsigned status) {
  return status >= kMinStatus && status <= kMaxStatus &&
         status != static_cast<unsigned>(http::status::switching_protocols);
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
  return {};
}

bool IsInterim(const http::response_header<>& head) {
  return http::to_status_class(head.result_int()) ==
         http::status_class::informational;
}

}  // namespace indigolead
