#include "store/call_tally.h"

#include <catch2/catch.hpp>
#include <vector>

namespace indigolead {
namespace {

using std::chrono::seconds;

// The counts show an operator which kind of call causes the load on the store.
TEST_CASE("CallCounter logs store calls by step and kind of object") {
  std::vector<EventFields> lines;
  CallTally tally([&lines](const EventInfo&, const EventFields& fields) {
    lines.push_back(fields);
  });
  TimePoint now{seconds(1000)};
  tally.Tick(now);
  tally.Add("store.watch", "servers");
  tally.Add("store.watch", "servers");
  tally.Add("store.get", "control");

  SECTION("logs nothing before the interval is over") {
    tally.Tick(now + seconds(9));
    CHECK(lines.empty());
  }
  SECTION("logs one record after the interval") {
    tally.Tick(now + seconds(10));
    REQUIRE(lines.size() == 1);
    CHECK(lines[0] == EventFields{{"seconds", "10.000000"},
                                  {"store.get.control", "1"},
                                  {"store.watch.servers", "2"}});
    SECTION("resets the counts after each record") {
      tally.Add("store.put", "entries");
      tally.Tick(now + seconds(20));
      REQUIRE(lines.size() == 2);
      CHECK(lines[1] ==
            EventFields{{"seconds", "10.000000"}, {"store.put.entries", "1"}});
    }
  }
}

}  // namespace
}  // namespace indigolead
