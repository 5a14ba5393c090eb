#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "tests/support/flow_driver.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kFirst = "gel ";
constexpr const char* kSecond = "22 €";
const std::string kWhole = std::string(kFirst) + kSecond;

/// Outcome that the caller sees.
enum class Outcome {
  kAnswered,  ///< Complete, with no byte repeated or missing.
  kNotRun,
  kUnknown,  ///< Refused before any part was answered.
  kBroken,   ///< Aborted visibly after a part was answered.
};

/// Kind of request. Streamed ones are idempotent and get server-sent events.
enum class Kind { kIdempotent, kKeyed, kOnce, kStreamed };

constexpr Kind kKinds[] = {Kind::kIdempotent, Kind::kKeyed, Kind::kOnce,
                           Kind::kStreamed};

const char* Name(Kind kind) {
  switch (kind) {
    case Kind::kIdempotent:
      return "idempotent";
    case Kind::kKeyed:
      return "keyed";
    case Kind::kOnce:
      return "once";
    case Kind::kStreamed:
      return "streamed";
  }
  return "";
}

/// Expected outcome and number of runs for one kind of request.
struct Expected {
  Outcome outcome;
  int runs;
};

/// Sends one request with two targets available; the first one has the fault.
class FaultScenario {
 public:
  explicit FaultScenario(Kind kind) : kind_(kind) {
    link_ = driver_.Up("bilbao-a-1");
    other_ = driver_.Up("bilbao-a-2");
    const Repeatability repeatability =
        kind == Kind::kKeyed  ? Repeatability::kKeyed
        : kind == Kind::kOnce ? Repeatability::kOnce
                              : Repeatability::kIdempotent;
    id_ = driver_.Ask(repeatability, kind == Kind::kStreamed);
  }

  FlowDriver& driver() { return driver_; }
  const SendStart& first() const { return driver_.starts[0]; }

  // Progress of the first attempt.
  void Begin() { ++runs_; }
  void Head() { driver_.Head(first(), kind_ == Kind::kStreamed); }
  void FirstChunk() { driver_.Chunk(first(), 1, kFirst); }
  void SecondChunk() { driver_.Chunk(first(), 2, kSecond); }
  void End() { driver_.End(first(), 3, kWhole); }
  void EndAs(std::uint64_t sequence, AttemptOutcome outcome) {
    driver_.End(first(), sequence, "", outcome);
  }
  void Refuse(const std::string& code) {
    SideRefusal refusal;
    refusal.code = code;
    driver_.flow().OnRefused(first().link, first().attempt, refusal,
                             driver_.now());
    driver_.Collect();
  }

  // Faults of the first side.
  void LinkDown() { driver_.Down(link_); }
  void SideRestarts() {
    driver_.Down(link_);
    link_ = driver_.Up("bilbao-a-1", 2);
  }
  /// The same incarnation of the side reconnects; the test then sends frames
  /// from the requested one on.
  void SideReturns() {
    link_ = driver_.Up("bilbao-a-1");
    driver_.starts[0].link = link_;
  }
  void ReportState(AttemptKnowledge known) {
    driver_.flow().OnKnowledge(first().link, first().attempt, known, 0,
                               driver_.now());
    driver_.Collect();
  }

  /// Answers every further attempt completely and checks the outcome.
  void Finish(const Expected& expected) {
    driver_.Pass(milliseconds(100));
    for (std::size_t i = 1; i < driver_.starts.size(); ++i) {
      const SendStart again = driver_.starts[i];
      ++runs_;
      driver_.Head(again, kind_ == Kind::kStreamed);
      driver_.Chunk(again, 1, kFirst);
      driver_.Chunk(again, 2, kSecond);
      driver_.End(again, 3, kWhole);
    }
    driver_.Pass(seconds(70));
    const ReceivedAnswer& seen = driver_.seen(id_);
    INFO("kind of request: " << Name(kind_));
    INFO("seen: complete " << seen.whole << ", body \"" << seen.body << "\", "
                           << (seen.refusal ? seen.refusal->code
                                            : "no refusal"));
    CHECK(seen.finals == 1);
    CHECK(runs_ == expected.runs);
    CHECK(seen.whole == (expected.outcome == Outcome::kAnswered));
    switch (expected.outcome) {
      case Outcome::kAnswered:
        CHECK(seen.body == kWhole);
        break;
      case Outcome::kNotRun:
        REQUIRE(seen.refusal);
        CHECK(seen.refusal->run == RunState::kNotRun);
        CHECK(seen.status == 0);
        break;
      case Outcome::kUnknown:
        REQUIRE(seen.refusal);
        CHECK(seen.refusal->run == RunState::kUnknown);
        CHECK(seen.status == 0);
        break;
      case Outcome::kBroken:
        REQUIRE(seen.refusal);
        CHECK(seen.refusal->run == RunState::kUnknown);
        CHECK(seen.status == 200);
        break;
    }
  }

