#include "core/request/attempt_table.h"

#include <xxhash.h>

#include <catch2/catch.hpp>

#include "tests/core/request/attempt_table_fixture.h"

namespace indigolead {
namespace {

using Fixture = AttemptTableFixture;

TEST_CASE("AttemptTable numbers frames and ends with length and checksum") {
  Fixture f;
  f.Start(1);
  f.Answer(1, {"Wind ", "warning"});
  f.End(1, CallOutcome::kComplete);

  REQUIRE(f.SequencesOn(Fixture::kLink) ==
          std::vector<std::uint64_t>{0, 1, 2, 3});
  const AttemptFrame& end = f.sent_.back().second;
  CHECK(end.kind == AttemptFrame::Kind::kEnd);
  CHECK(end.outcome == RunOutcome::kComplete);
  CHECK(end.body_bytes == 12);
  CHECK(end.body_checksum == XXH64("Wind warning", 12, 0));
  CHECK(f.table_.Idle());
}

// A refused attempt is reported as "not run" and may be retried elsewhere, so
// it must never run here. For each cause, the attempt is refused before it
// reaches the target's thread, and does not run if the same start arrives
// again.
TEST_CASE("AttemptTable never runs a refused attempt") {
  struct Case {
    const char* cause;
    std::function<void(Fixture*, AttemptStart*)> arrange;
    RefusalReason expected;
  };
  const std::vector<Case> cases = {
      {"leaving", [](Fixture* f, AttemptStart*) { f->table_.SetLeaving(true); },
       RefusalReason::kLeaving},
      {"too late on arrival",
       [](Fixture*, AttemptStart* it) { it->start_within = Duration{}; },
       RefusalReason::kTooLate},
      {"another deployment",
       [](Fixture*, AttemptStart* it) { it->deployment = "salon-app"; },
       RefusalReason::kWrongDeployment},
      {"no place left",
       [](Fixture* f, AttemptStart*) {
         for (std::uint64_t n = 100; n < 104; ++n) {
           f->Start(n);
         }
       },
       RefusalReason::kOverloaded},
      {"target's queue full",
       [](Fixture* f, AttemptStart*) { f->queue_full_ = true; },
       RefusalReason::kOverloaded},
      {"target down",
       [](Fixture* f, AttemptStart*) {
         f->check_result_ = RefusalReason::kTargetDown;
       },
       RefusalReason::kTargetDown},
      {"quarantined",
       [](Fixture* f, AttemptStart*) {
         f->check_result_ = RefusalReason::kQuarantined;
       },
       RefusalReason::kQuarantined},
      {"cancelled before it came",
       [](Fixture* f, AttemptStart*) {
         f->table_.OnCancel(Fixture::kLink, f->QueryOf(1), f->now_);
       },
       RefusalReason::kCancelledEarlier},
  };
  for (const auto& it : cases) {
    DYNAMIC_SECTION(it.cause) {
      Fixture f;
      AttemptStart start = Fixture::MakeStart(1);
      it.arrange(&f, &start);
      f.table_.OnStart(Fixture::kLink, start, f.now_);
      CHECK(f.last_refusal() == it.expected);
      CHECK(f.RunCount(1) == 0);

      f.table_.SetLeaving(false);
      f.queue_full_ = false;
      f.check_result_ = RefusalReason::kUnspecified;
      f.table_.OnStart(Fixture::kLink, Fixture::MakeStart(1), f.now_);
      CHECK(f.RunCount(1) == 0);
    }
  }
}

TEST_CASE("AttemptTable reports how an attempt ended") {
  struct Case {
    CallOutcome call;
    std::optional<RunOutcome> end;
    std::optional<RefusalReason> refusal;
  };
  const std::vector<Case> cases = {
      {CallOutcome::kComplete, RunOutcome::kComplete, {}},
      {CallOutcome::kFailed, RunOutcome::kTargetFailed, {}},
      {CallOutcome::kTargetDied, RunOutcome::kTargetDied, {}},
      {CallOutcome::kTimeout, RunOutcome::kDeadline, {}},
      {CallOutcome::kCancelled, RunOutcome::kCancelled, {}},
      {CallOutcome::kNotWritten, {}, RefusalReason::kTargetDown},
      {CallOutcome::kTooLate, {}, RefusalReason::kTooLate},
  };
  for (const auto& it : cases) {
    DYNAMIC_SECTION("call outcome " << static_cast<int>(it.call)) {
      Fixture f;
      f.Start(1);
      f.End(1, it.call);
      CHECK(f.last_refusal() == it.refusal);
      CHECK(f.sent_.size() == (it.end ? 1 : 0));
      if (it.end) {
        CHECK(f.sent_.back().second.outcome == *it.end);
      }
      f.Start(1);
      CHECK(f.RunCount(1) == 1);
      CHECK(f.table_.running() == 0);
    }
  }
}

// Guards against streams that break when their connection is lost. The entry
// opens a new connection and resumes at the first frame it has not received.
// The table still holds that frame, because a frame is freed only after the
// caller consumed it.
TEST_CASE("AttemptTable resumes a stream over a new connection") {
  Fixture f;
  f.Start(1);
  f.Answer(1, {"aaaa", "bbbb"});
  f.table_.OnCredit(AttemptId{{1, 1}}, 4);
  f.table_.OnLinkDown(Fixture::kLink);
  f.table_.OnCallBody(AttemptId{{1, 1}}, "cccc");
  f.End(1, CallOutcome::kComplete);
  REQUIRE(f.SequencesOn(Fixture::kLink).size() == 3);
  f.table_.OnPeer(Fixture::kNewLink, f.kEntry);

  SECTION("resumes at the requested frame without gaps or duplicates") {
    f.table_.OnResume(Fixture::kNewLink, f.QueryOf(1), 2, 1028, f.now_);
    CHECK(f.SequencesOn(Fixture::kNewLink) ==
          std::vector<std::uint64_t>{2, 3, 4});
    CHECK(f.states_.back().next_sequence == 2);
  }

  SECTION("reports the attempt as lost if the requested frame was dropped") {
    f.table_.OnResume(Fixture::kNewLink, f.QueryOf(1), 0, 1028, f.now_);
    CHECK(f.SequencesOn(Fixture::kNewLink).empty());
    CHECK(f.last_knowledge() == SideKnowledge::kLost);
  }

  SECTION("drops the frames of a finished attempt after the retention") {
    f.AdvanceTime(std::chrono::seconds(31));
    f.table_.OnResume(Fixture::kNewLink, f.QueryOf(1), 2, 1028, f.now_);
    CHECK(f.SequencesOn(Fixture::kNewLink).empty());
    CHECK(f.last_knowledge() == SideKnowledge::kLost);
    f.table_.OnCancel(Fixture::kNewLink, f.QueryOf(1), f.now_);
    CHECK(f.last_knowledge() == SideKnowledge::kFinished);
  }
}

TEST_CASE("AttemptTable pauses only the stream of a slow caller") {
  auto options = Fixture::MakeOptions();
  options.stream_buffer_bytes = 4096;
  Fixture f(options);
  f.Start(1);
  f.Start(2);
  const std::string chunk(1000, 'x');
  f.Answer(1, {chunk, chunk, chunk, chunk});

  // 1,024 bytes of credit allow two chunks to be sent. The rest is buffered,
  // and the target's thread is told to pause reading.
  CHECK(f.SequencesOn(Fixture::kLink) == std::vector<std::uint64_t>{0, 1, 2});
  CHECK(f.pauses_ == std::vector<bool>{true});
  f.sent_.clear();
  f.Answer(2, {"quick"});
  CHECK(f.sent_.size() == 2);

  f.sent_.clear();
  f.table_.OnCredit(AttemptId{{1, 1}}, 2000);
  f.table_.OnCredit(AttemptId{{1, 1}}, 2000);
  CHECK(f.SequencesOn(Fixture::kLink) == std::vector<std::uint64_t>{3, 4});
  CHECK(f.pauses_ == std::vector<bool>{true, false});
}

TEST_CASE("AttemptTable resends frames that a full link rejected") {
  Fixture f;
  f.Start(1);
  f.link_full_ = true;
  f.Answer(1, {"abc"});
  f.End(1, CallOutcome::kComplete);
  CHECK_FALSE(f.table_.Idle());
  f.link_full_ = false;
  f.AdvanceTime(std::chrono::milliseconds(20));
  CHECK(f.SequencesOn(Fixture::kLink) == std::vector<std::uint64_t>{0, 1, 2});
  CHECK(f.table_.Idle());
}

// The entry asks about an attempt that the table does not hold. "Not started"
// may be reported to the caller as "not run", so it is used only if provable.
TEST_CASE("AttemptTable reports only provable attempt states") {
  Fixture f;

  SECTION("an attempt that never arrived is not started and later refused") {
    f.table_.OnResume(Fixture::kLink, f.QueryOf(1), 0, 0, f.now_);
    CHECK(f.last_knowledge() == SideKnowledge::kNotStarted);
    f.Start(1);
    CHECK(f.RunCount(1) == 0);
    CHECK(f.last_refusal() == RefusalReason::kCancelledEarlier);
  }

  SECTION("an attempt sent to an earlier side process is lost") {
    auto query = f.QueryOf(1);
    query.side = Incarnation{{6, 6}};
    f.table_.OnCancel(Fixture::kLink, query, f.now_);
    CHECK(f.last_knowledge() == SideKnowledge::kLost);
  }

  SECTION("an attempt without a start number is lost") {
    auto query = f.QueryOf(1);
    query.start_sequence = 0;
    f.table_.OnCancel(Fixture::kLink, query, f.now_);
    CHECK(f.last_knowledge() == SideKnowledge::kLost);
  }

  SECTION("an attempt that ran and was forgotten is lost and not run again") {
    f.Start(1);
    f.Answer(1, {});
    f.End(1, CallOutcome::kComplete);
    f.AdvanceTime(std::chrono::seconds(31));
    f.AdvanceTime(std::chrono::seconds(31));
    CHECK(f.table_.held() == 0);
    f.table_.OnResume(Fixture::kLink, f.QueryOf(1), 0, 0, f.now_);
    CHECK(f.last_knowledge() == SideKnowledge::kLost);
    f.Start(1);
    CHECK(f.RunCount(1) == 1);
    CHECK(f.refusals_.empty());
  }

  SECTION("a cancel waits for the result of the target's thread") {
    f.Start(1);
    f.table_.OnCancel(Fixture::kLink, f.QueryOf(1), f.now_);
    CHECK(f.states_.empty());
    REQUIRE(f.cancelled_.size() == 1);
    SECTION("a request that was not written is refused") {
      f.End(1, CallOutcome::kCancelledBeforeWrite);
      CHECK(f.last_refusal() == RefusalReason::kCancelledEarlier);
    }
    SECTION("a request that was written ends as cancelled") {
      f.End(1, CallOutcome::kCancelled);
      CHECK(f.refusals_.empty());
      CHECK(f.last_knowledge() == SideKnowledge::kFinished);
    }
  }

  SECTION("a repeated start of a running attempt is not refused") {
    f.Start(1);
    f.Start(1);
    CHECK(f.RunCount(1) == 1);
    CHECK(f.refusals_.empty());
    CHECK(f.last_knowledge() == SideKnowledge::kRunning);
  }
}

TEST_CASE("AttemptTable ends an attempt at its deadline") {
  Fixture f;
  f.Start(1);
  f.Answer(1, {"half"});
  f.AdvanceTime(std::chrono::seconds(61));
  REQUIRE(f.cancelled_.size() == 1);
  f.End(1, CallOutcome::kCancelled);
  CHECK(f.sent_.back().second.outcome == RunOutcome::kDeadline);
}

// Guards against partial requests on the target after an entry crashes between
// two body chunks or a chunk is lost with its connection.
TEST_CASE("AttemptTable starts a request only when its body is complete") {
  Fixture f;
  auto start = Fixture::MakeStart(1);
  start.body_continues = true;
  start.request.body = "one ";
  f.table_.OnStart(Fixture::kLink, start, f.now_);
  CHECK(f.RunCount(1) == 0);

  SECTION("a complete body starts the request") {
    f.table_.OnBodyChunk(Fixture::kLink, start.id, 0, "two ", false, f.now_);
    f.table_.OnBodyChunk(Fixture::kLink, start.id, 1, "three", true, f.now_);
    CHECK(f.RunCount(1) == 1);
  }
  SECTION("a missing chunk causes a refusal") {
    f.table_.OnBodyChunk(Fixture::kLink, start.id, 1, "three", true, f.now_);
    CHECK(f.RunCount(1) == 0);
    CHECK(f.last_refusal() == RefusalReason::kOverloaded);
  }
  SECTION("an incomplete body is refused at the deadline") {
    f.AdvanceTime(std::chrono::seconds(61));
    CHECK(f.RunCount(1) == 0);
    CHECK(f.last_refusal() == RefusalReason::kTooLate);
  }
}

// Finished answers are held in case they are resumed. They must not cause a new
// attempt to be refused or a running stream to be paused.
TEST_CASE("AttemptTable evicts finished answers for new attempts") {
  auto options = Fixture::MakeOptions();
  options.max_buffer_bytes = 8000;
  Fixture f(options);
  for (std::uint64_t n = 1; n <= 20; ++n) {
    f.Start(n);
    f.Answer(n, {std::string(500, 'x'), std::string(500, 'y')});
    f.End(n, CallOutcome::kComplete);
  }
  f.Start(21);
  for (int i = 0; i < 6; ++i) {
    f.table_.OnCallBody(AttemptId{{1, 21}}, std::string(500, 'z'));
  }
  CHECK(f.refusals_.empty());
  CHECK(f.pauses_.empty());
  CHECK(f.table_.buffered_bytes() < 8000);
}

TEST_CASE("AttemptTable bounds its memory of finished attempts") {
  auto options = Fixture::MakeOptions();
  options.max_finished = 2;
  options.memory.max_ids = 2;
  Fixture f(options);
  for (std::uint64_t n = 1; n <= 20; ++n) {
    f.Start(n);
    f.Answer(n, {std::string(100, 'x')});
    f.End(n, CallOutcome::kComplete);
  }
  CHECK(f.table_.held() == 2);
  f.table_.OnResume(Fixture::kLink, f.QueryOf(3), 0, 0, f.now_);
  CHECK(f.last_knowledge() == SideKnowledge::kLost);
}

}  // namespace
}  // namespace indigolead
