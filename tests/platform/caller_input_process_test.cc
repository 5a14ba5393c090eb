// Tests of an entry process whose callers send requests with invalid framing or
// with long header fields.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

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

/// Guards against an entry that ends, with all requests that it has passed on,
/// because a field is longer than the library's container holds.
TEST_CASE("A long header field within the operator's limit is carried") {
  const std::string text(70000, 'n');
  std::string id = "r-1";
  std::string fields = "Content-Length: 0\r\n\r\n";
  SECTION("in a value") { fields = "X-Note: " + text + "\r\n" + fields; }
  SECTION("in a name") { fields = text + ": note\r\n" + fields; }
  SECTION("in the request id") { id = text; }
  SECTION("in the parts of the prompt") {
    fields = "X-Prefix-Hash: " + text + "\r\n" + fields;
  }
  SECTION("in the id of the stream that goes on") {
    fields = "Resumes: " + text + "\r\n" + fields;
  }
  SECTION("in a trailer") {
    fields =
        "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Note: " + text + "\r\n\r\n";
  }
  ScriptedServer target({Send(AnswerTo(id))});
  OneTargetScene it(target.address(), {{"max-header-bytes", 131072}});
  RawClient client(it.address());
  client.Write(Head(id) + fields);
  CHECK_THAT(client.ReadUntil("\r\n\r\nmenu"), StartsWith("HTTP/1.1 200"));
  CHECK(it.scene().entry->running());
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

/// Guards against a limit that holds only on connections opened after it.
TEST_CASE("A raised limit of the head holds on open connections") {
  PlatformScene scene;
  RawClient client(scene.callers_address);
  client.Write(Head("first") + "Content-Length: 0\r\n\r\n");
  CHECK_THAT(client.ReadUntil("menu of"), StartsWith("HTTP/1.1 200"));
  client.Clear();
  nlohmann::json configuration = MakeConfiguration(4);
  configuration["limits"]["max-header-bytes"] = 131072;
  scene.store.Put("config", "main", configuration);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  // Over the old limit, and refused before the head is complete.
  client.Write(Head("second") + "X-Note: " + std::string(30000, 'n'));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  client.Write("\r\nContent-Length: 0\r\n\r\n");
  CHECK_THAT(client.ReadUntil("\r\n\r\n"), !StartsWith("HTTP/1.1 431"));
  CHECK(scene.entry->running());
}

/// Guards against an entry that ends because a caller states a long body.
TEST_CASE("The stated length of a body does not end the entry") {
  const std::uint64_t limit = std::uint64_t{0} - 1;
  ScriptedServer target({Send(AnswerTo("r-1"))});
  OneTargetScene it(target.address(), {{"max-body-bytes", limit}});
  RawClient uploader(it.address());
  uploader.Write(Head("long") + "Content-Length: 4611686018427387904\r\n\r\nx");
  RawClient client(it.address());
  client.Write(Head("r-1") + "Content-Length: 4\r\n\r\nmenu");
  CHECK_THAT(client.ReadUntil("\r\n\r\nmenu"), StartsWith("HTTP/1.1 200"));
  CHECK(it.scene().entry->running());
}

/// Guards against limits that wrap to other ones in the parser.
TEST_CASE("Very large limits of the operator are kept") {
  const std::uint64_t limit =
      GENERATE(std::uint64_t{1} << 32, (std::uint64_t{1} << 32) + 1,
               std::uint64_t{0} - 1);
  INFO("limit " << limit);
  ScriptedServer target({Send(AnswerTo("r-1"))});
  OneTargetScene it(target.address(),
                    {{"max-header-bytes", limit}, {"max-body-bytes", limit}});
  for (int n = 0; n < 3; ++n) {
    RawClient client(it.address());
    client.Write(Head("r-1") + "Content-Length: 4\r\n\r\nmenu");
    CHECK_THAT(client.ReadUntil("\r\n\r\nmenu"), StartsWith("HTTP/1.1 200"));
  }
  CHECK(it.scene().entry->running());
}

}  // namespace
}  // namespace indigolead::testing
