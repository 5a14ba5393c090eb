#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "platform/object_store.h"
#include "runtime/clock.h"
#include "tests/platform/support/scripted_answers.h"
#include "tests/support/scripted_server.h"

namespace indigolead::platform {
namespace {

std::string Reply(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// An object of another writer holds invalid UTF-8. The parser rejects the whole
// response because of it, so every target would be lost.
TEST_CASE("An object with invalid UTF-8 does not hide the other objects") {
  const std::string body =
      R"({"items":[{"metadata":{"name":"x","revision":4},"spec":"\xff\xfe{"},)"
      R"({"metadata":{"name":"y","revision":5},"spec":{"service":"app"}}],)"
      R"("has-more":false,"at":9})";
  std::string raw = body;
  raw.replace(raw.find("\\xff\\xfe"), 8, "\xff\xfe");
  ScriptedServer server({testing::Send(Reply(raw))});
  boost::asio::io_context io;
  MetricsRegistry metrics;
  PlatformObjectStore store(&io, {server.address()}, BootTimeNow, &metrics);
  std::vector<StoredObject> objects;
  store.List("servers/", {CallPriority::kConfig, std::chrono::seconds(5)},
             [&](const Result<ObjectStore::Listing>& result) {
               REQUIRE(IsOk(result));
               objects = ValueOf(result).objects;
               io.stop();
             });
  io.run_for(std::chrono::seconds(5));
  REQUIRE(objects.size() == 2);
  CHECK(objects[0].key == "servers/x");
  CHECK(objects[1].key == "servers/y");
  CHECK(objects[1].value == R"({"service":"app"})");
}

}  // namespace
}  // namespace indigolead::platform
