#include <catch2/catch.hpp>
#include <thread>

#include "standins/relay_server.h"
#include "standins/service_server.h"
#include "tests/support/http_call.h"
#include "tests/support/process.h"

namespace indigolead {
namespace {

using standins::RelayServer;
using standins::ServiceServer;
using std::chrono::milliseconds;
using testing::HttpCall;
using testing::WaitUntil;

TEST_CASE("The relay forwards connections until a fault is set") {
  ServiceServer service;
  RelayServer relay(0, service.address());
  const auto status = [&](milliseconds at_most = milliseconds(20000)) {
    return HttpCall(relay.address(), "GET", "/menu", "", {}, at_most).status;
  };
  CHECK(status() == 200);

  SECTION("open connections stay silent, new ones work") {
    // The path loses the state of the connection after the request has reached
    // the service. The answer never arrives and the connection stays open, so
    // only the caller's own deadline ends the wait.
    service.SetHold(true);
    int stuck = -1;
    std::thread caller([&] { stuck = status(milliseconds(1500)); });
    CHECK(WaitUntil([&] { return service.runs().size() == 2; }));
    relay.SilenceOpenConnections();
    service.SetHold(false);
    CHECK(WaitUntil([&] { return service.runs()[1].finished; }));
    CHECK(status() == 200);
    caller.join();
    CHECK(stuck == 0);
  }

  SECTION("a partition also affects new connections, and heals") {
    relay.SetPartitioned(true);
    CHECK(status(milliseconds(200)) == 0);
    relay.SetPartitioned(false);
    CHECK(status() == 200);
  }

  SECTION("cut connections end at once") {
    service.SetHold(true);
    int cut = -1;
    std::thread caller([&] { cut = status(); });
    CHECK(WaitUntil([&] { return service.runs().size() == 2; }));
    relay.ResetOpenConnections();
    caller.join();
    CHECK(cut == 0);
    CHECK(relay.open_connections() == 0);
  }

  SECTION("a delay applies to each direction") {
    relay.SetDelay(milliseconds(50));
    const auto started = std::chrono::steady_clock::now();
    CHECK(status() == 200);
    CHECK(std::chrono::steady_clock::now() - started >= milliseconds(100));
  }
}

}  // namespace
}  // namespace indigolead
