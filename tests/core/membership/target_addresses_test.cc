#include "core/membership/target_addresses.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using Ids = TargetAddresses::Ids;

TEST_CASE("TargetAddresses finds all targets at an address") {
  TargetAddresses addresses;
  addresses.Set("old", "10.0.0.1:80");
  addresses.Set("new", "10.0.0.1:80");
  addresses.Set("other", "10.0.0.2:80");
  CHECK(*addresses.Find("old") == "10.0.0.1:80");
  CHECK(addresses.TargetsAt("10.0.0.1:80") == Ids{"new", "old"});
  CHECK(addresses.Find("unknown") == nullptr);
  CHECK(addresses.TargetsAt("10.0.0.9:80").empty());

  SECTION("a removed target is no longer found") {
    addresses.Remove("old");
    CHECK(addresses.Find("old") == nullptr);
    CHECK(addresses.TargetsAt("10.0.0.1:80") == Ids{"new"});
    addresses.Remove("new");
    CHECK(addresses.TargetsAt("10.0.0.1:80").empty());
  }

  SECTION("a target that moves is found at its new address only") {
    addresses.Set("old", "10.0.0.2:80");
    CHECK(addresses.TargetsAt("10.0.0.1:80") == Ids{"new"});
    CHECK(addresses.TargetsAt("10.0.0.2:80") == Ids{"old", "other"});
  }
}

}  // namespace
}  // namespace indigolead
