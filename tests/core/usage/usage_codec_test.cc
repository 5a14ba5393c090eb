#include "core/usage/usage_codec.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

TEST_CASE("An entry's record is read as it was written") {
  const EntryUsage usage{"front-1",
                         Incarnation{{1, 2}},
                         1'700'000'000'000'000,
                         1'700'000'003'500'000,
                         true,
                         {{7, {{"salon", 3}}}, {8, {}}}};
  const auto read = DecodeEntryUsage(EncodeEntryUsage(usage));
  REQUIRE(IsOk(read));
  CHECK(ValueOf(read) == usage);

  SECTION("anything else is no record") {
    for (const char* text : {"", "7", "{}", "null", R"({"instance":7})"}) {
      CHECK_FALSE(IsOk(DecodeEntryUsage(text)));
    }
  }
}

TEST_CASE("Settled reports are read as they were written") {
  const FixedUsage usage{{{7, {{"salon", 3}}}, {8, {{"owner", 1}}}}};
  const auto read = DecodeFixedUsage(EncodeFixedUsage(usage));
  REQUIRE(IsOk(read));
  CHECK(ValueOf(read) == usage);

  SECTION("a list that leaves a window out, or is empty, is refused") {
    CHECK_FALSE(IsOk(DecodeFixedUsage(EncodeFixedUsage({{{7, {}}, {9, {}}}}))));
    CHECK_FALSE(IsOk(DecodeFixedUsage(EncodeFixedUsage({}))));
  }
}

}  // namespace
}  // namespace indigolead
