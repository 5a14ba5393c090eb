#include "runtime/request_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <catch2/catch.hpp>
#include <cctype>
#include <optional>
#include <string>
#include <vector>

namespace indigolead {
namespace {

namespace http = boost::beast::http;

constexpr char kChunkedHead[] =
    "POST /menu HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns the offset behind the chunk line at `*at` and its size; nothing if
/// the line is invalid or incomplete.
std::optional<std::size_t> ReadChunkLine(const std::string& text,
                                         std::size_t* at) {
  const auto end = text.find("\r\n", *at);
  auto digits_end = *at;
  while (digits_end < text.size() && std::isxdigit(text[digits_end]) != 0) {
    ++digits_end;
  }
  const auto count = digits_end - *at;
  if (end == std::string::npos || count == 0 || count > 8 ||
      digits_end != end) {
    return std::nullopt;
  }
  const std::size_t size =
      std::stoul(text.substr(*at, digits_end - *at), nullptr, 16);
  *at = end + 2;
  return size;
}

/// Returns true if `text` begins with a complete body in chunks. A strict
/// reading of RFC 9112, section 7.1, without chunk extensions.
bool BeginsWithBody(const std::string& text) {
  std::size_t at = 0;
  while (const auto size = ReadChunkLine(text, &at)) {
    if (*size > 0) {
      if (text.size() < at + *size + 2 ||
          text.compare(at + *size, 2, "\r\n") != 0) {
        return false;
      }
      at += *size + 2;
      continue;
    }
    while (at < text.size()) {
      const auto end = text.find("\r\n", at);
      if (end == std::string::npos || end == at) {
        return end == at;
      }
      const auto colon = text.find(':', at);
      if (colon == at || colon > end) {
        return false;
      }
      at = end + 2;
    }
  }
  return false;
}

void Append(std::string_view text, boost::beast::flat_buffer* buffer) {
  boost::asio::buffer_copy(buffer->prepare(text.size()),
                           boost::asio::buffer(text.data(), text.size()));
  buffer->commit(text.size());
}

/// Returns true if the parser finds a complete request in a chunked head and
/// `body`, of which `n` bytes arrive with the head and the rest later.
bool Completes(const std::string& body, std::size_t n) {
  RequestParser parser({.header_bytes = 4096, .body_bytes = 4096});
  boost::beast::flat_buffer buffer;
  Append(kChunkedHead + body.substr(0, n), &buffer);
  auto ec = parser.Parse(&buffer);
  if (ec == http::error::need_more) {
    Append(body.substr(n), &buffer);
    ec = parser.Parse(&buffer);
  }
  return !ec && parser.is_done();
}

/// Calls `test` with each text of `count` parts.
template <typename Test>
void ForEachText(const std::vector<std::string>& parts, int count,
                 const std::string& text, const Test& test) {
  if (count == 0) {
    test(text);
    return;
  }
  for (const std::string& it : parts) {
    ForEachText(parts, count - 1, text + it, test);
  }
}

/// Guards against a body that ends elsewhere than its sender means, such as at
/// a chunk without a size: what follows would be read as a request.
TEST_CASE("A body in chunks ends where a strict reader finds its end") {
  const std::vector<std::string> parts = {
      "\r\n", "0", "4\r\nmenu", "a\r\n0123456789", "0123456789", "X: y", "g"};
  int complete = 0;
  ForEachText(parts, 5, "", [&](const std::string& body) {
    const bool expected = BeginsWithBody(body);
    complete += expected ? 1 : 0;
    for (const std::size_t n : {std::size_t{0}, body.size() / 2, body.size()}) {
      if (Completes(body, n) != expected) {
        FAIL_CHECK("body \"" << body << "\" in pieces of " << n << " and "
                             << body.size() - n << " bytes, expected "
                             << (expected ? "complete" : "incomplete"));
      }
    }
  });
  CHECK(complete > 0);
}

TEST_CASE("A request is read up to its end") {
  RequestParser parser({.header_bytes = 4096, .body_bytes = 4096});
  boost::beast::flat_buffer buffer;
  Append("PUT /menu?x=1 HTTP/1.0\r\nX-Note: a\r\nContent-Length: 4\r\n\r\nme",
         &buffer);
  CHECK(parser.Parse(&buffer) == http::error::need_more);
  REQUIRE(parser.head());
  CHECK_FALSE(parser.is_done());
  Append("nuGET / HTTP/1.1\r\n", &buffer);
  CHECK_FALSE(parser.Parse(&buffer));
  CHECK(parser.is_done());
  CHECK(parser.TakeHead() ==
        RequestHead{"PUT",
                    "/menu?x=1",
                    10,
                    false,
                    {{"X-Note", "a"}, {"Content-Length", "4"}}});
  CHECK(parser.TakeBody() == "menu");
  CHECK(buffer.size() == std::string("GET / HTTP/1.1\r\n").size());
}

/// Guards against a process that ends because a sender states a length that no
/// memory holds.
TEST_CASE("Memory for a body is not allocated by its stated length") {
  const std::uint64_t length =
      GENERATE(std::uint64_t{1} << 33, std::uint64_t{1} << 46,
               std::uint64_t{1} << 62, std::uint64_t{0} - 1);
  INFO("length " << length);
  RequestParser parser(
      {.header_bytes = 4096, .body_bytes = std::uint64_t{0} - 1});
  boost::beast::flat_buffer buffer;
  Append("PUT /menu HTTP/1.1\r\nContent-Length: " + std::to_string(length) +
             "\r\n\r\nmenu",
         &buffer);
  CHECK(parser.Parse(&buffer) == http::error::need_more);
  REQUIRE(parser.head());
  CHECK_FALSE(parser.is_done());
}

TEST_CASE("A request over a limit is an error") {
  RequestParser parser({.header_bytes = 100, .body_bytes = 10});
  boost::beast::flat_buffer buffer{200};
  SECTION("in its head") {
    Append("GET / HTTP/1.1\r\nX-Note: " + std::string(150, 'n'), &buffer);
    CHECK(parser.Parse(&buffer) == http::error::header_limit);
  }
  SECTION("in its body") {
    Append("PUT / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", &buffer);
    CHECK(parser.Parse(&buffer) == http::error::body_limit);
  }
  SECTION("in a chunk line that does not end") {
    Append("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;", &buffer);
    CHECK(parser.Parse(&buffer) == http::error::need_more);
    Append(std::string(buffer.max_size() - buffer.size(), 'x'), &buffer);
    CHECK(parser.Parse(&buffer) == http::error::buffer_overflow);
  }
}

}  // namespace
}  // namespace indigolead
