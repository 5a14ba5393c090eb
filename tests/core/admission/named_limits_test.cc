#include "core/admission/named_limits.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

LimitNotice Named(double limit, TimePoint sent_at) {
  return {limit, true, sent_at};
}

LimitNotice Unnamed(TimePoint sent_at, bool served = true) {
  return {std::nullopt, served, sent_at};
}

TEST_CASE("A limit holds for as long as the target names it") {
  NamedLimits limits;
  CHECK(limits.OnAnswer("e1", Unnamed(kStart), kStart) == std::nullopt);
  CHECK(limits.OnAnswer("e1", Named(5, kStart), kStart) ==
        LimitChange{std::nullopt, 5});
  CHECK(limits.Find("e1") == 5);
  CHECK(limits.Find("e2") == std::nullopt);
  const TimePoint later = kStart + milliseconds(10);

  SECTION("the same again is no change, another figure is one") {
    CHECK(limits.OnAnswer("e1", Named(5, later), later) == std::nullopt);
    CHECK(limits.OnAnswer("e1", Named(4, later), later) == LimitChange{5, 4});
  }
  SECTION("two answers in a row without it end it") {
    CHECK(limits.OnAnswer("e1", Unnamed(later), later) == std::nullopt);
    CHECK(limits.OnAnswer("e1", Unnamed(later), later) ==
          LimitChange{5, std::nullopt});
    CHECK(limits.size() == 0);
  }
  SECTION("one without it between others does not") {
    limits.OnAnswer("e1", Unnamed(later), later);
    limits.OnAnswer("e1", Named(5, later), later);
    limits.OnAnswer("e1", Unnamed(later), later);
    CHECK(limits.Find("e1") == 5);
  }
  SECTION("answers to earlier requests, or that served nothing, end nothing") {
    for (int n = 0; n < 4; ++n) {
      limits.OnAnswer("e1", Unnamed(kStart - milliseconds(1)), later);
      limits.OnAnswer("e1", Unnamed(later, /*served=*/false), later);
    }
    CHECK(limits.Find("e1") == 5);
  }
  SECTION("others' word begins and ends it, and corrects nothing") {
    CHECK(limits.OnShared("e1", 9, later) == std::nullopt);
    CHECK(limits.Find("e1") == 5);
    CHECK(limits.OnShared("e1", std::nullopt, later) ==
          LimitChange{5, std::nullopt});
    CHECK(limits.OnShared("e1", std::nullopt, later) == std::nullopt);
    CHECK(limits.OnShared("e1", 9, later) == LimitChange{std::nullopt, 9});
    // An answer to a request that was sent before says nothing of it.
    limits.OnAnswer("e1", Unnamed(kStart), later);
    limits.OnAnswer("e1", Unnamed(kStart), later);
    CHECK(limits.Find("e1") == 9);
  }
  SECTION("another run of the target begins without it") {
    limits.Forget("e1");
    CHECK(limits.Find("e1") == std::nullopt);
  }
}

}  // namespace
}  // namespace indigolead
