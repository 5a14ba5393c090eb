#include "tests/support/reserved_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "runtime/address.h"

namespace indigolead::testing {
namespace {

using boost::asio::ip::tcp;

/// Guards against a test process that cannot bind its reserved address because
/// another socket of the same test has been given that port.
TEST_CASE("A reserved address is not assigned to another socket") {
  constexpr int kAddresses = 300;
  constexpr int kOthers = 3000;
  std::set<std::string> reserved;
  for (int n = 0; n < kAddresses; ++n) {
    reserved.insert(ReserveAddress());
  }
  REQUIRE(reserved.size() == kAddresses);

  boost::asio::io_context io;
  std::vector<tcp::acceptor> others;
  for (int n = 0; n < kOthers; ++n) {
    others.emplace_back(io, ValueOf(ParseEndpoint("127.0.0.1:0")));
    CHECK(reserved.count(ToText(others.back().local_endpoint())) == 0);
  }
  for (const std::string& it : reserved) {
    // Throws if the address is in use.
    const tcp::acceptor owner(io, ValueOf(ParseEndpoint(it)));
    CHECK(ToText(owner.local_endpoint()) == it);
  }
}

}  // namespace
}  // namespace indigolead::testing
