#include "store/listing_changes.h"

#include <catch2/catch.hpp>
#include <vector>

namespace indigolead {
namespace {

TEST_CASE("What has changed between two listings is told as changes") {
  const ObjectStore::Listing before{
      7, {{"targets/a", "ready", 3}, {"targets/b", "ready", 7}}};

  SECTION("an object that is new, one with another value, one that is gone") {
    const ObjectStore::Listing after{
        20, {{"targets/b", "leaving", 12}, {"targets/c", "ready", 15}}};
    CHECK(ChangesBetween(before, after) ==
          std::vector<WatchEvent>{{"targets/b", "leaving", 20},
                                  {"targets/c", "ready", 20},
                                  {"targets/a", std::nullopt, 20}});
  }
  SECTION("an object that was written again with the same value is none") {
    const ObjectStore::Listing after{
        20, {{"targets/a", "ready", 19}, {"targets/b", "ready", 20}}};
    CHECK(ChangesBetween(before, after).empty());
  }
  SECTION("an empty list has lost all") {
    CHECK(ChangesBetween(before, {9, {}}).size() == 2);
  }
}

}  // namespace
}  // namespace indigolead
