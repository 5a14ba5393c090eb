#ifndef INDIGOLEAD_RUNTIME_ADDRESS_H_
#define INDIGOLEAD_RUNTIME_ADDRESS_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "core/base/result.h"

namespace indigolead {

/// Returns the endpoint written as "IP:port" or "[IPv6]:port". Names are
/// refused: processes know each other by number.
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

/// Returns `endpoint` as "IP:port".
std::string ToText(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace indigolead

#endif  // INDIGOLEAD_RUNTIME_ADDRESS_H_
