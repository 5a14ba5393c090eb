#include "store/call_tally.h"

#include <catch2/catch.hpp>
#include <vector>

namespace indigolead {
namespace {

using std::chrono::seconds;

// An operator sees that the fleet asks too much of the store, and wants to know
// which of its duties does.
TEST_CASE("Calls of the store are told by what they asked for") {
  std::vector<EventFields> lines;
  CallTally tally([&lines](const EventInfo&, const EventFields& fields) {
    lines.push_back(fields);
  });
  TimePoint now{seconds(1000)};
  tally.Tick(now);
  tally.Add("store.watch", "servers");
  tally.Add("store.watch", "servers");
  tally.Add("store.get", "control");

  SECTION("nothing before the interval is over") {
    tally.Tick(now + seconds(9));
    CHECK(lines.empty());
  }
  SECTION("then one line, by step and kind") {
    tally.Tick(now + seconds(10));
    REQUIRE(lines.size() == 1);
    CHECK(lines[0] == EventFields{{"seconds", "10.000000"},
                                  {"store.get.control", "1"},
                                  {"store.watch.servers", "2"}});
    SECTION("and the next one counts anew") {
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
