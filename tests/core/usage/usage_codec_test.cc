#include "core/usage/usage_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/support/hostile_json.h"

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

// Guards against usage of another writer that overflows the stack or counts
// with numbers that wrapped around.
TEST_CASE("Hostile usage records are values or bounded errors") {
  const EntryUsage usage{"front-1", Incarnation{{1, 2}},           17, 18,
                         true,      {{7, {{"salon", 3}}}, {8, {}}}};
  CheckHostileDocuments(
      nlohmann::json::parse(EncodeEntryUsage(usage)),
      [](const std::string& text) { return DecodeEntryUsage(text); });
  const FinalizedUsage finalized{{{7, {{"salon", 3}}}, {8, {{"owner", 1}}}}};
  CheckHostileDocuments(
      nlohmann::json::parse(EncodeFinalizedUsage(finalized)),
      [](const std::string& text) { return DecodeFinalizedUsage(text); });
  for (const char* raw : {"-1", "1.5", "1e300", "9223372036854775807",
                          "18446744073709551615", "true"}) {
    INFO(raw);
    CHECK_FALSE(IsOk(DecodeFinalizedUsage(R"({"windows":[{"window":)" +
                                          std::string(raw) +
                                          R"(,"requests":{"salon":3}}]})")));
  }
  for (const char* raw : {"-1", "1.5", "1e300", "true"}) {
    INFO(raw);
    CHECK_FALSE(IsOk(
        DecodeFinalizedUsage(R"({"windows":[{"window":7,"requests":{"salon":)" +
                             std::string(raw) + "}}]}")));
  }
}

}  // namespace
}  // namespace indigolead