 private:
  Kind kind_;
  FlowDriver driver_;
  SideLink link_;
  SideLink other_;
  RequestId id_;
  int runs_ = 0;
};

struct FaultCase {
  const char* fault;
  std::function<void(FaultScenario&)> inject;
  Expected idempotent;
  Expected keyed;
  Expected once;
  Expected streamed;
};

const Expected& ExpectedFor(const FaultCase& it, Kind kind) {
  switch (kind) {
    case Kind::kIdempotent:
      return it.idempotent;
    case Kind::kKeyed:
      return it.keyed;
    case Kind::kOnce:
      return it.once;
    case Kind::kStreamed:
      return it.streamed;
  }
  return it.once;
}

void CheckAll(const std::vector<FaultCase>& cases) {
  for (const FaultCase& it : cases) {
    for (const Kind kind : kKinds) {
      INFO("fault: " << it.fault);
      FaultScenario scenario(kind);
      it.inject(scenario);
      scenario.Finish(ExpectedFor(it, kind));
    }
  }
}

constexpr Expected kAnsweredInOneRun{Outcome::kAnswered, 1};
constexpr Expected kAnsweredInTwoRuns{Outcome::kAnswered, 2};
constexpr Expected kUnknownAfterOneRun{Outcome::kUnknown, 1};
constexpr Expected kBrokenAfterOneRun{Outcome::kBroken, 1};

// The caller of an idempotent request gets an answer if another target can
// still give one. The caller of any other request gets "unknown" once the run
// may have begun: it is not known how far the dead target got, and a second run
// could duplicate the first.
TEST_CASE("Target failures: outcome and runs for each kind of request") {
  CheckAll({
      {"dies before the start",
       [](FaultScenario& it) { it.Refuse("target_down"); }, kAnsweredInOneRun,
       kAnsweredInOneRun, kAnsweredInOneRun, kAnsweredInOneRun},
      {"dies before the first byte is written to it",
       [](FaultScenario& it) { it.EndAs(0, AttemptOutcome::kNotStarted); },
       kAnsweredInOneRun, kAnsweredInOneRun, kAnsweredInOneRun,
       kAnsweredInOneRun},
      {"dies after the start",
       [](FaultScenario& it) {
         it.Begin();
         it.EndAs(0, AttemptOutcome::kTargetDied);
       },
       kAnsweredInTwoRuns, kUnknownAfterOneRun, kUnknownAfterOneRun,
       kAnsweredInTwoRuns},
      {"dies in the middle of its answer",
       [](FaultScenario& it) {
         it.Begin();
         it.Head();
         it.FirstChunk();
         it.EndAs(2, AttemptOutcome::kTargetDied);
       },
       kAnsweredInTwoRuns, kUnknownAfterOneRun, kUnknownAfterOneRun,
       kBrokenAfterOneRun},
      {"dies after the last chunk and before the end",
       [](FaultScenario& it) {
         it.Begin();
         it.Head();
         it.FirstChunk();
         it.SecondChunk();
         it.EndAs(3, AttemptOutcome::kTargetDied);
       },
       kAnsweredInTwoRuns, kUnknownAfterOneRun, kUnknownAfterOneRun,
       kBrokenAfterOneRun},
      {"is paused for 5 s during the answer",
       [](FaultScenario& it) {
         it.Begin();
         it.Head();
         it.FirstChunk();
         for (int i = 0; i < 10; ++i) {
           it.driver().Pass(milliseconds(500));
           it.ReportState(AttemptKnowledge::kRunning);
         }
         it.SecondChunk();
         it.End();
       },
       kAnsweredInOneRun, kAnsweredInOneRun, kAnsweredInOneRun,
       kAnsweredInOneRun},
      {"hangs after the start, and its side reports it",
       [](FaultScenario& it) {
         it.Begin();
         it.EndAs(0, AttemptOutcome::kTargetFailed);
       },
       kAnsweredInTwoRuns, kUnknownAfterOneRun, kUnknownAfterOneRun,
       kAnsweredInTwoRuns},
  });
}

