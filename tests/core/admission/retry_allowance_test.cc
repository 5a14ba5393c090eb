#include "core/admission/retry_allowance.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <vector>

#include "core/admission/entry_retry_budget.h"
#include "core/admission/recent_count.h"
#include "core/base/random.h"

namespace indigolead {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(1000)};

/// Returns the view of one of `entries` entries that joined long ago.
EntryView ViewOf(std::size_t entries) {
  EntryView view;
  view.own_name = "e1";
  view.names.assign(entries, "e1");
  view.listed_at = kNow;
  view.registered_at = kNow - std::chrono::hours(1);
  return view;
}

TEST_CASE("The allowance is divided equally among the entries") {
  RetryAllowance allowance;
  allowance.arrivals = 50;
  CHECK(allowance.PartOf(ViewOf(4), kNow) == RetryPart{7.5, 3.75});
  CHECK(allowance.PartOf(ViewOf(100), kNow) == RetryPart{0.3, 0.15});
  CHECK(allowance.PartOf(ViewOf(0), kNow) == RetryPart{30, 15});
}

/// Guards against parts computed from lists that lack entries, and parts of
/// entries that others do not count.
TEST_CASE("An entry has a part only while all lists contain it") {
  const RetryAllowance allowance;
  EntryView view = ViewOf(4);
  REQUIRE(allowance.PartOf(view, kNow).saved > 0);

  SECTION("none before it has been on every list") {
    view.registered_at = kNow - std::chrono::seconds(29);
    CHECK(allowance.PartOf(view, kNow) == RetryPart{});
    CHECK(allowance.PartOf(view, kNow + std::chrono::seconds(1)).saved > 0);
  }
  SECTION("none after its registration is removed") {
    view.registered_at.reset();
    CHECK(allowance.PartOf(view, kNow) == RetryPart{});
  }
  SECTION("none with a stale list, or without a list") {
    CHECK(allowance.PartOf(view, kNow + std::chrono::seconds(22)) ==
          RetryPart{});
    view.listed_at.reset();
    CHECK(allowance.PartOf(view, kNow) == RetryPart{});
  }
}

TEST_CASE("The used part of an entry is refilled within two windows") {
  TimePoint now{std::chrono::seconds(1000)};
  EntryRetryBudget budget({.share = 0, .part = {6, 3}});
  CHECK_FALSE(budget.TryTake(1, now));  // A process starts empty.
  now += std::chrono::seconds(4);
  CHECK(budget.TryTake(1, now));
  CHECK_FALSE(budget.TryTake(1, now));
  now += std::chrono::seconds(100);
  CHECK(budget.TryTake(6, now));
  CHECK_FALSE(budget.TryTake(1, now));
  now += std::chrono::seconds(10);
  CHECK(budget.TryTake(3, now));
  CHECK_FALSE(budget.TryTake(1, now));
}

/// Entries of one fleet, each with its own budget.
struct Fleet {
  Fleet(std::size_t entries, const RetryAllowance& allowance, double share) {
    options.share = share;
    options.part = allowance.PartOf(ViewOf(entries), kNow);
    options.min_saved = kAttempt;
    budgets.assign(entries, EntryRetryBudget(options));
  }

  static constexpr double kAttempt = 2;  ///< Arrivals per attempt.
  EntryRetryBudget::Options options;
  std::vector<EntryRetryBudget> budgets;
};

