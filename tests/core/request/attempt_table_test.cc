#include "core/request/attempt_table.h"

#include <xxhash.h>

#include <catch2/catch.hpp>

#include "tests/core/request/attempt_table_fixture.h"

namespace indigolead {
namespace {

using Fixture = AttemptTableFixture;

TEST_CASE("AttemptTable numbers an answer and ends it with its sum") {
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

// The caller sees "not run" and asks elsewhere. For each cause the side refuses
// before the target's thread hears of the attempt, and refuses it again if the
// same start arrives a second time, since its entry has already reported it.
TEST_CASE("AttemptTable refuses an attempt before it runs, for good") {
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
       [](Fixture* f, AttemptStart*) { f->ring_full_ = true; },
       RefusalReason::kOverloaded},
      {"target down",
       [](Fixture* f, AttemptStart*) {
         f->target_says_ = RefusalReason::kTargetDown;
       },
       RefusalReason::kTargetDown},
      {"quarantined",
       [](Fixture* f, AttemptStart*) {
         f->target_says_ = RefusalReason::kQuarantined;
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
      CHECK(f.RunsOf(1) == 0);

      f.table_.SetLeaving(false);
      f.ring_full_ = false;
      f.target_says_ = RefusalReason::kUnspecified;
      f.table_.OnStart(Fixture::kLink, Fixture::MakeStart(1), f.now_);
      CHECK(f.RunsOf(1) == 0);
    }
  }
}

TEST_CASE("AttemptTable says how an attempt ended") {
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
      CHECK(f.RunsOf(1) == 1);
      CHECK(f.table_.running() == 0);
    }
  }
}

// The caller notices nothing: its stream stops for a moment and goes on. The
// connection falls silent after some frames, the entry opens a new one and asks
// for the first frame that it has not seen; the side still holds it, because
// only bytes that the caller took free a frame.
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

  SECTION("from the frame asked for, nothing repeated or missing") {
    f.table_.OnResume(Fixture::kNewLink, f.QueryOf(1), 2, 1028, f.now_);
    CHECK(f.SequencesOn(Fixture::kNewLink) ==
          std::vector<std::uint64_t>{2, 3, 4});
    CHECK(f.states_.back().next_sequence == 2);
  }

  SECTION("says so if a frame asked for is gone") {
    f.table_.OnResume(Fixture::kNewLink, f.QueryOf(1), 0, 1028, f.now_);
    CHECK(f.SequencesOn(Fixture::kNewLink).empty());
    CHECK(f.last_knowledge() == SideKnowledge::kLost);
  }

  SECTION("a finished attempt is held for the retention, then only known of") {
    f.Pass(std::chrono::seconds(31));
    f.table_.OnResume(Fixture::kNewLink, f.QueryOf(1), 2, 1028, f.now_);
    CHECK(f.SequencesOn(Fixture::kNewLink).empty());
    CHECK(f.last_knowledge() == SideKnowledge::kLost);
    f.table_.OnCancel(Fixture::kNewLink, f.QueryOf(1), f.now_);
    CHECK(f.last_knowledge() == SideKnowledge::kFinished);
  }
}

