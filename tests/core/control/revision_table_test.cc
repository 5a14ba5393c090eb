#include "core/control/revision_table.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

RevisionRecord Record(std::uint64_t number, std::uint64_t digest = 0) {
  return {"brief-llm", number, digest ? digest : number * 10,
          "value " + std::to_string(number)};
}

RevisionPeer Peer(const std::string& name, std::uint64_t run,
                  const std::string& deployment = "") {
  return {name, Incarnation{{run, run}}, deployment};
}

TEST_CASE("RevisionTable never returns to an older revision") {
  RevisionTable table({});
  REQUIRE(table.Offer(Record(5)) == RevisionOutcome::kNewer);

  SECTION("a stale read or a peer that is behind changes nothing") {
    CHECK(table.Offer(Record(4)) == RevisionOutcome::kOlder);
    CHECK(table.Find("brief-llm")->number == 5);
  }
  SECTION("a repeated revision is no change") {
    CHECK(table.Offer(Record(5)) == RevisionOutcome::kSame);
  }
  SECTION("another digest for a known number is an error, the first stays") {
    CHECK(table.Offer(Record(5, 999)) == RevisionOutcome::kMismatch);
    CHECK(table.Find("brief-llm")->digest == 50);
  }
  SECTION("numbers may be skipped") {
    CHECK(table.Offer(Record(9)) == RevisionOutcome::kNewer);
    CHECK(table.Find("brief-llm")->value == "value 9");
  }
  SECTION("the number of deployments is bounded") {
    RevisionTable small({.max_deployments = 1});
    small.Offer(Record(1));
    RevisionRecord other = Record(1);
    other.deployment = "alert-app";
    CHECK(small.Offer(other) == RevisionOutcome::kLimitReached);
    CHECK(small.Offer(Record(2)) == RevisionOutcome::kNewer);
  }
}

TEST_CASE("RevisionTable returns the revisions that a peer lacks") {
  RevisionTable table({});
  table.Offer(Record(5));
  RevisionRecord other = Record(2);
  other.deployment = "alert-app";
  table.Offer(other);

  SECTION("a process without revisions gets all") {
    CHECK(table.NewerThan({}, "").size() == 2);
  }
  SECTION("a side gets its own deployment only") {
    CHECK(table.NewerThan({}, "alert-app") == std::vector{other});
  }
  SECTION("a peer that is ahead gets nothing") {
    CHECK(table.NewerThan({{"brief-llm", 6}, {"alert-app", 2}}, "").empty());
  }
}

TEST_CASE("RevisionTable lists the peers that have not applied a revision") {
  RevisionTable table({});
  const TimePoint t0{seconds(100)};
  table.Offer(Record(5));
  table.OnPeerUp(Peer("entry-b", 1), t0);
  table.OnPeerUp(Peer("side-1", 2, "brief-llm"), t0);
  table.OnPeerUp(Peer("side-2", 3, "alert-app"), t0);
  table.OnApplied("entry-b", Incarnation{{1, 1}}, "brief-llm", 5);
  CHECK(table.RolloutOf("brief-llm").waiting_for ==
        std::vector<std::string>{"side-1"});
  table.OnApplied("side-1", Incarnation{{2, 2}}, "brief-llm", 5);
  REQUIRE(table.RolloutOf("brief-llm").everywhere());

  SECTION("a late report of an older revision is ignored") {
    table.OnApplied("side-1", Incarnation{{2, 2}}, "brief-llm", 4);
    CHECK(table.RolloutOf("brief-llm").everywhere());
  }
  SECTION("a restarted process counts as waiting until it reports") {
    table.OnPeerUp(Peer("side-1", 7, "brief-llm"), t0);
    table.OnApplied("side-1", Incarnation{{2, 2}}, "brief-llm", 5);
    CHECK_FALSE(table.RolloutOf("brief-llm").everywhere());
  }
  SECTION("a silent peer that is behind is unknown, then forgotten") {
    table.OnPeerDown("side-1", Incarnation{{2, 2}}, t0);
    table.Offer(Record(6));
    table.OnApplied("entry-b", Incarnation{{1, 1}}, "brief-llm", 6);
    CHECK(table.RolloutOf("brief-llm").unknown_since.contains("side-1"));
    CHECK_FALSE(table.RolloutOf("brief-llm").everywhere());
    table.Tick(t0 + minutes(11));
    CHECK(table.RolloutOf("brief-llm").everywhere());
  }
}

}  // namespace
}  // namespace indigolead
