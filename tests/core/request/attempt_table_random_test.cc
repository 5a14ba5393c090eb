#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <set>

#include "core/request/attempt_table.h"
#include "tests/core/request/attempt_table_fixture.h"

namespace indigolead {
namespace {

using Fixture = AttemptTableFixture;

/// Simulates an entry whose messages are lost, repeated and reordered.
class RandomizedRun {
 public:
  RandomizedRun() : f_(MakeOptions()) {}

  void Step() {
    const auto n = *rc::gen::inRange<std::uint64_t>(1, 40);
    switch (*rc::gen::inRange(0, 9)) {
      case 0:
      case 1:
        f_.Start(n);
        break;
      case 2:
        f_.table_.OnCancel(Fixture::kLink, f_.QueryOf(n), f_.now_);
        break;
      case 3:
        f_.table_.OnResume(Fixture::kLink, f_.QueryOf(n), 0, 0, f_.now_);
        break;
      case 4:
        f_.Answer(n, {"data"});
        break;
      case 5:
        EndCall(n);
        break;
      case 6:
        f_.AdvanceTime(std::chrono::seconds(*rc::gen::inRange(0, 40)));
        break;
      case 7:
        f_.table_.SetLeaving(*rc::gen::arbitrary<bool>());
        break;
      case 8:
        f_.table_.OnLinkDown(Fixture::kLink);
        f_.table_.OnPeer(Fixture::kLink, f_.kEntry);
        break;
      default:
        break;
    }
    Check();
  }

 private:
  static AttemptTable::Options MakeOptions() {
    auto options = Fixture::MakeOptions();
    options.max_finished = 3;
    options.memory.max_ids = 5;
    return options;
  }

  /// Ends a call as the target's thread would, with the request written or not.
  void EndCall(std::uint64_t n) {
    const AttemptId id{{1, n}};
    if (f_.RunCount(n) == 0 || ended_.contains(id)) {
      return;
    }
    ended_.insert(id);
    const bool was_written = *rc::gen::arbitrary<bool>();
    if (was_written) {
      written_.insert(id);
    }
    f_.End(n, was_written ? CallOutcome::kComplete : CallOutcome::kNotWritten);
  }

  void Check() {
    for (const auto& [id, runs] : f_.runs_) {
      RC_ASSERT(runs == 1);
    }
    for (const auto& it : f_.refusals_) {
      RC_ASSERT(!written_.contains(it.id));
      reported_not_run_.insert(it.id);
    }
    for (const auto& it : f_.states_) {
      if (it.knowledge == SideKnowledge::kNotStarted) {
        RC_ASSERT(!written_.contains(it.id));
        reported_not_run_.insert(it.id);
      }
    }
    // An attempt reported as "not run" must not be running now.
    for (const auto& id : reported_not_run_) {
      RC_ASSERT(!f_.runs_.contains(id) || ended_.contains(id));
    }
    RC_ASSERT(f_.table_.running() <= f_.options_.max_attempts);
    RC_ASSERT(f_.table_.held() <= f_.options_.max_attempts + 3);
  }

  Fixture f_;
  std::set<AttemptId> ended_;
  std::set<AttemptId> written_;
  std::set<AttemptId> reported_not_run_;
};

// Guards against attempts that run twice or that run although they were
// reported as "not run". Starts, cancels, resumes and answers of about forty
// attempts are lost, repeated and reordered, and the memory holds only a few of
// them.
TEST_CASE("AttemptTable runs attempts at most once, refused ones never") {
  CHECK(rc::check("at most one run, none after a refusal", [] {
    RandomizedRun run;
    const int steps = *rc::gen::inRange(50, 300);
    for (int i = 0; i < steps; ++i) {
      run.Step();
    }
  }));
}

struct Delivery {
  std::vector<std::string> chunks;
  std::string received;
  std::uint64_t next = 0;
  bool ended = false;
};

/// Delivers the frames sent on `link` to `receiver`. If `lose` is true, drops a
/// random tail of them. Returns the number of body bytes received.
std::uint64_t Receive(const Fixture& f, LinkNumber link, bool lose,
                      Delivery* receiver) {
  std::uint64_t taken = 0;
  for (const auto& [number, frame] : f.sent_) {
    if (number != link || frame.sequence != receiver->next) {
      continue;
    }
    if (lose && *rc::gen::inRange(0, 3) == 0) {
      break;
    }
    ++receiver->next;
    if (frame.kind == AttemptFrame::Kind::kChunk) {
      receiver->received += frame.data;
      taken += frame.data.size();
    }
    receiver->ended = frame.kind == AttemptFrame::Kind::kEnd;
  }
  return taken;
}

// Guards against lost or repeated bytes after reconnects. The connection is
// lost repeatedly, together with frames and credits in flight, and the entry
// resumes at the first missing frame. The caller must get every byte once, in
// order, and then the end.
TEST_CASE("AttemptTable delivers a complete stream over lossy connections") {
  CHECK(rc::check("complete, in order, once", [] {
    Fixture f;
    auto start = Fixture::MakeStart(1);
    start.initial_credit_bytes = *rc::gen::inRange<std::uint64_t>(1, 40);
    f.table_.OnStart(Fixture::kLink, start, f.now_);
    Delivery delivery;
    std::string expected_body;
    std::uint64_t granted = start.initial_credit_bytes;
    LinkNumber link = Fixture::kLink;
    f.table_.OnCallHead(start.id, 200, {});
    const int parts = *rc::gen::inRange(1, 20);
    for (int i = 0; i < parts; ++i) {
      const std::string chunk(*rc::gen::inRange<std::size_t>(1, 30),
                              static_cast<char>('a' + i));
      expected_body += chunk;
      f.table_.OnCallBody(start.id, std::string(chunk));
      const auto taken = Receive(f, link, true, &delivery);
      granted += taken;
      if (*rc::gen::arbitrary<bool>()) {
        f.table_.OnLinkDown(link);
        f.table_.OnPeer(++link, f.kEntry);
        f.table_.OnResume(link, f.QueryOf(1), delivery.next, granted, f.now_);
      } else if (taken > 0) {
        f.table_.OnCredit(start.id, taken);
      }
    }
    f.End(1, CallOutcome::kComplete);
    for (int i = 0; i < 200 && !delivery.ended; ++i) {
      f.table_.OnPeer(++link, f.kEntry);
      f.table_.OnResume(link, f.QueryOf(1), delivery.next, granted, f.now_);
      granted += Receive(f, link, false, &delivery);
    }
    RC_ASSERT(delivery.ended);
    RC_ASSERT(delivery.received == expected_body);
  }));
}

}  // namespace
}  // namespace indigolead