TEST_CASE("AttemptTable lets a slow caller stop its own stream only") {
  auto options = Fixture::MakeOptions();
  options.stream_buffer_bytes = 4096;
  Fixture f(options);
  f.Start(1);
  f.Start(2);
  const std::string chunk(1000, 'x');
  f.Answer(1, {chunk, chunk, chunk, chunk});

  // 1,024 bytes of credit let two chunks out; the rest waits, and the target's
  // thread is told to stop reading.
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

TEST_CASE("AttemptTable sends again what a full link refused") {
  Fixture f;
  f.Start(1);
  f.link_full_ = true;
  f.Answer(1, {"abc"});
  f.End(1, CallOutcome::kComplete);
  CHECK_FALSE(f.table_.Idle());
  f.link_full_ = false;
  f.Pass(std::chrono::milliseconds(20));
  CHECK(f.SequencesOn(Fixture::kLink) == std::vector<std::uint64_t>{0, 1, 2});
  CHECK(f.table_.Idle());
}

// The entry asks about an attempt that the side does not hold. "Not started"
// may be reported to the caller as "not run", so it is said only if provable.
TEST_CASE("AttemptTable says of an attempt only what it can prove") {
  Fixture f;

  SECTION("one that never came: not started, and refused when it comes") {
    f.table_.OnResume(Fixture::kLink, f.QueryOf(1), 0, 0, f.now_);
    CHECK(f.last_knowledge() == SideKnowledge::kNotStarted);
    f.Start(1);
    CHECK(f.RunsOf(1) == 0);
    CHECK(f.last_refusal() == RefusalReason::kCancelledEarlier);
  }

  SECTION("one sent to an earlier run of the side: lost") {
    auto query = f.QueryOf(1);
    query.side = Incarnation{{6, 6}};
    f.table_.OnCancel(Fixture::kLink, query, f.now_);
    CHECK(f.last_knowledge() == SideKnowledge::kLost);
  }

  SECTION("one that its entry did not number: lost") {
    auto query = f.QueryOf(1);
    query.start_sequence = 0;
    f.table_.OnCancel(Fixture::kLink, query, f.now_);
    CHECK(f.last_knowledge() == SideKnowledge::kLost);
  }

  SECTION("one that ran and was forgotten: lost, and never run again") {
    f.Start(1);
    f.Answer(1, {});
    f.End(1, CallOutcome::kComplete);
    f.Pass(std::chrono::seconds(31));
    f.Pass(std::chrono::seconds(31));
    CHECK(f.table_.held() == 0);
    f.table_.OnResume(Fixture::kLink, f.QueryOf(1), 0, 0, f.now_);
    CHECK(f.last_knowledge() == SideKnowledge::kLost);
    f.Start(1);
    CHECK(f.RunsOf(1) == 1);
    CHECK(f.refusals_.empty());
  }

  SECTION("a cancel waits for the target's thread to say whether it wrote") {
    f.Start(1);
    f.table_.OnCancel(Fixture::kLink, f.QueryOf(1), f.now_);
    CHECK(f.states_.empty());
    REQUIRE(f.cancelled_.size() == 1);
    SECTION("not written: refused") {
      f.End(1, CallOutcome::kStopped);
      CHECK(f.last_refusal() == RefusalReason::kCancelledEarlier);
    }
    SECTION("written: ended as cancelled, never as not run") {
      f.End(1, CallOutcome::kCancelled);
      CHECK(f.refusals_.empty());
      CHECK(f.last_knowledge() == SideKnowledge::kFinished);
    }
  }

  SECTION("a repeated start of one that runs is not refused") {
    f.Start(1);
    f.Start(1);
    CHECK(f.RunsOf(1) == 1);
    CHECK(f.refusals_.empty());
    CHECK(f.last_knowledge() == SideKnowledge::kRunning);
  }
}

TEST_CASE("AttemptTable ends an attempt at its deadline") {
  Fixture f;
  f.Start(1);
  f.Answer(1, {"half"});
  f.Pass(std::chrono::seconds(61));
  REQUIRE(f.cancelled_.size() == 1);
  f.End(1, CallOutcome::kCancelled);
  CHECK(f.sent_.back().second.outcome == RunOutcome::kDeadline);
}

// An entry that dies between two chunks of a request's body, or a chunk lost
// with its connection, must not leave half a request at the target.
TEST_CASE("AttemptTable starts a request only once its body is whole") {
  Fixture f;
  auto start = Fixture::MakeStart(1);
  start.body_continues = true;
  start.request.body = "one ";
  f.table_.OnStart(Fixture::kLink, start, f.now_);
  CHECK(f.RunsOf(1) == 0);

  SECTION("whole: it runs") {
    f.table_.OnBodyChunk(Fixture::kLink, start.id, 0, "two ", false, f.now_);
    f.table_.OnBodyChunk(Fixture::kLink, start.id, 1, "three", true, f.now_);
    CHECK(f.RunsOf(1) == 1);
  }
  SECTION("a chunk lost: refused") {
    f.table_.OnBodyChunk(Fixture::kLink, start.id, 1, "three", true, f.now_);
    CHECK(f.RunsOf(1) == 0);
    CHECK(f.last_refusal() == RefusalReason::kOverloaded);
  }
  SECTION("never finished: refused at the deadline") {
    f.Pass(std::chrono::seconds(61));
    CHECK(f.RunsOf(1) == 0);
    CHECK(f.last_refusal() == RefusalReason::kTooLate);
  }
}

// Answers that their callers took long ago are still held for a resume. They
// must make way: a new attempt is not refused, nor a stream paused, for them.
TEST_CASE("AttemptTable lets finished answers make way for new attempts") {
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

TEST_CASE("AttemptTable keeps its memory within its bounds") {
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
