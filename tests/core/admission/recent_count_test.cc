#include "core/admission/recent_count.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

TEST_CASE("RecentCount reports when enough events have left the window") {
  RecentCount count(seconds(4));
  CHECK(count.UntilAtMost(0, kStart) == Duration{0});
  for (int n = 0; n < 10; ++n) {
    count.Add(kStart + n * milliseconds(400));
  }
  const TimePoint now = kStart + milliseconds(3600);
  CHECK(count.UntilAtMost(10, now) == Duration{0});
  // The result is late by at most a tenth of the window and never early.
  for (std::uint64_t n = 0; n < 10; ++n) {
    const TimePoint last_gone =
        kStart + (9 - static_cast<int>(n)) * milliseconds(400) + seconds(4);
    const TimePoint at = now + count.UntilAtMost(n, now);
    CHECK(at >= last_gone);
    CHECK(at <= last_gone + milliseconds(400));
  }
  CHECK(count.UntilAtMost(0, now + seconds(10)) == Duration{0});
}

}  // namespace
}  // namespace indigolead
