#include "core/usage/usage_codec.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

TEST_CASE("An entry usage record round-trips through JSON") {
  const EntryUsage usage{"front-1",
                         Incarnation{{1, 2}},
                         1'700'000'000'000'000,
                         1'700'000'003'500'000,
                         true,
                         {{7, {{"salon", 3}}}, {8, {}}}};
  const auto read = DecodeEntryUsage(EncodeEntryUsage(usage));
  REQUIRE(IsOk(read));
  CHECK(ValueOf(read) == usage);

  SECTION("other input is rejected") {
    for (const char* text : {"", "7", "{}", "null", R"({"instance":7})"}) {
      CHECK_FALSE(IsOk(DecodeEntryUsage(text)));
    }
  }
}

TEST_CASE("Finalized reports round-trip through JSON") {
  const FinalizedUsage usage{{{7, {{"salon", 3}}}, {8, {{"owner", 1}}}}};
  const auto read = DecodeFinalizedUsage(EncodeFinalizedUsage(usage));
  REQUIRE(IsOk(read));
  CHECK(ValueOf(read) == usage);

  SECTION("an empty list or a list with gaps is rejected") {
    CHECK_FALSE(
        IsOk(DecodeFinalizedUsage(EncodeFinalizedUsage({{{7, {}}, {9, {}}}}))));
    CHECK_FALSE(IsOk(DecodeFinalizedUsage(EncodeFinalizedUsage({}))));
  }
}

}  // namespace
}  // namespace indigolead
