#include "core/claims/claim_table.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart{seconds(10)};
const Incarnation kEntryA{{1, 1}};
const Incarnation kEntryB{{1, 2}};

ClaimQuery MakeQuery(std::uint64_t request, std::uint64_t key,
                     const Incarnation& entry = kEntryA,
                     std::uint64_t digest = 7) {
  return {RequestId{{0, request}},
          ClaimKey{{0, key}},
          digest,
          0,
          entry,
          seconds(1)};
}

ClaimEndReport MakeEnd(const ClaimQuery& query, ClaimState end,
                       const std::string& body = "") {
  ClaimEndReport report{query.request, query.key, query.slot, query.body_digest,
                        end,           {},        query.entry};
  if (end == ClaimState::kFinished) {
    report.answer = ClaimAnswer{200, {}, body};
  }
  return report;
}

TEST_CASE("A key is granted to one request") {
  ClaimTable table({});
  const ClaimQuery first = MakeQuery(1, 5);
  const ClaimQuery retry = MakeQuery(2, 5, kEntryB);
  REQUIRE(table.Query(first, kStart).claimed);

  SECTION("the same request gets its grant again") {
    const auto again = table.Query(first, kStart);
    CHECK(again.decision.verdict == ClaimVerdict::kGranted);
    CHECK_FALSE(again.claimed);
  }
  SECTION("a retry is told to wait during the run") {
    CHECK(table.Query(retry, kStart).decision.verdict ==
          ClaimVerdict::kRunning);
  }
  SECTION("a retry after the run gets the same response") {
    table.End(MakeEnd(first, ClaimState::kFinished, "menu"), kStart);
    const auto result = table.Query(retry, kStart);
    CHECK(result.decision.verdict == ClaimVerdict::kFinished);
    CHECK(result.decision.answer->body == "menu");
  }
  SECTION("another body for the key is refused in every state") {
    const ClaimQuery other = MakeQuery(3, 5, kEntryB, 8);
    CHECK(table.Query(other, kStart).decision.verdict ==
          ClaimVerdict::kBodyDiffers);
    table.End(MakeEnd(first, ClaimState::kFinished, "menu"), kStart);
    CHECK(table.Query(other, kStart).decision.verdict ==
          ClaimVerdict::kBodyDiffers);
  }
  SECTION("a request that did not run frees its key") {
    table.End(MakeEnd(first, ClaimState::kNotRun), kStart);
    CHECK(table.Query(retry, kStart).claimed);
    // A late duplicate of the first report must not free the second claim.
    CHECK_FALSE(table.End(MakeEnd(first, ClaimState::kNotRun), kStart));
    CHECK(table.Query(MakeQuery(3, 5), kStart).decision.verdict ==
          ClaimVerdict::kRunning);
  }
  SECTION("the key is unknown while its entry is unreachable") {
    table.MarkEntryUnreachable(kEntryA, kStart);
    CHECK(table.Query(retry, kStart).decision.verdict ==
          ClaimVerdict::kRunning);
    CHECK(table.Query(retry, kStart + seconds(2)).decision.verdict ==
          ClaimVerdict::kUnknown);
    table.MarkEntryReachable(kEntryA);
    table.End(MakeEnd(first, ClaimState::kFinished, "late"), kStart);
    CHECK(table.Query(retry, kStart).decision.answer->body == "late");
  }
}

TEST_CASE("The claim table limits its contents") {
  ClaimTable::Options options;
  options.max_claims = 2;
  options.max_answer_bytes = 100;
  ClaimTable table(options);
  table.Query(MakeQuery(1, 1), kStart);
  table.Query(MakeQuery(2, 2), kStart);

  SECTION("a claim above the limit is refused as overloaded") {
    CHECK(table.Query(MakeQuery(3, 3), kStart).decision.verdict ==
          ClaimVerdict::kOverloaded);
  }
  SECTION(
      "the oldest response is dropped first and its retry gets kAlreadyRun") {
    const std::string long_body(80, 'x');
    table.End(MakeEnd(MakeQuery(1, 1), ClaimState::kFinished, long_body),
              kStart);
    table.End(MakeEnd(MakeQuery(2, 2), ClaimState::kFinished, long_body),
              kStart);
    CHECK(table.answer_bytes() <= 100);
    CHECK(table.Query(MakeQuery(4, 1), kStart).decision.verdict ==
          ClaimVerdict::kAlreadyRun);
    CHECK(table.Query(MakeQuery(5, 2), kStart).decision.verdict ==
          ClaimVerdict::kFinished);
  }
  SECTION("a key is removed only after its retention") {
    table.End(MakeEnd(MakeQuery(1, 1), ClaimState::kFinished, ""), kStart);
    table.Tick(kStart + minutes(59));
    CHECK(table.Holds(ClaimKey{{0, 1}}));
    table.Tick(kStart + minutes(60));
    CHECK_FALSE(table.Holds(ClaimKey{{0, 1}}));
    // The other key is still running at a reachable entry process.
    CHECK(table.Holds(ClaimKey{{0, 2}}));
  }
}

TEST_CASE("Different accounts, keys or requests have different hashes") {
  CHECK(MakeClaimKey("a", "d", "k") == MakeClaimKey("a", "d", "k"));
  CHECK(MakeClaimKey("ab", "d", "k") != MakeClaimKey("a", "bd", "k"));
  CHECK(MakeClaimKey("a", "d", "k1") != MakeClaimKey("a", "d", "k"));
  CHECK(MakeBodyDigest("POST", "/x", "b") != MakeBodyDigest("PUT", "/x", "b"));
}

}  // namespace
}  // namespace indigolead
