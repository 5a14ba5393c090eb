#include "core/base/ids.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

TEST_CASE("Id128 converts to and from text and bytes") {
  const Id128 id{0x0123456789abcdefULL, 0xfedcba9876543210ULL};

  SECTION("hexadecimal text reads back as the same id") {
    CHECK(ToHex(id) == "0123456789abcdeffedcba9876543210");
    CHECK(Id128FromHex(ToHex(id)) == id);
  }
  SECTION("bytes read back as the same id") {
    CHECK(Id128FromBytes(ToBytes(id)) == id);
  }
  SECTION("text that is not 32 hex digits is rejected") {
    CHECK_FALSE(Id128FromHex("0123"));
    CHECK_FALSE(Id128FromHex("0123456789abcdeffedcba987654321g"));
    CHECK_FALSE(Id128FromHex("+123456789abcdeffedcba9876543210"));
  }
  SECTION("a number of bytes other than 16 is rejected") {
    CHECK_FALSE(Id128FromBytes("short"));
  }
}

}  // namespace
}  // namespace indigolead
