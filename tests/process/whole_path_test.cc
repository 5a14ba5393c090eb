#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "tests/support/fleet.h"

namespace indigolead {
namespace {

using Catch::Matchers::Contains;
using testing::Fleet;
using testing::HttpAnswer;

TEST_CASE("A request goes from its caller to a target and back") {
  Fleet fleet;

  SECTION("whole and streamed, through either entry, to engines and services") {
    for (std::size_t n = 0; n < 2; ++n) {
      const HttpAnswer whole = fleet.Complete(n, "gel prices");
      CHECK(whole.status == 200);
      CHECK_THAT(whole.body, Contains("w7-"));
      CHECK_FALSE(whole.Header("X-Request-Id").empty());

      const HttpAnswer stream = fleet.Complete(n, "gel prices", "", true);
      CHECK(stream.status == 200);
      CHECK_THAT(stream.body, Contains("w7-") && Contains("[DONE]"));

      const HttpAnswer menu = fleet.Call(n, "GET", "/salon/menu?day=monday");
      CHECK(menu.status == 200);
      CHECK_THAT(menu.body, Contains("monday"));
    }
  }

  SECTION("a caller without a known key is refused and reaches no target") {
    const HttpAnswer answer = testing::HttpCall(
        fleet.entry_http(0), "POST", "/salon/book", "{\"who\":\"ana\"}",
        {{"Idempotency-Key", "no-account"}});
    CHECK(answer.status == 401);
    CHECK(answer.Header("Indigolead-Run") == "not-run");
    CHECK(fleet.RunsWithKey("no-account") == 0);
  }
}

}  // namespace
}  // namespace indigolead