// Guards against exceeding the operator's limit on retries and hedges when a
// failure domain is lost: every attempt fails, every request wants further
// attempts, and all processes are killed and restarted five times per window.
// Some further attempts must be allowed on large fleets too.
TEST_CASE("A fleet of any size stays within the limit on further arrivals") {
  const std::size_t entries = GENERATE(1, 4, 25, 100, 420);
  const std::size_t window = GENERATE(500, 4000, 40000);  // Requests.
  constexpr double kRatio = 0.2;
  constexpr double kShare = 0.7 * kRatio;
  constexpr double kSlack = 88;
  const auto requests = static_cast<double>(window);
  const double saved = Fleet::kAttempt * static_cast<double>(entries);
  RetryAllowance allowance;
  allowance.arrivals = kSlack;
  if (saved >
      (1 - allowance.share_refilled) * kSlack + (kRatio - kShare) * requests) {
    return;  // One accumulated attempt per entry already exceeds the limit.
  }
  INFO(entries << " entries, " << window << " requests in a window");
  Fleet fleet(entries, allowance, kShare);
  const RandomSource random = MakeSeededRandom(4711);
  TimePoint now{std::chrono::seconds(1000)};
  const auto gap = std::chrono::duration_cast<Duration>(
      fleet.options.window / static_cast<double>(window));
  std::deque<double> further;
  double in_window = 0;
  double worst = 0;
  for (std::size_t step = 0; step < 6 * window; ++step) {
    now += gap;
    // All entries accumulate retries before the failures start.
    const bool failing = step > 3 * window;
    EntryRetryBudget& budget = fleet.budgets[random() % entries];
    budget.OnRequest(now);
    double arrivals = 0;
    for (int retry_index = 0; failing && retry_index < 4; ++retry_index) {
      arrivals += budget.TryTake(Fleet::kAttempt, now) ? Fleet::kAttempt : 0;
    }
    if (step > 4 * window && step % (window / 5) == 0) {  // All restart.
      fleet.budgets.assign(entries, EntryRetryBudget(fleet.options));
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

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Fleet whose entries have 2.3 requests per second each for one service, a
/// third of which may be retried.
class LightLoadFleet {
 public:
  static constexpr double kRatio = 0.2;
  static constexpr double kSlack = 246;
  static constexpr std::size_t kEntries = 100;
  static constexpr double kRequestsPerSecond = 230;

  explicit LightLoadFleet(double saved_per_request) {
    RetryAllowance allowance;
    allowance.arrivals = kSlack;
    options_.share = 0.7 * kRatio;
    options_.part = allowance.PartOf(ViewOf(kEntries), kNow);
    options_.saved_per_request = saved_per_request;
    Restart();
  }

  void Restart() { budgets_.assign(kEntries, EntryRetryBudget(options_)); }

  /// Simulates `length`; `failing` is the probability that a request wants
  /// `wanted_attempts` further attempts.
  void Run(Duration length, double failing, int wanted_attempts) {
    const TimePoint end = now_ + length;
    while (now_ < end) {
      now_ += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(1 / kRequestsPerSecond));
      EntryRetryBudget& budget = budgets_[random_() % kEntries];
      budget.OnRequest(now_);
      requests_.push_back(now_);
      const bool fails = ToUnitInterval(random_()) < failing;
      for (int it = 0; fails && it < wanted_attempts; ++it) {
        ++wanted;
        if (budget.TryTake(1, now_)) {
          ++granted;
          further_.push_back(now_);
        }
      }
      UpdateWorst();
    }
  }

  int wanted = 0;
  int granted = 0;
  /// Maximum ratio, over all windows, of further arrivals to the operator's
  /// limit.
  double worst = 0;

 private:
  void UpdateWorst() {
    constexpr Duration kWindow = seconds(10);
    while (!further_.empty() && further_.front() <= now_ - kWindow) {
      further_.pop_front();
    }
    while (!requests_.empty() && requests_.front() <= now_ - kWindow) {
      requests_.pop_front();
    }
    const double allowed =
        kRatio * static_cast<double>(requests_.size()) + kSlack;
    worst = std::max(worst, static_cast<double>(further_.size()) / allowed);
  }

  EntryRetryBudget::Options options_;
  std::vector<EntryRetryBudget> budgets_;
  std::deque<TimePoint> further_;
  std::deque<TimePoint> requests_;
  TimePoint now_{seconds(1000)};
  RandomSource random_ = MakeSeededRandom(20261203);
};

// For a third of the requests, one answer in seven is a failure that a retry at
// another target would avoid. Callers get 0.85 of the possible retries with
// parts of the allowance alone, and 0.96 if an entry's own requests raise the
// number that it may accumulate.
TEST_CASE(
    "Entries with little traffic have a retry available when an attempt "
    "fails") {
  constexpr double kFailing = 0.14 / 3;
  LightLoadFleet before(0);
  LightLoadFleet now(0.15 * LightLoadFleet::kRatio);
  for (LightLoadFleet* it : {&before, &now}) {
    it->Run(seconds(15), 0, 0);
    it->Run(seconds(60), kFailing, 1);
  }
  const double share_before = 1.0 * before.granted / before.wanted;
  const double share_now = 1.0 * now.granted / now.wanted;
  CAPTURE(share_before, share_now);
  CHECK(share_now > share_before + 0.05);
  CHECK(share_now > 0.95);
  CHECK(now.worst < 1);
}

// Guards against exceeding the operator's limit in any window when a failure
// domain is lost while all entries have accumulated their maximum: every
// request wants four further attempts, and all processes are killed and
// restarted twice.
TEST_CASE("Retries accumulated from traffic stay within the operator's limit") {
  LightLoadFleet fleet(0.15 * LightLoadFleet::kRatio);
  fleet.Run(seconds(30), 0, 0);
  fleet.Run(seconds(4), 1, 4);
  fleet.Restart();
  fleet.Run(seconds(5), 1, 4);
  fleet.Restart();
  fleet.Run(seconds(20), 1, 4);
  CAPTURE(fleet.worst);
  CHECK(fleet.worst <= 1);
  CHECK(fleet.worst > 0.5);
}

TEST_CASE("RecentCount counts the events of one window") {
  RecentCount count(seconds(10));
  TimePoint now{seconds(1000)};
  for (int it = 0; it < 100; ++it) {
    now += milliseconds(100);
    count.Add(now);
  }
  CHECK(count.Count(now) >= 90);
  CHECK(count.Count(now) <= 100);
  CHECK(count.Count(now + seconds(5)) <= 50);
  CHECK(count.Count(now + seconds(10)) <= 1);
  CHECK(count.Count(now + seconds(1000)) == 0);
}

}  // namespace
}  // namespace indigolead
