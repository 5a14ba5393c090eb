#include "core/control/revision_book.h"

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
  RevisionBook book({});
  REQUIRE(book.Offer(Record(5)) == RevisionOutcome::kNewer);

  SECTION("a stale read or a peer that is behind changes nothing") {
    CHECK(book.Offer(Record(4)) == RevisionOutcome::kOlder);
    CHECK(book.Find("brief-llm")->number == 5);
  }
  SECTION("a repeated revision is no change") {
    CHECK(book.Offer(Record(5)) == RevisionOutcome::kSame);
  }
  SECTION("another digest for a known number is an error, the first stays") {
    CHECK(book.Offer(Record(5, 999)) == RevisionOutcome::kMismatch);
    CHECK(book.Find("brief-llm")->digest == 50);
  }
  SECTION("numbers may be skipped") {
    CHECK(book.Offer(Record(9)) == RevisionOutcome::kNewer);
    CHECK(book.Find("brief-llm")->value == "value 9");
  }
  SECTION("the number of deployments is bounded") {
    RevisionBook small({.max_deployments = 1});
    small.Offer(Record(1));
    RevisionRecord other = Record(1);
    other.deployment = "alert-app";
    CHECK(small.Offer(other) == RevisionOutcome::kNoRoom);
    CHECK(small.Offer(Record(2)) == RevisionOutcome::kNewer);
  }
}

TEST_CASE("RevisionTable returns the revisions that a peer lacks") {
  RevisionBook book({});
  book.Offer(Record(5));
  RevisionRecord other = Record(2);
  other.deployment = "alert-app";
  book.Offer(other);

  SECTION("a process without revisions gets all") {
    CHECK(book.NewerThan({}, "").size() == 2);
  }
  SECTION("a side gets its own deployment only") {
    CHECK(book.NewerThan({}, "alert-app") == std::vector{other});
  }
  SECTION("a peer that is ahead gets nothing") {
    CHECK(book.NewerThan({{"brief-llm", 6}, {"alert-app", 2}}, "").empty());
  }
}

TEST_CASE("RevisionTable lists the peers that have not applied a revision") {
  RevisionBook book({});
  const TimePoint t0{seconds(100)};
  book.Offer(Record(5));
  book.OnPeerUp(Peer("entry-b", 1), t0);
  book.OnPeerUp(Peer("side-1", 2, "brief-llm"), t0);
  book.OnPeerUp(Peer("side-2", 3, "alert-app"), t0);
  book.OnApplied("entry-b", Incarnation{{1, 1}}, "brief-llm", 5);
  CHECK(book.InForceOf("brief-llm").waiting_for ==
        std::vector<std::string>{"side-1"});
  book.OnApplied("side-1", Incarnation{{2, 2}}, "brief-llm", 5);
  REQUIRE(book.InForceOf("brief-llm").everywhere());

  SECTION("a late report of an older revision is ignored") {
    book.OnApplied("side-1", Incarnation{{2, 2}}, "brief-llm", 4);
    CHECK(book.InForceOf("brief-llm").everywhere());
  }
  SECTION("a restarted process counts as waiting until it reports") {
    book.OnPeerUp(Peer("side-1", 7, "brief-llm"), t0);
    book.OnApplied("side-1", Incarnation{{2, 2}}, "brief-llm", 5);
    CHECK_FALSE(book.InForceOf("brief-llm").everywhere());
  }
  SECTION("a silent peer that is behind is unknown, then forgotten") {
    book.OnPeerDown("side-1", Incarnation{{2, 2}}, t0);
    book.Offer(Record(6));
    book.OnApplied("entry-b", Incarnation{{1, 1}}, "brief-llm", 6);
    CHECK(book.InForceOf("brief-llm").unknown_since.contains("side-1"));
    CHECK_FALSE(book.InForceOf("brief-llm").everywhere());
    book.Tick(t0 + minutes(11));
    CHECK(book.InForceOf("brief-llm").everywhere());
  }
}

}  // namespace
}  // namespace indigolead
