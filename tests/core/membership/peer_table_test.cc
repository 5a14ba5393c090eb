#include "core/membership/peer_table.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace indigolead {
namespace {

Incarnation Run(std::uint64_t n) { return Incarnation{Id128{n, n}}; }

TEST_CASE("PeerTable keeps one link per run, instance and direction") {
  PeerTable table(PeerTable::Options{4, 8, 2});
  using Replaced = std::vector<std::uint64_t>;
  REQUIRE(table.OnHello("a", Run(1), LinkDirection::kAccepted, 1).verdict ==
          HelloVerdict::kAccept);

  SECTION("a second connection of the same run replaces the first") {
    const auto decision =
        table.OnHello("a", Run(1), LinkDirection::kAccepted, 2);
    CHECK(decision.verdict == HelloVerdict::kAccept);
    CHECK(decision.replaced == Replaced{1});
    CHECK(table.link_count() == 1);
  }
  SECTION("a link in the other direction is kept") {
    const auto decision = table.OnHello("a", Run(1), LinkDirection::kOpened, 2);
    CHECK(decision.replaced.empty());
    CHECK(table.link_count() == 2);
  }
  SECTION("a later run replaces both links and the earlier run is refused") {
    table.OnHello("a", Run(1), LinkDirection::kOpened, 2);
    const auto decision =
        table.OnHello("a", Run(2), LinkDirection::kAccepted, 3);
    CHECK(decision.replaced == Replaced{2, 1});
    CHECK(table.OnHello("a", Run(1), LinkDirection::kAccepted, 4).verdict ==
          HelloVerdict::kSuperseded);
    CHECK(table.link_count() == 1);

    table.OnDown(3);
    CHECK(table.OnHello("a", Run(1), LinkDirection::kAccepted, 5).verdict ==
          HelloVerdict::kSuperseded);
  }
  SECTION("a full table refuses new instances but accepts known ones again") {
    for (std::uint64_t n = 2; n <= 4; ++n) {
      table.OnHello("p" + std::to_string(n), Run(n), LinkDirection::kAccepted,
                    n);
    }
    CHECK(table.OnHello("z", Run(9), LinkDirection::kAccepted, 9).verdict ==
          HelloVerdict::kFull);
    CHECK(table.OnHello("a", Run(1), LinkDirection::kAccepted, 10).verdict ==
          HelloVerdict::kAccept);
    CHECK(table.link_count() == 4);
  }
  SECTION("instances without a link are forgotten, oldest first") {
    for (std::uint64_t n = 2; n < 40; ++n) {
      table.OnHello("q" + std::to_string(n), Run(n), LinkDirection::kAccepted,
                    n);
      table.OnDown(n);
    }
    CHECK(table.instance_count() == 8);
    CHECK(table.link_count() == 1);
  }
}

}  // namespace
}  // namespace indigolead
