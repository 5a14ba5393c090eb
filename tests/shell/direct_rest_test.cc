// What targets say of themselves in their answers, in random worlds.

#include <catch2/catch.hpp>

#include "tests/support/direct_world.h"

namespace indigolead::testing {
namespace {

constexpr std::uint64_t kWorlds = 150;

/// Checks that no promise is broken in the worlds. Returns the sums.
DirectWorldReport PlayWorlds(const DirectWorldOptions& options) {
  DirectWorldReport total;
  int broken = 0;
  for (std::uint64_t seed = 1; seed <= kWorlds && broken < 10; ++seed) {
    const DirectWorldReport report = PlayDirectWorld(seed, options);
    INFO("world " << seed);
    for (const std::string& it : report.violations) {
      UNSCOPED_INFO(it);
    }
    CHECK(report.violations.empty());
    broken += report.violations.empty() ? 0 : 1;
    total.requests += report.requests;
    total.answered += report.answered;
    total.rests += report.rests;
    total.leaving += report.leaving;
  }
  return total;
}

/// Guards against calls of any kind, decided before or after, to a target that
/// has asked the entry for rest.
TEST_CASE("A target at rest gets nothing in random worlds") {
  const DirectWorldReport total = PlayWorlds({.rests = true});
  CHECK(total.rests > 300);
  CHECK(total.answered > total.requests / 4);
}

/// Guards against requests to a target that has said in an answer that it
/// leaves, whatever the list of targets says.
TEST_CASE(
    "A target that says that it leaves gets no request in random worlds") {
  const DirectWorldReport total = PlayWorlds({.leaving = true});
  CHECK(total.leaving > 300);
  CHECK(total.answered > total.requests / 4);
}

}  // namespace
}  // namespace indigolead::testing
