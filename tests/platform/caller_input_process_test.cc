// Tests of an entry process whose callers send requests with invalid framing.

#include <catch2/catch.hpp>
#include <string>

#include "tests/platform/support/platform_scene.h"
#include "tests/support/raw_client.h"

namespace indigolead::testing {
namespace {

using Catch::Matchers::StartsWith;

/// Returns the head of a request without the empty line at its end.
std::string Head(const std::string& id) {
  return "POST /menu/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 4000\r\n";
}

/// Guards against running a request that lies in the body of another one.
TEST_CASE("A request in the body of another one does not run") {
  PlatformScene scene;
  const std::string fields = GENERATE(
      "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, identity\r\n",
      "X-Note: a\r\n Transfer-Encoding: chunked\r\n");
  INFO("fields " << fields);
  RawClient client(scene.callers_address);
  client.Write(Head("outer") + fields + "\r\n" + Head("inner") +
               "Content-Length: 0\r\n\r\n");
  CHECK_THAT(client.ReadToEnd(), StartsWith("HTTP/1.1 400"));
  CHECK(client.closed());
  CHECK(scene.Runs("outer") == 0);
  CHECK(scene.Runs("inner") == 0);
}

}  // namespace
}  // namespace indigolead::testing
