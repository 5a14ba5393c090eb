#include "store/listing_changes.h"

#include <catch2/catch.hpp>
#include <vector>

namespace indigolead {
namespace {

TEST_CASE("DiffListings returns the difference of two listings") {
  const ObjectStore::Listing before{
      7, {{"targets/a", "ready", 3}, {"targets/b", "ready", 7}}};

  SECTION("reports new, modified and deleted objects") {
    const ObjectStore::Listing after{
        20, {{"targets/b", "leaving", 12}, {"targets/c", "ready", 15}}};
    CHECK(DiffListings(before, after) ==
          std::vector<WatchEvent>{{"targets/b", "leaving", 20},
                                  {"targets/c", "ready", 20},
                                  {"targets/a", std::nullopt, 20}});
  }
  SECTION("ignores an object rewritten with the same value") {
    const ObjectStore::Listing after{
        20, {{"targets/a", "ready", 19}, {"targets/b", "ready", 20}}};
    CHECK(DiffListings(before, after).empty());
  }
  SECTION("reports all objects as deleted for an empty listing") {
    CHECK(DiffListings(before, {9, {}}).size() == 2);
  }
}

}  // namespace
}  // namespace indigolead
