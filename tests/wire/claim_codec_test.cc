#include "wire/claim_codec.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

/// Returns a home's reply that a key has finished with `status`.
wire::ClaimReply FinishedReply(std::uint32_t status) {
  SendDecision decision;
  decision.request = RequestId{Id128{1, 2}};
  decision.decision.verdict = ClaimVerdict::kFinished;
  decision.decision.answer = ClaimAnswer{status, {{"a", "b"}}, "menu"};
  wire::ClaimReply reply;
  FillClaimReply(decision, 1, &reply);
  return reply;
}

/// Returns a report that a keyed request has finished with `status`.
wire::ClaimOutcome FinishedOutcome(std::uint32_t status) {
  SendEndReport report;
  report.report.request = RequestId{Id128{1, 2}};
  report.report.key = ClaimKey{Id128{3, 4}};
  report.report.end = ClaimState::kFinished;
  report.report.answer = ClaimAnswer{status, {{"a", "b"}}, "menu"};
  wire::ClaimOutcome outcome;
  FillClaimOutcome(report, &outcome);
  return outcome;
}

/// Guards against repeating an answer whose stored status is none of HTTP.
TEST_CASE("A stored answer with an invalid status is not repeated") {
  const std::uint32_t status =
      GENERATE(0U, 42U, 101U, 103U, 600U, 999U, 0xffffffffU);
  INFO(status);

  SECTION("the caller learns that its request has run") {
    const auto decided = ReadClaimReply(FinishedReply(status));
    REQUIRE(decided);
    CHECK(decided->decision.verdict == ClaimVerdict::kAlreadyRun);
    CHECK_FALSE(decided->decision.answer);
  }
  SECTION("a home keeps the end without the answer") {
    const auto report = ReadClaimOutcome(FinishedOutcome(status), {});
    REQUIRE(report);
    CHECK(report->end == ClaimState::kFinished);
    CHECK_FALSE(report->answer);
  }
}

TEST_CASE("A stored answer with a final status is repeated unchanged") {
  const std::uint32_t status = GENERATE(200U, 404U, 500U, 599U);
  const ClaimAnswer answer{status, {{"a", "b"}}, "menu"};
  const auto decided = ReadClaimReply(FinishedReply(status));
  REQUIRE(decided);
  CHECK(decided->decision.verdict == ClaimVerdict::kFinished);
  CHECK(decided->decision.answer == answer);
  const auto report = ReadClaimOutcome(FinishedOutcome(status), {});
  REQUIRE(report);
  CHECK(report->answer == answer);
}

}  // namespace
}  // namespace indigolead
