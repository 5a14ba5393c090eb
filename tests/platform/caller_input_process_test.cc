// Tests of an entry process whose callers send requests with invalid framing or
// with long header fields.

#include <catch2/catch.hpp>
#include <string>

#include "tests/platform/support/one_target_scene.h"
#include "tests/platform/support/scripted_answers.h"
#include "tests/support/raw_client.h"

namespace indigolead::testing {
namespace {

using Catch::Matchers::StartsWith;

/// Returns the head of a request without the empty line at its end.
std::string Head(const std::string& id, const std::string& method = "POST") {
  return method +
         " /menu/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " + id +
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

/// Guards against an entry that ends on a method that the library serializes
/// under a condition.
TEST_CASE("A TRACE request with a body does not end the entry") {
  ScriptedServer target({Send(AnswerTo("r-1"))});
  OneTargetScene it(target.address());
  RawClient client(it.address());
  client.Write(Head("r-1", "TRACE") + "Content-Length: 4\r\n\r\nmenu");
  CHECK_THAT(client.ReadUntil("\r\n\r\nmenu"), StartsWith("HTTP/1.1 200"));
  CHECK(it.scene().entry->running());
}

}  // namespace
}  // namespace indigolead::testing
