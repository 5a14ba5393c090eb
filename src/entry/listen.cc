#include "entry/listen.h"

#include "runtime/address.h"

namespace indigolead {
namespace {

namespace asio = boost::asio;

bool MayPass(const boost::system::error_code& ec) {
  return ec == boost::system::errc::address_in_use ||
         ec == boost::system::errc::address_not_available;
}

}  // namespace

Status Listen(const std::string& address, const std::string& step,
              asio::ip::tcp::acceptor* acceptor) {
  const auto endpoint = ParseEndpoint(address);
  if (!IsOk(endpoint)) {
    return ErrorOf(endpoint);
  }
  boost::system::error_code ec;
  acceptor->open(ValueOf(endpoint).protocol(), ec);
  if (!ec) {
    acceptor->set_option(asio::socket_base::reuse_address(true), ec);
    acceptor->bind(ValueOf(endpoint), ec);
  }
  if (!ec) {
    acceptor->listen(asio::socket_base::max_listen_connections, ec);
  }
  if (!ec) {
    return Unit{};
  }
  boost::system::error_code ignored;
  acceptor->close(ignored);
  return Error{MayPass(ec) ? ErrorCode::kUnavailable : ErrorCode::kInvalidInput,
               step, address, ec.message()};
}

}  // namespace indigolead
