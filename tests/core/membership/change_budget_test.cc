#include "core/membership/change_budget.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards against delays that each keep their own limit but together exceed the
/// operator's bounds.
TEST_CASE("The delays between a change and its use stay within the bounds") {
  const ChangeBounds bounds =
      GENERATE(ChangeBounds{seconds(2), seconds(3), milliseconds(1200)},
               ChangeBounds{seconds(3), seconds(4), milliseconds(1200)},
               ChangeBounds{seconds(4), seconds(5), milliseconds(1200)},
               ChangeBounds{seconds(5), seconds(5), milliseconds(1200)},
               ChangeBounds{seconds(2), seconds(3), milliseconds(1000)},
               ChangeBounds{seconds(10), seconds(8), milliseconds(2000)});
  const ChangeBudget budget = MakeChangeBudget(bounds);
  CHECK(budget.NormalDelay() <= bounds.in_force);
  CHECK(budget.LostCallDelay() <= 2 * bounds.heartbeat);
  CHECK(budget.LostCallDelay() + budget.dispatch_delay <= bounds.recovery);
  CHECK(budget.RecoveryDelay() <= bounds.recovery);

  SECTION("with a margin for a thread that runs late") {
    constexpr Duration kLate = milliseconds(300);
    CHECK(budget.NormalDelay() + 2 * kLate <= bounds.in_force);
    CHECK(budget.LostCallDelay() + kLate <= 2 * bounds.heartbeat);
    CHECK(budget.RecoveryDelay() + kLate <= bounds.recovery);
  }
}

/// Guards against bounds that cannot be kept without any report of it.
TEST_CASE("Bounds that are too tight are reported") {
  SECTION("the absence grace is shortened before a bound is exceeded") {
    const ChangeBounds bounds{seconds(2), milliseconds(2000),
                              milliseconds(1200)};
    const ChangeBudget budget = MakeChangeBudget(bounds);
    CHECK(budget.absence_grace < seconds(2));
    CHECK(IsWithinBounds(budget, bounds));
  }
  SECTION("a lost call that would count as an outage is reported") {
    const ChangeBounds bounds{seconds(1), milliseconds(1500),
                              milliseconds(500)};
    CHECK_FALSE(IsWithinBounds(MakeChangeBudget(bounds), bounds));
  }
}

}  // namespace
}  // namespace indigolead
