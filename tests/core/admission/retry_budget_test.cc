#include "core/admission/retry_budget.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

// Guards against overload of the remaining targets when a failure domain is
// lost and every attempt is to be retried. The budget allows retries for a
// tenth of the first attempts, so the targets receive at most 1.1 times the
// traffic.
TEST_CASE("Retries are limited to a share of the traffic") {
  RetryBudget budget({.share = 0.1, .burst = 10});
  for (int it = 0; it < 10000; ++it) {
    budget.OnFirstAttempt();
    for (int retry_index = 0; retry_index < 3; ++retry_index) {
      budget.TryTake();
    }
  }
  const double amplification =
      static_cast<double>(budget.first_attempts() + budget.retries()) /
      static_cast<double>(budget.first_attempts());
  INFO("expected 1.1 attempts per request, seen " << amplification);
  CHECK(amplification <= 1.1);
  CHECK(amplification >= 1.0999);
}

TEST_CASE("A retry budget starts empty and accumulates up to its burst") {
  RetryBudget budget({.share = 0.5, .burst = 2});
  CHECK_FALSE(budget.TryTake());
  for (int it = 0; it < 100; ++it) {
    budget.OnFirstAttempt();
  }
  CHECK(budget.TryTake());
  CHECK(budget.TryTake());
  CHECK_FALSE(budget.TryTake());
  budget.SetShare(0);
  budget.OnFirstAttempt();
  CHECK_FALSE(budget.TryTake());
}

TEST_CASE("The burst of a retry budget can change and limits grants") {
  RetryBudget budget({.share = 1, .burst = 5, .initial = 5});

  SECTION("a lower burst discards the excess") {
    budget.SetBurst(2);
    CHECK(budget.TryTake(2));
    CHECK_FALSE(budget.TryTake());
  }
  SECTION("a higher burst is filled by traffic, not at once") {
    budget.SetBurst(6);
    CHECK_FALSE(budget.TryTake(6));
    budget.OnFirstAttempt();
    CHECK(budget.TryTake(6));
  }
  SECTION("a grant is limited by the burst") {
    REQUIRE(budget.TryTake(5));
    budget.Grant(3);
    CHECK_FALSE(budget.TryTake(4));
    budget.Grant(9);
    CHECK(budget.TryTake(5));
    CHECK_FALSE(budget.TryTake());
  }
}

TEST_CASE("Backoff delays grow, are bounded, and are spread from zero") {
  const Backoff backoff{std::chrono::milliseconds(20),
                        std::chrono::milliseconds(100)};
  CHECK(backoff.Delay(0, 0) == Duration{0});
  CHECK(backoff.Delay(0, UINT64_MAX) <= std::chrono::milliseconds(20));
  CHECK(backoff.Delay(1, UINT64_MAX) > std::chrono::milliseconds(39));
  CHECK(backoff.Delay(9, UINT64_MAX) <= std::chrono::milliseconds(100));
  CHECK(backoff.Delay(UINT32_MAX, UINT64_MAX) > std::chrono::milliseconds(99));
}

}  // namespace
}  // namespace indigolead
