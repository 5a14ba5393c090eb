#include <catch2/catch.hpp>

#include "tests/support/claims/claim_world.h"

namespace indigolead {
namespace {

constexpr int kSettle = 400;  // Steps of 20 ms.

// A side is killed with the store up. Its keys were all journalled before they
// were granted, and an entry that never agreed to grants without the store
// says so: the successor answers the old keys and grants new ones at once.
TEST_CASE("A home's death loses no claim") {
  ClaimWorld world(1, {});
  world.Run(kSettle, 0, 0);
  REQUIRE(world.AskOnce(0, 1, 200) == ClaimVerdict::kGranted);
  world.Run(100, 0, 0);
  const std::size_t victim = world.HomeOf(1);
  world.KillHome(victim);

  SECTION("another side takes over when the platform drops the instance") {
    world.Run(kSettle, 0, 0);
    REQUIRE(world.HomeOf(1) != victim);
  }
  SECTION("the restarted side takes its own slots back") {
    world.StartHome(victim);
    world.Run(kSettle, 0, 0);
    REQUIRE(world.HomeOf(1) == victim);
  }
  CHECK(world.AskOnce(1, 1, 400) == ClaimVerdict::kFinished);
  for (int key = 100; key < 120; ++key) {
    CHECK(world.AskOnce(key % 2, key, 400) == ClaimVerdict::kGranted);
  }
  CHECK(world.violation().empty());
}

// The store goes down. Homes first wait, then have their witnesses agree, and
// grant from memory. A home that dies in that state may have granted keys that
// nobody recorded: its successor answers unseen keys with "unknown".
TEST_CASE("Keyed requests go on while the store is down") {
  ClaimWorld world(2, {});
  world.Run(kSettle, 0, 0);
  world.set_store_up(false);
  world.faults().mend = 0;
  REQUIRE(world.AskOnce(0, 1, 400) == ClaimVerdict::kGranted);
  REQUIRE(world.counts().degraded_grants == 1);
  world.Run(100, 0, 0);

  SECTION("a retry through the other entry gets the same answer") {
    CHECK(world.AskOnce(1, 1, 400) == ClaimVerdict::kFinished);
  }
  SECTION("the claims reach the journal once the store is back") {
    world.set_store_up(true);
    world.Run(kSettle, 0, 0);
    const std::size_t victim = world.HomeOf(1);
    world.KillHome(victim);
    world.StartHome(victim);
    world.Run(kSettle, 0, 0);
    CHECK(world.AskOnce(1, 1, 400) == ClaimVerdict::kFinished);
    CHECK(world.AskOnce(1, 2, 400) == ClaimVerdict::kGranted);
  }
  SECTION("the home dies before the store is back") {
    const std::size_t victim = world.HomeOf(1);
    world.KillHome(victim);
    world.set_store_up(true);
    world.StartHome(victim);
    world.Run(kSettle, 0, 0);
    CHECK(world.AskOnce(1, 1, 400) == ClaimVerdict::kUnknown);
  }
  CHECK(world.violation().empty());
}

// A partition keeps the entry from the key's home. The caller is told soon
// that nothing is known, instead of being kept until its deadline of 5 s.
TEST_CASE("A home out of reach is not waited for to the deadline") {
  ClaimWorld world(3, {});
  world.Run(kSettle, 0, 0);
  world.faults().mend = 0;
  world.SetLink(world.HomeOf(1), 0, false);
  CHECK(world.AskOnce(0, 1, 3 * 50 + 10) == ClaimVerdict::kNotReady);
  CHECK(world.AskOnce(1, 1, 200) == ClaimVerdict::kGranted);
}

// A planned stop moves the slots of a live home. Its journal is sealed by the
// successor, so nothing depends on the old home letting go in time.
TEST_CASE("A leaving home hands its slots over with their claims") {
  ClaimWorld world(4, {});
  world.Run(kSettle, 0, 0);
  REQUIRE(world.AskOnce(0, 1, 200) == ClaimVerdict::kGranted);
  world.Run(100, 0, 0);
  const std::size_t giver = world.HomeOf(1);
  world.home(giver).leaving = true;
  world.Run(kSettle, 0, 0);
  REQUIRE(world.HomeOf(1) != giver);
  CHECK(world.AskOnce(1, 1, 400) == ClaimVerdict::kFinished);
  CHECK(world.AskOnce(1, 2, 400) == ClaimVerdict::kGranted);
  CHECK(world.violation().empty());
}

TEST_CASE("A granted key whose entry dies is reported as unknown") {
  ClaimWorld world(5, {});
  world.Run(kSettle, 0, 0);
  REQUIRE(world.AskOnce(0, 1, 200) == ClaimVerdict::kGranted);
  world.KillEntry(0);
  CHECK(world.AskOnce(1, 1, 400) == ClaimVerdict::kUnknown);
  CHECK(world.violation().empty());
}

}  // namespace
}  // namespace indigolead
