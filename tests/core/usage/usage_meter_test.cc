#include "core/usage/usage_meter.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::seconds;

constexpr WallMicros kSecond = 1'000'000;
constexpr UsageWindow kFirst = 353'445'120;
constexpr WallMicros kBegin = kFirst * 5 * kSecond;

UsageMeter::Options FiveSeconds() {
  UsageMeter::Options options;
  options.window = seconds(5);
  options.written_retention = seconds(20);
  options.max_windows = 4;
  return options;
}

TEST_CASE("Requests are counted in the window in which they started") {
  UsageMeter meter(FiveSeconds());
  meter.Count("salon", kBegin);
  meter.Count("salon", kBegin + 5 * kSecond - 1);
  meter.Count("owner", kBegin + 5 * kSecond - 1);
  meter.Count("salon", kBegin + 5 * kSecond);
  CHECK(meter.windows() ==
        std::vector<WindowCounts>{{kFirst, {{"owner", 1}, {"salon", 2}}},
                                  {kFirst + 1, {{"salon", 1}}}});
}

TEST_CASE("Counts are kept until they have been stored long enough") {
  UsageMeter meter(FiveSeconds());
  TimePoint now{seconds(100)};
  meter.Count("salon", kBegin + kSecond);
  CHECK(meter.has_unwritten_counts());

  SECTION("the current window is never dropped") {
    meter.OnWritten(meter.request_count(), kBegin + 2 * kSecond, now);
    meter.OnWritten(meter.request_count(), kBegin + 4 * kSecond,
                    now + seconds(60));
    CHECK_FALSE(meter.has_unwritten_counts());
    CHECK(meter.windows().size() == 1);
  }
  SECTION("a past window is dropped some time after its complete write") {
    meter.OnWritten(meter.request_count(), kBegin + 6 * kSecond, now);
    CHECK(meter.windows().size() == 1);
    meter.OnWritten(meter.request_count(), kBegin + 25 * kSecond,
                    now + seconds(19));
    CHECK(meter.windows().size() == 1);
    meter.OnWritten(meter.request_count(), kBegin + 26 * kSecond,
                    now + seconds(20));
    CHECK(meter.windows().empty());
  }
  SECTION("a request counted during the write keeps the window") {
    const std::uint64_t request_count = meter.request_count();
    meter.Count("salon", kBegin + 2 * kSecond);
    meter.OnWritten(request_count, kBegin + 6 * kSecond, now);
    CHECK(meter.has_unwritten_counts());
    meter.OnWritten(meter.request_count(), kBegin + 26 * kSecond,
                    now + seconds(20));
    CHECK(meter.windows().size() == 1);
  }
  SECTION("without writes the oldest windows are dropped and counted as lost") {
    for (int n = 1; n < 6; ++n) {
      meter.Count("owner", kBegin + WallMicros{n} * 5 * kSecond);
    }
    CHECK(meter.windows().size() == 4);
    CHECK(meter.windows().front().window == kFirst + 2);
    CHECK(meter.lost() == 2);
  }
}

}  // namespace
}  // namespace indigolead
