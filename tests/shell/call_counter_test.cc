#include "store/call_counter.h"

#include <catch2/catch.hpp>
#include <vector>

namespace indigolead {
namespace {

using std::chrono::seconds;

// The counts show an operator which kind of call causes the load on the store.
TEST_CASE("CallCounter logs store calls by step and kind of object") {
  std::vector<EventFields> lines;
  CallCounter counter([&lines](const EventInfo&, const EventFields& fields) {
    lines.push_back(fields);
  });
  TimePoint now{seconds(1000)};
  counter.Tick(now);
  counter.Add("store.watch", "servers");
  counter.Add("store.watch", "servers");
  counter.Add("store.get", "control");

  SECTION("logs nothing before the interval is over") {
    counter.Tick(now + seconds(9));
    CHECK(lines.empty());
  }
  SECTION("logs one record after the interval") {
    counter.Tick(now + seconds(10));
    REQUIRE(lines.size() == 1);
    CHECK(lines[0] == EventFields{{"seconds", "10.000000"},
                                  {"store.get.control", "1"},
                                  {"store.watch.servers", "2"}});
    SECTION("resets the counts after each record") {
      counter.Add("store.put", "entries");
      counter.Tick(now + seconds(20));
      REQUIRE(lines.size() == 2);
      CHECK(lines[1] ==
            EventFields{{"seconds", "10.000000"}, {"store.put.entries", "1"}});
    }
  }
}

}  // namespace
}  // namespace indigolead
