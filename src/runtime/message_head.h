#ifndef INDIGOLEAD_RUNTIME_MESSAGE_HEAD_H_
#define INDIGOLEAD_RUNTIME_MESSAGE_HEAD_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>
#include <string_view>

namespace indigolead {

/// Returns true if a line of `lines` continues the one before it (RFC 9112,
/// section 5.2). Each line ends with CR LF.
bool HasFoldedLine(std::string_view lines);

/// Checks what the parser of the library leaves to its user.
///
/// @return `http::error::bad_transfer_encoding` for any transfer coding but a
///     single "chunked", and for any at all in HTTP/1.0: the end of the body is
///     then unknown (RFC 9112, sections 6.1 and 6.3).
boost::system::error_code CheckHead(
    const boost::beast::http::request_header<>& head);

/// Checks what the parser of the library leaves to its user.
///
/// @return `http::error::bad_status` if the status is neither final nor
///     interim; `http::error::bad_transfer_encoding` for any transfer coding
///     but a single "chunked", as no request accepts another one (RFC 9112,
///     section 7.4).
boost::system::error_code CheckHead(
    const boost::beast::http::response_header<>& head);

/// Returns true if the status is interim: the response that the head belongs to
/// has no body, and another one follows.
bool IsInterim(const boost::beast::http::response_header<>& head);

/// Parses the bytes of `buffer` up to the end of a message's head, and removes
/// them.
///
/// Folded lines are rejected. The parser joins them, so that a header such as
/// Content-Length would become part of another one.
///
/// @param parser A parser of the library whose head is not complete yet.
/// @return Success once the head is complete and valid,
///     `http::error::need_more` if it is not complete, otherwise its fault.
template <typename Parser>
boost::system::error_code ParseHead(Parser* parser,
                                    boost::beast::flat_buffer* buffer) {
  namespace http = boost::beast::http;
  boost::system::error_code ec;
  // Stops after the head, and consumes whole lines only.
  parser->eager(false);
  const auto n = parser->put(buffer->cdata(), ec);
  const bool folded =
      HasFoldedLine({static_cast<const char*>(buffer->cdata().data()), n});
  buffer->consume(n);
  if (folded) {
    return http::error::bad_field;
  }
  if (ec == http::error::need_more && buffer->size() == buffer->max_size()) {
    return http::error::buffer_overflow;
  }
  return ec ? ec : CheckHead(parser->get());
}

}  // namespace indigolead

#endif  // INDIGOLEAD_RUNTIME_MESSAGE_HEAD_H_
