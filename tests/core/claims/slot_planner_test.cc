#include <algorithm>
#include <catch2/catch.hpp>

#include "core/claims/slot_map.h"

namespace indigolead {
namespace {

JournalRef Ref(const std::string& home, std::uint64_t journal) {
  return {home, JournalId{{0, journal}}};
}

HomeState Absorbed(const JournalRef& ref, std::uint64_t epoch) {
  HomeState home;
  home.ref = ref;
  home.absorbed_epoch = epoch;
  return home;
}

bool Owns(const SlotMap& map, const JournalRef& ref) {
  return std::any_of(map.slots.begin(), map.slots.end(),
                     [&](const auto& it) { return it.owner == ref; });
}

// Guards against a second run of a key. Home "a" is paused and its slots move
// to "b", which seals the journal of "a" and grants keys. "a" resumes with its
// old journal just as "b" leaves. If that journal got the slots, its old
// records would be read last and show the keys as free.
TEST_CASE("A home that lost a slot gets none until it opens a new journal") {
  SlotPlanner::Options options;
  options.slot_count = 4;
  const SlotPlanner planner(options);
  const JournalRef old_a = Ref("a", 1);
  const JournalRef b = Ref("b", 2);

  SlotPlanner::Input input;
  input.homes = {Absorbed(old_a, 0)};
  const auto first = planner.Plan(std::nullopt, input);
  REQUIRE(first);
  REQUIRE(Owns(*first, old_a));

  input.homes = {Absorbed(b, 0)};
  input.lost = {"a"};
  const auto moved = planner.Plan(first, input);
  REQUIRE(moved);
  REQUIRE(Owns(*moved, b));
  REQUIRE_FALSE(Owns(*moved, old_a));

  HomeState leaving = Absorbed(b, moved->epoch);
  leaving.leaving = true;
  input.lost = {};

  SECTION("no slots while it reports its old journal") {
    input.homes = {Absorbed(old_a, first->epoch), leaving};
    const auto next = planner.Plan(moved, input);
    REQUIRE(next);
    CHECK_FALSE(Owns(*next, old_a));
    CHECK(next->retired.count(old_a) == 1);
  }
  SECTION("slots are assigned once it reports a new journal") {
    const JournalRef new_a = Ref("a", 3);
    input.homes = {Absorbed(new_a, first->epoch), leaving};
    const auto next = planner.Plan(moved, input);
    REQUIRE(next);
    CHECK(Owns(*next, new_a));
    CHECK(next->retired.count(old_a) == 0);
    CHECK(next->retired.count(b) == 1);
  }
}

}  // namespace
}  // namespace indigolead