// A restarted side has lost its attempts, so the outcome is as for a dead
// target. A side that reconnects as the same process still holds its attempts:
// the answer resumes with the next frame, and nothing runs twice.
TEST_CASE("Side failures: outcome and runs for each kind of request") {
  CheckAll({
      {"is gone before the start can be queued",
       [](FaultScenario& it) {
         it.driver().flow().OnStartNotSent(it.first().attempt,
                                           it.driver().now());
         it.driver().Collect();
       },
       kAnsweredInOneRun, kAnsweredInOneRun, kAnsweredInOneRun,
       kAnsweredInOneRun},
      {"dies after the start",
       [](FaultScenario& it) {
         it.Begin();
         it.SideRestarts();
       },
       kAnsweredInTwoRuns, kUnknownAfterOneRun, kUnknownAfterOneRun,
       kAnsweredInTwoRuns},
      {"dies in the middle of the answer",
       [](FaultScenario& it) {
         it.Begin();
         it.Head();
         it.FirstChunk();
         it.SideRestarts();
       },
       kAnsweredInTwoRuns, kUnknownAfterOneRun, kUnknownAfterOneRun,
       kBrokenAfterOneRun},
      {"dies after the last chunk and before the end",
       [](FaultScenario& it) {
         it.Begin();
         it.Head();
         it.FirstChunk();
         it.SecondChunk();
         it.SideRestarts();
       },
       kAnsweredInTwoRuns, kUnknownAfterOneRun, kUnknownAfterOneRun,
       kBrokenAfterOneRun},
      {"dies and never comes back",
       [](FaultScenario& it) {
         it.Begin();
         it.Head();
         it.FirstChunk();
         it.LinkDown();
         it.driver().Pass(seconds(1));
       },
       kAnsweredInTwoRuns, kUnknownAfterOneRun, kUnknownAfterOneRun,
       kBrokenAfterOneRun},
      {"is paused for 5 s during the answer",
       [](FaultScenario& it) {
         it.Begin();
         it.Head();
         it.FirstChunk();
         it.driver().Pass(milliseconds(1500));
         it.LinkDown();
         it.driver().Pass(milliseconds(3500));
         it.SideReturns();
         it.SecondChunk();
         it.End();
       },
       kAnsweredInTwoRuns, kAnsweredInOneRun, kAnsweredInOneRun,
       kAnsweredInOneRun},
  });
}

// The connection between entry and side breaks while both keep running. Within
// the grace period nothing is sent elsewhere: the side keeps the frames, and
// the entry requests them from the next one on over the new connection.
TEST_CASE("Connection failures: outcome and runs for each kind of request") {
  CheckAll({
      {"before the start arrives",
       [](FaultScenario& it) {
         it.LinkDown();
         it.driver().Pass(milliseconds(500));
         it.SideReturns();
         it.ReportState(AttemptKnowledge::kNotStarted);
       },
       kAnsweredInOneRun, kAnsweredInOneRun, kAnsweredInOneRun,
       kAnsweredInOneRun},
      {"after the start",
       [](FaultScenario& it) {
         it.Begin();
         it.LinkDown();
         it.driver().Pass(milliseconds(500));
         it.SideReturns();
         it.Head();
         it.FirstChunk();
         it.SecondChunk();
         it.End();
       },
       kAnsweredInOneRun, kAnsweredInOneRun, kAnsweredInOneRun,
       kAnsweredInOneRun},
      {"during the answer, and frames already received are resent",
       [](FaultScenario& it) {
         it.Begin();
         it.Head();
         it.FirstChunk();
         it.LinkDown();
         it.driver().Pass(milliseconds(500));
         it.SideReturns();
         it.Head();
         it.FirstChunk();
         it.SecondChunk();
         it.End();
       },
       kAnsweredInOneRun, kAnsweredInOneRun, kAnsweredInOneRun,
       kAnsweredInOneRun},
      {"after the last chunk and before the end",
       [](FaultScenario& it) {
         it.Begin();
         it.Head();
         it.FirstChunk();
         it.SecondChunk();
         it.LinkDown();
         it.driver().Pass(milliseconds(500));
         it.SideReturns();
         it.End();
       },
       kAnsweredInOneRun, kAnsweredInOneRun, kAnsweredInOneRun,
       kAnsweredInOneRun},
      {"and the side has dropped frames meanwhile",
       [](FaultScenario& it) {
         it.Begin();
         it.Head();
         it.FirstChunk();
         it.LinkDown();
         it.driver().Pass(milliseconds(500));
         it.SideReturns();
         it.driver().flow().OnKnowledge(it.first().link, it.first().attempt,
                                        AttemptKnowledge::kFinished, 4,
                                        it.driver().now());
         it.driver().Collect();
       },
       kAnsweredInTwoRuns, kUnknownAfterOneRun, kUnknownAfterOneRun,
       kBrokenAfterOneRun},
  });
}

// The entry's process is stopped for 5 s and resumed. Meanwhile the side closed
// the connection, so the entry sees a closed connection and then a new one. The
// death of an entry also ends its callers' connections; the process tests cover
// that case.
TEST_CASE("An entry paused for 5 s resumes its answers") {
  CheckAll({
      {"in the middle of the answer",
       [](FaultScenario& it) {
         it.Begin();
         it.Head();
         it.FirstChunk();
         it.LinkDown();
         it.driver().Jump(seconds(5));
         it.SideReturns();
         it.SecondChunk();
         it.End();
       },
       kAnsweredInOneRun, kAnsweredInOneRun, kAnsweredInOneRun,
       kAnsweredInOneRun},
  });
}

