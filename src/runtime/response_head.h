#ifndef INDIGOLEAD_RUNTIME_RESPONSE_HEAD_H_
#define INDIGOLEAD_RUNTIME_RESPONSE_HEAD_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace indigolead {

/// Checks what the parser of the library leaves to its user.
///
/// @return `http::error::bad_status` if the status is not between 100 and 599
///     (RFC 9110, section 15), or is 101, as no request asks for an upgrade.
boost::system::error_code CheckResponseHead(
    const boost::beast::http::response_header<>& head);

/// Returns true if the status is interim (1xx): the response that the head
/// belongs to has no body, and another one follows.
bool IsInterim(const boost::beast::http::response_header<>& head);

}  // namespace indigolead

#endif  // INDIGOLEAD_RUNTIME_RESPONSE_HEAD_H_
