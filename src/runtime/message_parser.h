#ifndef INDIGOLEAD_RUNTIME_MESSAGE_PARSER_H_
#define INDIGOLEAD_RUNTIME_MESSAGE_PARSER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/request/request_types.h"

namespace indigolead {

/// Returns `bytes` as a limit for a parser of the library, or the largest one
/// that it supports.
std::uint32_t ToHeaderLimit(std::uint64_t bytes);

/// Returns true if a line of `lines` continues the one before it (RFC 9112,
/// section 5.2). Each line ends with CR LF.
bool HasFoldedLine(std::string_view lines);

/// Checks what the parser of the library leaves to its user.
///
/// @param version 10 or 11.
/// @return `http::error::bad_transfer_encoding` for any transfer coding but a
///     single "chunked", or for any at all in HTTP/1.0: the end of the body is
///     then unknown (RFC 9112, sections 6.1 and 6.3).
boost::system::error_code CheckRequestHead(
    unsigned version, const std::vector<HeaderField>& headers);

/// Checks what the parser of the library leaves to its user.
///
/// @return `http::error::bad_status` if the status is neither final nor
///     interim; `http::error::bad_transfer_encoding` for any transfer coding
///     but a single "chunked", as no request accepts another one (RFC 9112,
///     section 7.4).
boost::system::error_code CheckResponseHead(
    int status, const std::vector<HeaderField>& headers);

/// Returns true if the status is interim: the response that it belongs to has
/// no body, and another one follows.
bool IsInterim(int status);

/// Parser of the library with a container of its own for header fields. The
/// library's container throws on a name or value of more than 65,533 bytes.
///
/// Trailer fields are dropped: they do not belong in the head (RFC 9110,
/// section 6.5.1).
///
/// @tparam kIsRequest Whether it parses requests or responses.
/// @tparam Body Body type of the library.
template <bool kIsRequest, typename Body>
class MessageParser : public boost::beast::http::parser<kIsRequest, Body> {
  using Base = boost::beast::http::parser<kIsRequest, Body>;

 public:
  /// Parses the bytes of `buffer` up to the end of the head, and removes them.
  ///
  /// Folded lines are rejected. The library joins them, so that a header such
  /// as Content-Length would become part of another one.
  ///
  /// @return Success once the head is complete and valid,
  ///     `http::error::need_more` if it is not complete, otherwise its fault.
  boost::system::error_code ParseHead(boost::beast::flat_buffer* buffer) {
    namespace http = boost::beast::http;
    boost::system::error_code ec;
    // Stops after the head, and consumes whole lines only.
    this->eager(false);
    const auto n = this->put(buffer->cdata(), ec);
    const bool folded =
        HasFoldedLine({static_cast<const char*>(buffer->cdata().data()), n});
    buffer->consume(n);
    if (folded) {
      return http::error::bad_field;
    }
    if (ec == http::error::need_more && buffer->size() == buffer->max_size()) {
      return http::error::buffer_overflow;
    }
    if (ec) {
      return ec;
    }
    if constexpr (kIsRequest) {
      return CheckRequestHead(message().version(), headers_);
    } else {
      return CheckResponseHead(status(), headers_);
    }
  }

  /// Returns the status of a response.
  int status() const { return static_cast<int>(message().result_int()); }
  std::vector<HeaderField>& headers() { return headers_; }
  const std::vector<HeaderField>& headers() const { return headers_; }
  typename Body::value_type& body() { return Base::get().body(); }
  /// Returns the message without its header fields.
  const typename Base::value_type& message() const { return Base::get(); }

 private:
  // Hidden, since the message that they return has no header fields.
  using Base::get;
  using Base::release;

  void on_field_impl(boost::beast::http::field /*name*/,
                     boost::beast::string_view name_string,
                     boost::beast::string_view value,
                     boost::system::error_code& /*ec*/) override {
    if (!this->is_header_done()) {
      headers_.push_back({name_string.to_string(), value.to_string()});
    }
  }

  std::vector<HeaderField> headers_;
};

template <typename Body>
using ResponseParser = MessageParser<false, Body>;

}  // namespace indigolead

#endif  // INDIGOLEAD_RUNTIME_MESSAGE_PARSER_H_
