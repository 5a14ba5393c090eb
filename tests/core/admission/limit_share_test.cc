#include "core/admission/limit_share.h"

#include <catch2/catch.hpp>
#include <string>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Standing = LimitShare::Standing;

constexpr TimePoint kNow{seconds(1000)};

EntryView ViewOf(std::size_t entries, std::size_t own = 0) {
  EntryView view;
  for (std::size_t n = 0; n < entries; ++n) {
    view.names.push_back("front-" + std::to_string(n));
  }
  view.own_name = view.names[own];
  view.listed_at = kNow;
  view.registered_at = kNow - seconds(60);
  return view;
}

TEST_CASE(
    "The shares of a limit add up to no more than the limit on fleets of any "
    "size") {
  const LimitShare shares({});
  const std::size_t entries = GENERATE(1, 4, 13, 14, 26, 103, 400);
  const double limit = GENERATE(0.0, 0.5, 5.0, 300.0);
  INFO(entries << " entries, limit " << limit);
  double sum = 0;
  std::size_t accumulating = 0;
  for (std::size_t n = 0; n < entries; ++n) {
    const RateShare share =
        shares.Compute("e1", limit, ViewOf(entries, n), Standing::kFresh);
    CHECK(share.per_second > 0);
    sum += share.per_second;
    accumulating += share.valid_for ? 0 : 1;
  }
  CHECK(sum <= std::max(limit, LimitShare::Options{}.min_limit_rps));
  CHECK(sum >= 0.75 * limit);
  // Each of them may have accumulated one request and send it at any time.
  CHECK(static_cast<double>(accumulating) <= 2 * limit + 3);
}

TEST_CASE("Different targets choose different entries as participants") {
  const LimitShare shares({});
  const EntryView view = ViewOf(400);
  int chosen = 0;
  for (int n = 0; n < 1000; ++n) {
    const RateShare share =
        shares.Compute("e" + std::to_string(n), 5, view, Standing::kFresh);
    chosen += share.valid_for ? 0 : 1;
  }
  // Each target chooses 13 of 400 entries.
  CHECK(chosen > 10);
  CHECK(chosen < 70);
}

TEST_CASE("An entry has a share while the other entries know it") {
  const LimitShare shares({});
  EntryView view = ViewOf(4);
  CHECK(shares.StandingOf(view, kNow) == Standing::kFresh);

  SECTION("none before all others have had the time to list it") {
    view.registered_at = kNow - seconds(6);
    CHECK(shares.StandingOf(view, kNow) == Standing::kNotJoined);
    CHECK(shares.StandingOf(view, kNow + seconds(1)) == Standing::kFresh);
  }
  SECTION("none after its registration is removed, or without a list") {
    view.registered_at.reset();
    CHECK(shares.StandingOf(view, kNow) == Standing::kNotJoined);
    view = ViewOf(4);
    view.listed_at.reset();
    CHECK(shares.StandingOf(view, kNow) == Standing::kNotJoined);
    CHECK(shares.Compute("e1", 5, view, Standing::kNotJoined) == RateShare{});
  }
  SECTION("half of the share while its own list is stale") {
    CHECK(shares.StandingOf(view, kNow + seconds(5)) == Standing::kStale);
    CHECK(shares.Compute("e1", 5, view, Standing::kStale).per_second ==
          shares.Compute("e1", 5, view, Standing::kFresh).per_second / 2);
  }
}

}  // namespace
}  // namespace indigolead
