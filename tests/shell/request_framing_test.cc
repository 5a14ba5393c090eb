// Tests of requests whose framing is invalid: what follows the head of such a
// request may be its body or another request.

#include <catch2/catch.hpp>
#include <string>

#include "entry/status_server.h"
#include "tests/support/callers_fixture.h"
#include "tests/support/raw_client.h"
#include "tests/support/run_until.h"

namespace indigolead {
namespace {

using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;

std::string KeyHeader() {
  return "Host: entry\r\nAuthorization: Bearer " + std::string(kExampleKey) +
         "\r\n";
}

/// Returns a complete request that must not run.
std::string InnerRequest() {
  return "POST /menu/inner HTTP/1.1\r\n" + KeyHeader() +
         "Content-Length: 0\r\n\r\n";
}

/// Returns a request with the header lines `fields` and the text `body`, in
/// which another request follows.
std::string OuterRequest(const std::string& fields, const std::string& body,
                         const std::string& version = "1.1") {
  return "POST /menu/outer HTTP/" + version + "\r\n" + KeyHeader() + fields +
         "\r\n" + body + InnerRequest();
}

/// Checks that `request` is refused and that nothing behind it is read.
void CheckRefused(const std::string& request) {
  CallersFixture entry;
  RawClient client(entry.address());
  client.Write(request);
  const std::string& answer = client.ReadUntil("}\n");
  CHECK_THAT(answer, StartsWith("HTTP/1.1 400"));
  CHECK_THAT(answer, Contains("Connection: close"));
  CHECK(entry.request_count() == 0);
}

/// Guards against a request in the body of another one that runs, because the
/// transfer coding does not tell where that body ends.
TEST_CASE("A request with an unknown transfer coding is refused") {
  const std::string coding =
      GENERATE("gzip", "identity", "xchunked", "chunkedx", "chunked, identity",
               "chunked, gzip", "gzip, chunked", "\"chunked\"", "chunked;a=b",
               "chunked,", ",chunked", ",", "");
  INFO("coding " << coding);
  const std::string field = "Transfer-Encoding: " + coding + "\r\n";

  SECTION("alone") { CheckRefused(OuterRequest(field, "0\r\n\r\n")); }
  SECTION("before a length") {
    CheckRefused(OuterRequest(field + "Content-Length: 0\r\n", ""));
  }
  SECTION("after a length") {
    CheckRefused(OuterRequest("Content-Length: 0\r\n" + field, ""));
  }
}

/// Guards against the same if the codings stand in more than one line.
TEST_CASE("A request with two fields of transfer codings is refused") {
  const std::string first = GENERATE("gzip", "chunked", "");
  const std::string second = GENERATE("chunked", "gzip", "");
  INFO(first << " then " << second);
  CheckRefused(OuterRequest("Transfer-Encoding: " + first +
                                "\r\nTransfer-Encoding: " + second + "\r\n",
                            "0\r\n\r\n"));
}

/// Guards against the same in HTTP/1.0, which has no transfer codings.
TEST_CASE("A transfer coding in HTTP/1.0 is refused") {
  const std::string coding = GENERATE("gzip", "chunked");
  INFO("coding " << coding);
  CheckRefused(OuterRequest(
      "Connection: keep-alive\r\nTransfer-Encoding: " + coding + "\r\n",
      "0\r\n\r\n", "1.0"));
}

/// Guards against framing fields that become part of another field.
TEST_CASE("A request with a folded header line is refused") {
  const std::string blank = GENERATE(" ", "\t");
  const std::string field =
      GENERATE("Content-Length: 4", "Transfer-Encoding: chunked", "gzip", "");
  INFO("line \"" << field << "\"");

  SECTION("behind another field") {
    CheckRefused(OuterRequest("X-Note: a\r\n" + blank + field + "\r\n", ""));
  }
  SECTION("behind an empty transfer coding") {
    CheckRefused(
        OuterRequest("Transfer-Encoding:\r\n" + blank + field + "\r\n", ""));
  }
  SECTION("behind a length") {
    CheckRefused(OuterRequest(
        "Content-Length: 0\r\nX-Note: a\r\n" + blank + field + "\r\n", ""));
  }
}

/// Guards against a head that is judged by its last piece only.
TEST_CASE("A request head that arrives in pieces is judged as a whole") {
  const std::string request = OuterRequest("X-Note: a\r\n b\r\n", "");
  CallersFixture entry;
  RawClient client(entry.address());
  for (const char it : request) {
    client.Write(std::string(1, it));
  }
  CHECK_THAT(client.ReadUntil("}\n"), StartsWith("HTTP/1.1 400"));
  CHECK(entry.request_count() == 0);
}

/// Guards against a chunk without a size that ends the body.
TEST_CASE("A chunk without a size is refused") {
  const std::string chunks = GENERATE(
      "\r\n0123456789\r\n0\r\n\r\n", "\r\n\r\n",
      "4\r\nmenu\r\n\r\n0123456789\r\n0\r\n\r\n", "4\r\nmenu\r\n\r\n\r\n",
      ";a=b\r\n\r\n", "4\r\nmenu\r\n;a=b\r\n\r\n");
  INFO("chunks " << chunks);
  CheckRefused(OuterRequest("Transfer-Encoding: chunked\r\n", chunks));
}

/// Guards against trailer fields that act as header fields.
TEST_CASE("Trailer fields of a request do not become header fields") {
  CallersFixture entry;
  RawClient client(entry.address());
  client.Write("POST /menu/today HTTP/1.1\r\n" + KeyHeader() +
               "Transfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\n"
               "X-Salon: 7\r\n\r\n");
  const auto request = entry.Request(0);
  CHECK(request->body == "menu");
  for (const HeaderField& it : request->headers) {
    CHECK(it.name != "X-Salon");
  }
}

/// Guards against rejecting sound requests together with the faulty ones.
TEST_CASE("Sound requests on one connection are read in turn") {
  const std::string body =
      GENERATE("Content-Length: 4\r\n\r\nmenu",
               "Transfer-Encoding: chunked\r\n\r\n4\r\nmenu\r\n0\r\n\r\n",
               "Transfer-Encoding: Chunked\r\n\r\n"
               "2;a=b\r\nme\r\n2\r\nnu\r\n0;c\r\nX-Note: a\r\n\r\n");
  INFO("body " << body);
  CallersFixture entry;
  RawClient client(entry.address());
  for (std::size_t n = 0; n < 3; ++n) {
    client.Write("POST /menu/today HTTP/1.1\r\n" + KeyHeader() + body);
    const auto request = entry.Request(n);
    CHECK(request->body == "menu");
    entry.Answer(AnswerWhole{request->id, {200, {}, std::to_string(n) + "!"}});
    CHECK_THAT(client.ReadUntil(std::to_string(n) + "!"),
               StartsWith("HTTP/1.1 200"));
    client.Clear();
  }
}

/// Guards against the same faults at the address for status queries.
TEST_CASE("A status query whose framing is invalid gets no answer") {
  const std::string fields = GENERATE(
      "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, identity\r\n",
      "X-Note: a\r\n Content-Length: 4\r\n");
  INFO("fields " << fields);
  boost::asio::io_context io{1};
  int answers = 0;
  StatusServer server(&io, {.address = "127.0.0.1:0"},
                      [&answers](std::string_view) {
                        ++answers;
                        return WholeAnswer{200, {}, "ready"};
                      });
  REQUIRE(IsOk(server.Start()));
  RawClient client(server.bound_address());
  client.Write("GET /readyz HTTP/1.1\r\nHost: e\r\n" + fields +
               "\r\nGET /readyz HTTP/1.1\r\nHost: e\r\n\r\n");
  io.run_for(std::chrono::milliseconds(300));
  CHECK(answers == 0);
}

}  // namespace
}  // namespace indigolead
