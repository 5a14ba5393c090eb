#include "core/usage/usage_collector.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::seconds;

constexpr WallMicros kSecond = 1'000'000;
constexpr UsageWindow kWindow = 1000;
constexpr WallMicros kEnd = (kWindow + 1) * 5 * kSecond;

UsageCollector Collector() {
  UsageCollector::Options options;
  options.window = seconds(5);
  options.silent_after = seconds(10);
  return UsageCollector(options);
}

EntryUsage Entry(const std::string& name, WallMicros until,
                 std::vector<WindowCounts> windows = {}) {
  return {name,  Incarnation{{1, 1}}, kEnd - 60 * kSecond, until,
          false, std::move(windows)};
}

TEST_CASE("The counts of all entries are added up") {
  UsageCollector collector = Collector();
  CHECK_FALSE(collector.first());
  collector.OnListed(
      {Entry("front-1", kEnd, {{kWindow, {{"salon", 2}, {"owner", 1}}}}),
       Entry("front-2", kEnd,
             {{kWindow - 1, {{"salon", 9}}}, {kWindow, {{"salon", 3}}}})});
  CHECK(collector.first() == kWindow - 1);
  CHECK(collector.Sum(kWindow) ==
        WindowCounts{kWindow, {{"owner", 1}, {"salon", 5}}});
  CHECK(collector.Sum(kWindow + 1) == WindowCounts{kWindow + 1, {}});
}

TEST_CASE("A window is complete once no entry has more counts to report") {
  UsageCollector collector = Collector();
  EntryUsage other =
      Entry("front-2", kEnd - kSecond, {{kWindow, {{"salon", 1}}}});

  SECTION("not while an entry has reported only part of it") {
    collector.OnListed({Entry("front-1", kEnd), other});
    CHECK_FALSE(collector.IsComplete(kWindow));
    CHECK(collector.IsComplete(kWindow - 1));
  }
  SECTION("an entry that has ended is not waited for") {
    other.ended = true;
    collector.OnListed({Entry("front-1", kEnd), other});
    CHECK(collector.IsComplete(kWindow));
  }
  SECTION("an entry whose instance has restarted is not waited for") {
    EntryUsage next = Entry("front-2", kEnd);
    next.started_at = kEnd - kSecond / 2;
    collector.OnListed({Entry("front-1", kEnd), other, next});
    CHECK(collector.IsComplete(kWindow));
  }
  SECTION("an entry without counts is not waited for") {
    other.windows.clear();
    collector.OnListed({Entry("front-1", kEnd), other});
    CHECK(collector.IsComplete(kWindow));
  }
  SECTION("an entry that has been silent for long is not waited for") {
    other.counted_until = kEnd - 11 * kSecond;
    collector.OnListed({Entry("front-1", kEnd), other});
    CHECK(collector.IsComplete(kWindow));
  }
}

}  // namespace
}  // namespace indigolead
