#include "runtime/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <sstream>

namespace indigolead {

Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text) {
  const Error invalid{ErrorCode::kInvalidInput, "address.parse", "",
                      "expected IP:port, got \"" + std::string(text) + "\""};
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return invalid;
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(std::string(host), ec);
  if (ec || error != std::errc() || end != digits.data() + digits.size()) {
    return invalid;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

std::string ToText(const boost::asio::ip::tcp::endpoint& endpoint) {
  std::ostringstream os;
  os << endpoint;
  return os.str();
}

}  // namespace indigolead
