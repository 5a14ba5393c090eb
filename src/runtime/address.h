#ifndef INDIGOLEAD_RUNTIME_ADDRESS_H_
#define INDIGOLEAD_RUNTIME_ADDRESS_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> to be included first.
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "core/base/result.h"

namespace indigolead {

/// Parses "IP:port" or "[IPv6]:port". Host names are rejected: processes
/// address each other by IP address.
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

/// Returns `endpoint` as "IP:port".
std::string ToText(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace indigolead

#endif  // INDIGOLEAD_RUNTIME_ADDRESS_H_
