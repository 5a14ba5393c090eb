#include <catch2/catch.hpp>

#include "tests/support/claims/claim_world.h"

namespace indigolead {
namespace {

constexpr int kSettleSteps = 400;  // Steps of 20 ms.

// A home is killed while the store is available. All its keys were journaled
// before they were granted, and the witnesses never agreed to degraded grants,
// so the successor knows the old keys and grants new ones at once.
TEST_CASE("No claim is lost when a home is killed") {
  ClaimWorld world(1, {});
  world.Run(kSettleSteps, 0, 0);
  REQUIRE(world.AskOnce(0, 1, 200) == ClaimVerdict::kGranted);
  world.Run(100, 0, 0);
  const std::size_t victim = world.HomeOf(1);
  world.KillHome(victim);

  SECTION("another home takes over when the platform removes the instance") {
    world.Run(kSettleSteps, 0, 0);
    REQUIRE(world.HomeOf(1) != victim);
  }
  SECTION("the restarted home takes over its own slots") {
    world.StartHome(victim);
    world.Run(kSettleSteps, 0, 0);
    REQUIRE(world.HomeOf(1) == victim);
  }
  CHECK(world.AskOnce(1, 1, 400) == ClaimVerdict::kFinished);
  for (int key = 100; key < 120; ++key) {
    CHECK(world.AskOnce(key % 2, key, 400) == ClaimVerdict::kGranted);
  }
  CHECK(world.violation().empty());
}

// During a store outage a home waits, gets the agreement of its witnesses, and
// then grants from memory. If it dies in that state, some grants may not be
// recorded, so its successor answers keys without a claim with `kUnknown`.
TEST_CASE("Keyed requests are granted during a store outage") {
  ClaimWorld world(2, {});
  world.Run(kSettleSteps, 0, 0);
  world.set_store_up(false);
  world.faults().recover = 0;
  REQUIRE(world.AskOnce(0, 1, 400) == ClaimVerdict::kGranted);
  REQUIRE(world.counts().degraded_grants == 1);
  world.Run(100, 0, 0);

  SECTION("a retry through the other entry gets the same response") {
    CHECK(world.AskOnce(1, 1, 400) == ClaimVerdict::kFinished);
  }
  SECTION("the claims are journaled once the store recovers") {
    world.set_store_up(true);
    world.Run(kSettleSteps, 0, 0);
    const std::size_t victim = world.HomeOf(1);
    world.KillHome(victim);
    world.StartHome(victim);
    world.Run(kSettleSteps, 0, 0);
    CHECK(world.AskOnce(1, 1, 400) == ClaimVerdict::kFinished);
    CHECK(world.AskOnce(1, 2, 400) == ClaimVerdict::kGranted);
  }
  SECTION("the home dies before the store recovers") {
    const std::size_t victim = world.HomeOf(1);
    world.KillHome(victim);
    world.set_store_up(true);
    world.StartHome(victim);
    world.Run(kSettleSteps, 0, 0);
    CHECK(world.AskOnce(1, 1, 400) == ClaimVerdict::kUnknown);
  }
  CHECK(world.violation().empty());
}

// A partition separates the entry process from the home of the key. The caller
// gets `kNotReady` early instead of waiting for its deadline of 5 s.
TEST_CASE("An unreachable home fails the request before its deadline") {
  ClaimWorld world(3, {});
  world.Run(kSettleSteps, 0, 0);
  world.faults().recover = 0;
  world.SetLink(world.HomeOf(1), 0, false);
  CHECK(world.AskOnce(0, 1, 3 * 50 + 10) == ClaimVerdict::kNotReady);
  CHECK(world.AskOnce(1, 1, 200) == ClaimVerdict::kGranted);
}

// A planned stop moves the slots of a live home. The successor seals its
// journal, so safety does not depend on when the old home stops granting.
TEST_CASE("Claims move with the slots of a leaving home") {
  ClaimWorld world(4, {});
  world.Run(kSettleSteps, 0, 0);
  REQUIRE(world.AskOnce(0, 1, 200) == ClaimVerdict::kGranted);
  world.Run(100, 0, 0);
  const std::size_t leaving_home = world.HomeOf(1);
  world.home(leaving_home).leaving = true;
  world.Run(kSettleSteps, 0, 0);
  REQUIRE(world.HomeOf(1) != leaving_home);
  CHECK(world.AskOnce(1, 1, 400) == ClaimVerdict::kFinished);
  CHECK(world.AskOnce(1, 2, 400) == ClaimVerdict::kGranted);
  CHECK(world.violation().empty());
}

TEST_CASE("A granted key is unknown after its entry is killed") {
  ClaimWorld world(5, {});
  world.Run(kSettleSteps, 0, 0);
  REQUIRE(world.AskOnce(0, 1, 200) == ClaimVerdict::kGranted);
  world.KillEntry(0);
  CHECK(world.AskOnce(1, 1, 400) == ClaimVerdict::kUnknown);
  CHECK(world.violation().empty());
}

}  // namespace
}  // namespace indigolead
