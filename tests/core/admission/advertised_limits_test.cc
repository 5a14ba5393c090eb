#include "core/admission/advertised_limits.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

LimitNotice WithLimit(double limit, TimePoint sent_at) {
  return {limit, true, sent_at};
}

LimitNotice WithoutLimit(TimePoint sent_at, bool served = true) {
  return {std::nullopt, served, sent_at};
}

TEST_CASE("A limit holds while the target's answers contain it") {
  AdvertisedLimits limits;
  CHECK(limits.OnAnswer("e1", WithoutLimit(kStart), kStart) == std::nullopt);
  CHECK(limits.OnAnswer("e1", WithLimit(5, kStart), kStart) ==
        LimitChange{std::nullopt, 5});
  CHECK(limits.Find("e1") == 5);
  CHECK(limits.Find("e2") == std::nullopt);
  const TimePoint later = kStart + milliseconds(10);

  SECTION("the same value is no change, a different value is one") {
    CHECK(limits.OnAnswer("e1", WithLimit(5, later), later) == std::nullopt);
    CHECK(limits.OnAnswer("e1", WithLimit(4, later), later) ==
          LimitChange{5, 4});
  }
  SECTION("two consecutive answers without it end it") {
    CHECK(limits.OnAnswer("e1", WithoutLimit(later), later) == std::nullopt);
    CHECK(limits.OnAnswer("e1", WithoutLimit(later), later) ==
          LimitChange{5, std::nullopt});
    CHECK(limits.size() == 0);
  }
  SECTION("a single answer without it does not end it") {
    limits.OnAnswer("e1", WithoutLimit(later), later);
    limits.OnAnswer("e1", WithLimit(5, later), later);
    limits.OnAnswer("e1", WithoutLimit(later), later);
    CHECK(limits.Find("e1") == 5);
  }
  SECTION("answers to earlier requests, or that served nothing, end nothing") {
    for (int n = 0; n < 4; ++n) {
      limits.OnAnswer("e1", WithoutLimit(kStart - milliseconds(1)), later);
      limits.OnAnswer("e1", WithoutLimit(later, /*served=*/false), later);
    }
    CHECK(limits.Find("e1") == 5);
  }
  SECTION("a shared limit starts or ends it but does not replace its value") {
    CHECK(limits.OnShared("e1", 9, later) == std::nullopt);
    CHECK(limits.Find("e1") == 5);
    CHECK(limits.OnShared("e1", std::nullopt, later) ==
          LimitChange{5, std::nullopt});
    CHECK(limits.OnShared("e1", std::nullopt, later) == std::nullopt);
    CHECK(limits.OnShared("e1", 9, later) == LimitChange{std::nullopt, 9});
    // An answer to a request sent before the limit was known is ignored.
    limits.OnAnswer("e1", WithoutLimit(kStart), later);
    limits.OnAnswer("e1", WithoutLimit(kStart), later);
    CHECK(limits.Find("e1") == 9);
  }
  SECTION("a restarted target has no limit") {
    limits.Forget("e1");
    CHECK(limits.Find("e1") == std::nullopt);
  }
}

}  // namespace
}  // namespace indigolead