// With no target left, the caller is told what is known about the run. The
// refusal says "not run" only if no target ever received the request.
TEST_CASE("Without a target a request is refused as not run or unknown") {
  FlowDriver driver;
  const SideLink link = driver.Up("bilbao-a-1");

  SECTION("not run if no target received the request") {
    driver.Down(link);
    const RequestId id = driver.Ask(Repeatability::kOnce);
    driver.Pass(seconds(2));
    REQUIRE(driver.seen(id).refusal);
    CHECK(driver.seen(id).refusal->run == RunState::kNotRun);
    CHECK(driver.starts.empty());
  }

  SECTION("unknown if a target died while running it") {
    const RequestId id = driver.Ask(Repeatability::kIdempotent);
    driver.End(driver.starts[0], 0, "", AttemptOutcome::kTargetDied);
    driver.Down(link);
    driver.Pass(seconds(2));
    REQUIRE(driver.seen(id).refusal);
    CHECK(driver.seen(id).refusal->run == RunState::kUnknown);
  }
}

TEST_CASE("Retries are limited") {
  RequestFlowHooks hooks;
  int allowed = 0;
  hooks.spend_retry = [&allowed](const CallerRequest&, AttemptReach,
                                 TimePoint) { return allowed-- > 0; };
  FlowDriver driver({}, hooks);
  driver.Up("bilbao-a-1");
  driver.Up("bilbao-a-2");
  driver.Up("bilbao-a-3");
  driver.Up("bilbao-a-4");

  SECTION("by the retry budget") {
    const RequestId id = driver.Ask(Repeatability::kIdempotent);
    driver.End(driver.starts[0], 0, "", AttemptOutcome::kTargetFailed);
    CHECK(driver.starts.size() == 1);
    REQUIRE(driver.seen(id).refusal);
    CHECK(driver.seen(id).refusal->run == RunState::kUnknown);
  }

  SECTION("by the request's max_attempts") {
    allowed = 100;
    const RequestId id = driver.Ask(Repeatability::kIdempotent);
    for (std::size_t i = 0; i < driver.starts.size(); ++i) {
      driver.End(driver.starts[i], 0, "", AttemptOutcome::kTargetFailed);
    }
    CHECK(driver.starts.size() == 3);
    CHECK(driver.seen(id).finals == 1);
  }
}

TEST_CASE("A request is refused at its deadline") {
  FlowDriver driver;

  SECTION("not run while it waits for a target") {
    const RequestId id =
        driver.AskUntil(Repeatability::kOnce, milliseconds(300));
    driver.Pass(milliseconds(400));
    REQUIRE(driver.seen(id).refusal);
    CHECK(driver.seen(id).refusal->status == 504);
    CHECK(driver.seen(id).refusal->run == RunState::kNotRun);
  }

  SECTION("cancelled and unknown while it runs") {
    driver.Up("bilbao-a-1");
    const RequestId id =
        driver.AskUntil(Repeatability::kOnce, milliseconds(300));
    driver.Pass(milliseconds(400));
    REQUIRE(driver.cancels.size() == 1);
    REQUIRE(driver.seen(id).refusal);
    CHECK(driver.seen(id).refusal->run == RunState::kUnknown);
  }
}

TEST_CASE("A claim is settled with the proven outcome") {
  std::vector<ClaimSettlement> settled;
  RequestFlowHooks hooks;
  hooks.claim = [](const CallerRequest&, TimePoint) -> GateResult {
    return Gate::kOpen;
  };
  hooks.settle_claim = [&settled](const CallerRequest&, ClaimSettlement it,
                                  const WholeAnswer*,
                                  TimePoint) { settled.push_back(it); };
  FlowDriver driver({}, hooks);
  const SideLink link = driver.Up("bilbao-a-1");
  const RequestId id = driver.Ask(Repeatability::kKeyed);
  REQUIRE(driver.starts.size() == 1);

  SECTION("finished even if the caller has left") {
    driver.flow().OnCallerDisconnected(id, driver.now());
    driver.Head(driver.starts[0]);
    driver.End(driver.starts[0], 1, "");
    CHECK(settled == std::vector{ClaimSettlement::kFinished});
    CHECK(driver.seen(id).finals == 0);
  }

  SECTION("unknown if the target died") {
    driver.End(driver.starts[0], 0, "", AttemptOutcome::kTargetDied);
    CHECK(settled == std::vector{ClaimSettlement::kUnknown});
  }

  SECTION("not run if no target received it") {
    driver.Down(link);
    driver.flow().OnStartNotSent(driver.starts[0].attempt, driver.now());
    driver.Pass(seconds(2));
    CHECK(settled == std::vector{ClaimSettlement::kNotRun});
  }
}

}  // namespace
}  // namespace indigolead
