#ifndef INDIGOLEAD_RUNTIME_REQUEST_PARSER_H_
#define INDIGOLEAD_RUNTIME_REQUEST_PARSER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/request/request_types.h"
#include "runtime/message_parser.h"
#include "runtime/text_body.h"

namespace indigolead {

/// Head of a request. The end of its body, and so the start of the next request
/// on the connection, is known.
struct RequestHead {
  std::string method;
  std::string target;     ///< Path including the query.
  unsigned version = 11;  ///< 10 or 11.
  bool keep_alive = true;
  std::vector<HeaderField> headers;

  friend bool operator==(const RequestHead&, const RequestHead&) = default;
};

/// Parses one request of HTTP/1.x. Every reader of requests uses it, so that
/// all of them reject the same ones.
class RequestParser {
 public:
  struct Limits {
    std::uint64_t header_bytes = 64U << 10;
    std::uint64_t body_bytes = 0;
  };
  explicit RequestParser(const Limits& limits);

  /// Parses the bytes of `buffer` and removes those that belong to the request.
  /// Must not be called after an error or once the request is complete.
  ///
  /// @return Success once the request is complete, `http::error::need_more` if
  ///     it is not, `http::error::header_limit` or
  ///     `http::error::buffer_overflow` if its head is too large,
  ///     `http::error::body_limit` if its body is, otherwise its fault.
  boost::system::error_code Parse(boost::beast::flat_buffer* buffer);

  /// Returns the head once it is complete and valid, otherwise null.
  const RequestHead* head() const { return head_ ? &*head_ : nullptr; }
  bool is_done() const { return head_ && parser_.is_done(); }

  /// Moves the head or the body out of a complete request.
  RequestHead TakeHead() { return std::move(*head_); }
  std::string TakeBody() { return std::move(parser_.body()); }

 private:
  boost::system::error_code ParseBody(boost::beast::flat_buffer* buffer);
  void ReadHead();

  MessageParser<true, TextBody> parser_;
  std::optional<RequestHead> head_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_RUNTIME_REQUEST_PARSER_H_
