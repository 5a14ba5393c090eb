#include "core/admission/retry_allowance.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <vector>

#include "core/admission/retry_budget.h"
#include "core/base/random.h"

namespace indigolead {
namespace {

TEST_CASE("The allowance is parted among the entries") {
  const RetryAllowance allowance{50, 0.8, 64};
  CHECK(allowance.PartOf(4) == Approx(10));
  CHECK(allowance.PartOf(100) == Approx(0.4));
  CHECK(allowance.PartOf(0) == Approx(40));
  CHECK(allowance.PartOf(std::nullopt) == Approx(0.625));
}

/// Entries of one fleet, each bounded alone.
struct Fleet {
  Fleet(std::size_t entries, const RetryAllowance& allowance, double share) {
    options.share = share;
    options.burst = std::max(allowance.PartOf(entries), kAttempt);
    budgets.assign(entries, RetryBudget(options));
  }

  static constexpr double kAttempt = 2;  ///< Arrivals of one attempt.
  RetryBudget::Options options;
  std::vector<RetryBudget> budgets;
};

// A failure domain is lost: every attempt fails at once, every request wants
// further attempts, and processes are killed and start anew all the while. In
// no window may the targets of a service see more further arrivals than the
// operator's bound; and some must be allowed, on a large fleet too.
TEST_CASE("A fleet of any size keeps the bound on further arrivals") {
  const std::size_t entries = GENERATE(1, 4, 25, 100, 420);
  const std::size_t window = GENERATE(500, 4000, 40000);  // Requests.
  constexpr double kRatio = 0.2;
  constexpr double kShare = 0.7 * kRatio;
  constexpr double kSlack = 88;
  const auto requests = static_cast<double>(window);
  const double saved = Fleet::kAttempt * static_cast<double>(entries);
  if (saved > kSlack + (kRatio - kShare) * requests) {
    return;  // One attempt saved up at each entry is more than the bound has.
  }
  INFO(entries << " entries, " << window << " requests in a window");
  Fleet fleet(entries, RetryAllowance{kSlack}, kShare);
  const RandomSource random = MakeSeededRandom(4711);
  std::deque<double> further;
  double in_window = 0;
  double worst = 0;
  for (std::size_t step = 0; step < 6 * window; ++step) {
    // A calm time first, in which everyone saves up.
    const bool failing = step > 3 * window;
    RetryBudget& budget = fleet.budgets[random() % entries];
    budget.OnFirstAttempt();
    double arrivals = 0;
    for (int wish = 0; failing && wish < 4; ++wish) {
      arrivals += budget.TryTake(Fleet::kAttempt) ? Fleet::kAttempt : 0;
    }
    if (failing && random() % 100 == 0) {
      fleet.budgets[random() % entries] = RetryBudget(fleet.options);
    }
    further.push_back(arrivals);
    in_window += arrivals;
    if (further.size() > window) {
      in_window -= further.front();
      further.pop_front();
    }
    worst = std::max(worst, in_window);
  }
  INFO("further arrivals in the worst window: " << worst);
  CHECK(worst <= kRatio * requests + kSlack);
  CHECK(worst > 0);
}

}  // namespace
}  // namespace indigolead
