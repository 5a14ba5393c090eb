#include "core/membership/entry_roster.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::seconds;

using Records = std::vector<RosterRecord>;

TEST_CASE("EntryRoster counts entries whose registrations are renewed") {
  EntryRoster roster({"b"});
  const TimePoint start{seconds(1000)};

  SECTION("only the own entry counts before the first list") {
    CHECK_FALSE(roster.listed());
    CHECK(roster.live(start) == 1);
  }
  SECTION("the own entry counts once, listed or not") {
    roster.OnListed({{"a", 7}}, start);
    CHECK(roster.live(start) == 2);
    roster.OnListed({{"a", 7}, {"b", 8}}, start);
    CHECK(roster.live(start) == 2);
  }
  SECTION("an entry that is not renewed counts until it expires") {
    roster.OnListed({{"b", 8}, {"c", 9}}, start);
    roster.OnListed({{"b", 10}, {"c", 9}}, start + seconds(100));
    CHECK(roster.live(start + seconds(149)) == 2);
    CHECK(roster.live(start + seconds(150)) == 1);

    SECTION("and is then deleted at the version seen") {
      CHECK(roster.ToDelete(start + seconds(149)).empty());
      CHECK(roster.ToDelete(start + seconds(150)) == Records{{"c", 9}});
    }
    SECTION("unless it is renewed late") {
      roster.OnListed({{"b", 10}, {"c", 11}}, start + seconds(160));
      CHECK(roster.live(start + seconds(160)) == 2);
      CHECK(roster.ToDelete(start + seconds(160)).empty());
    }
  }
  SECTION("the own entry never expires, since its writes may be lost") {
    roster.OnListed({{"b", 8}}, start);
    CHECK(roster.live(start + seconds(900)) == 1);
    CHECK(roster.ToDelete(start + seconds(900)).empty());
  }
  SECTION("only the entry with the smallest name deletes") {
    roster.OnListed({{"a", 1}, {"b", 2}, {"c", 3}}, start);
    roster.OnListed({{"a", 4}, {"b", 2}, {"c", 3}}, start + seconds(140));
    CHECK(roster.ToDelete(start + seconds(151)).empty());
  }
  SECTION("a deleted registration no longer counts") {
    roster.OnListed({{"b", 2}, {"c", 3}}, start);
    roster.OnListed({{"b", 2}}, start + seconds(1));
    CHECK(roster.live(start + seconds(1)) == 1);
  }
}

}  // namespace
}  // namespace indigolead
