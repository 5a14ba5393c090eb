#include "core/base/bounded_json.h"

#include <catch2/catch.hpp>
#include <string>

namespace indigolead {
namespace {

Result<nlohmann::json> Parse(const std::string& text) {
  return ParseBoundedJson(text, "test.parse", "writer");
}

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// Guards against a document of another process that overflows the stack.
TEST_CASE("JSON from outside is bounded in depth") {
  CHECK(IsOk(Parse(Nested(kMaxJsonDepth))));
  CHECK_FALSE(IsOk(Parse(Nested(kMaxJsonDepth + 1))));
  CHECK_FALSE(IsOk(Parse(Nested(1'000'000))));
  CHECK_FALSE(IsOk(Parse(std::string(1'000'000, '['))));

  SECTION("brackets in texts do not count") {
    const std::string text = "[\"" + std::string(1000, '[') + "\"]";
    CHECK(IsOk(Parse(text)));
    CHECK(IsOk(Parse("[\"\\\"" + std::string(1000, '{') + "\"]")));
  }
  SECTION("lists beside each other do not count") {
    std::string text = "[0";
    for (int i = 0; i < 1000; ++i) {
      text += ",[[]]";
    }
    CHECK(IsOk(Parse(text + "]")));
  }
}

TEST_CASE("JSON that cannot be read is an error that does not quote it") {
  for (const std::string text :
       {"", "{", "{\"secret\":}", "[1e400]", "[-1e400]", "\"\\ud800\"",
        "\"\\udc00\"", "\"secret\xff\"", "[secret]", "[1]]"}) {
    CAPTURE(text);
    const auto parsed = Parse(text);
    REQUIRE_FALSE(IsOk(parsed));
    const Error& error = ErrorOf(parsed);
    CHECK(error.code == ErrorCode::kProtocol);
    CHECK(error.step == "test.parse");
    CHECK(error.peer == "writer");
    CHECK(error.detail.find("secret") == std::string::npos);
  }
}

TEST_CASE("The error of a long number does not grow with it") {
  const auto parsed = Parse("[" + std::string(100'000, '9') + "e400]");
  REQUIRE_FALSE(IsOk(parsed));
  CHECK(ErrorOf(parsed).detail.size() < 100);
}

}  // namespace
}  // namespace indigolead
