#include "core/membership/change_budget.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards against waits that each keep their own limit and together pass what
/// the operator allows.
TEST_CASE("The waits between a change and its use add up to the bounds") {
  const ChangeBounds bounds =
      GENERATE(ChangeBounds{seconds(2), seconds(3), milliseconds(1200)},
               ChangeBounds{seconds(3), seconds(4), milliseconds(1200)},
               ChangeBounds{seconds(4), seconds(5), milliseconds(1200)},
               ChangeBounds{seconds(5), seconds(5), milliseconds(1200)},
               ChangeBounds{seconds(2), seconds(3), milliseconds(1000)},
               ChangeBounds{seconds(10), seconds(8), milliseconds(2000)});
  const ChangeBudget budget = MakeChangeBudget(bounds);
  CHECK(budget.WhenCalm() <= bounds.in_force);
  CHECK(budget.WhenLost() <= 2 * bounds.heartbeat);
  CHECK(budget.WhenLost() + budget.use <= bounds.contact);
  CHECK(budget.AfterReturn() <= bounds.contact);

  SECTION("with time left for a thread that is late") {
    constexpr Duration kLate = milliseconds(300);
    CHECK(budget.WhenCalm() + 2 * kLate <= bounds.in_force);
    CHECK(budget.WhenLost() + kLate <= 2 * bounds.heartbeat);
    CHECK(budget.AfterReturn() + kLate <= bounds.contact);
  }
}

/// Guards against bounds that no division can keep and nobody is told of.
TEST_CASE("Bounds that are too tight are told") {
  SECTION("live targets are waited for less long before a bound is passed") {
    const ChangeBounds bounds{seconds(2), milliseconds(2000),
                              milliseconds(1200)};
    const ChangeBudget budget = MakeChangeBudget(bounds);
    CHECK(budget.absence_grace < seconds(2));
    CHECK(Holds(budget, bounds));
  }
  SECTION("a lost call would look like an outage") {
    const ChangeBounds bounds{seconds(1), milliseconds(1500),
                              milliseconds(500)};
    CHECK_FALSE(Holds(MakeChangeBudget(bounds), bounds));
  }
}

}  // namespace
}  // namespace indigolead
