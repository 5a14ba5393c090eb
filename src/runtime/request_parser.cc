#include "runtime/request_parser.h"

#include <boost/beast/http/error.hpp>

namespace indigolead {
namespace {

namespace http = boost::beast::http;

}  // namespace

RequestParser::RequestParser(const Limits& limits) {
  parser_.header_limit(ToHeaderLimit(limits.header_bytes));
  parser_.body_limit(limits.body_bytes);
}

boost::system::error_code RequestParser::Parse(
    boost::beast::flat_buffer* buffer) {
  if (!head_) {
    if (const auto ec = parser_.ParseHead(buffer)) {
      return ec;
    }
    ReadHead();
  }
  return ParseBody(buffer);
}

boost::system::error_code RequestParser::ParseBody(
    boost::beast::flat_buffer* buffer) {
  boost::system::error_code ec;
  parser_.eager(true);
  while (!parser_.is_done()) {
    const auto n = parser_.put(buffer->cdata(), ec);
    buffer->consume(n);
    if (ec) {
      break;
    }
    if (buffer->size() == 0) {
      return parser_.is_done() ? boost::system::error_code()
                               : http::error::need_more;
    }
  }
  if (ec == http::error::need_more && buffer->size() == buffer->max_size()) {
    return http::error::buffer_overflow;
  }
  return ec;
}

void RequestParser::ReadHead() {
  const auto& message = parser_.message();
  head_.emplace();
  head_->method = message.method_string().to_string();
  head_->target = message.target().to_string();
  head_->version = message.version();
  head_->keep_alive = parser_.keep_alive();
  head_->headers = std::move(parser_.headers());
}

}  // namespace indigolead
