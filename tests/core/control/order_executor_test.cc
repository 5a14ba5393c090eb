#include "core/control/order_executor.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <ostream>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const EngineSetup kDecode{"decode", "tarifa-llm", "1", {}};
const EngineSetup kPrefill{"prefill", "tarifa-llm", "1", {}};
const EngineSetup kMixed{"mixed", "tarifa-llm", "1", {"a", "b"}};

/// An executor with its store, its engine and its clock played by the test.
class OrderFixture {
 public:
  OrderFixture() : executor_("bilbao-a-1", OrderExecutor::Options{}, Hooks()) {
    Read();
  }

  OrderExecutor::Hooks Hooks() {
    OrderExecutor::Hooks hooks;
    hooks.report = [this](const OrderReport& it) { reports_.push_back(it); };
    hooks.set_gate = [this](bool open) { gate_open_ = open; };
    hooks.confirm = [this](std::uint64_t ticket) {
      confirms_.push_back(ticket);
    };
    hooks.write = [this](std::uint64_t ticket, const SideOrder& order,
                         TimePoint write_by) {
      CHECK(running_ == 0);
      CHECK_FALSE(gate_open_);
      writes_.push_back({ticket, order, write_by});
    };
    hooks.read_state = [this] { ++reads_wanted_; };
    hooks.running = [this] { return running_; };
    return hooks;
  }

  static SideOrder MakeOrder(FencingNumber number, std::uint64_t generation,
                             const EngineSetup& setup) {
    return {number, generation, setup, false};
  }

  void Order(FencingNumber number, std::uint64_t generation,
             const EngineSetup& setup) {
    executor_.OnOrder(MakeOrder(number, generation, setup), now_);
  }

  /// Answers the last confirmation asked for.
  void Confirm(std::optional<FencingNumber> number) {
    REQUIRE_FALSE(confirms_.empty());
    const auto ticket = confirms_.back();
    executor_.OnConfirmed(ticket, number, now_, now_);
  }

  void Written(OrderWriteResult result) {
    REQUIRE_FALSE(writes_.empty());
    executor_.OnWritten(writes_.back().ticket, result, "", now_);
  }

  /// Passes a reading of the engine, asked for now.
  void Read() {
    reading_.asked_at = now_;
    executor_.OnReading(reading_, now_);
  }

  void Pass(Duration time) {
    now_ += time;
    executor_.Tick(now_);
  }

  /// Brings an order of generation 1 up to its write.
  void OrderAndWrite() {
    executor_.OnNumber(5, now_);
    Order(5, 1, kDecode);
    Confirm(5);
    REQUIRE(writes_.size() == 1);
  }

  std::optional<OrderPhase> phase() const {
    return reports_.empty() ? std::nullopt
                            : std::optional(reports_.back().phase);
  }

  struct WriteSeen {
    std::uint64_t ticket;
    SideOrder order;
    TimePoint write_by;
  };

  TimePoint now_{seconds(1000)};
  EngineReading reading_{"boot-1", kMixed, 0, false, true, TimePoint{}};
  std::size_t running_ = 0;
  bool gate_open_ = true;
  int reads_wanted_ = 0;
  std::vector<std::uint64_t> confirms_;
  std::vector<WriteSeen> writes_;
  std::vector<OrderReport> reports_;
  OrderExecutor executor_;
};

TEST_CASE("OrderExecutor drains, writes and reads back") {
  OrderFixture f;
  f.executor_.OnNumber(5, f.now_);
  f.running_ = 2;
  f.Order(5, 1, kDecode);
  CHECK(f.phase() == OrderPhase::kAccepted);
  CHECK(f.gate_open_);
  f.Confirm(5);
  CHECK(f.phase() == OrderPhase::kDraining);
  CHECK_FALSE(f.gate_open_);
  f.Pass(seconds(3));
  CHECK(f.writes_.empty());

  f.running_ = 0;
  f.Pass(milliseconds(20));
  REQUIRE(f.confirms_.size() == 2);  // The first one is three seconds old.
  f.Confirm(5);
  REQUIRE(f.writes_.size() == 1);
  CHECK(f.writes_[0].write_by == f.now_ + seconds(1));
  f.Written(OrderWriteResult::kTaken);
  CHECK(f.phase() == OrderPhase::kApplying);

  f.now_ += milliseconds(100);
  f.reading_.changing = true;
  f.Read();
  CHECK(f.phase() == OrderPhase::kApplying);
  f.reading_ = {"boot-1", kDecode, 1, false, true, TimePoint{}};
  f.Read();
  CHECK(f.phase() == OrderPhase::kInForce);
  CHECK(f.gate_open_);
  CHECK(f.executor_.generation_in_force() == 1);
}

TEST_CASE("OrderExecutor leaves an engine alone that is as ordered") {
  OrderFixture f;
  f.executor_.OnNumber(5, f.now_);
  f.Order(5, 1, {"mixed", "tarifa-llm", "1", {"b", "a"}});
  CHECK(f.phase() == OrderPhase::kInForce);
  CHECK(f.confirms_.empty());
  CHECK(f.writes_.empty());
}

// A holder of the control lease is paused, another takes over, and the first
// wakes and sends its order. At each point where the side can learn of the
// newer number before its write, the order has no effect.
TEST_CASE("OrderExecutor gives an old fencing number no effect") {
  OrderFixture f;

  SECTION("after a restart, before any number is known") {
    f.Order(5, 1, kDecode);
    CHECK(f.reports_.empty());
    CHECK(f.confirms_.empty());
    f.executor_.OnNumber(6, f.now_);
    f.Order(5, 1, kDecode);
    CHECK(f.phase() == OrderPhase::kRefusedStale);
  }
  SECTION("the store shows a newer number before the drain") {
    f.executor_.OnNumber(5, f.now_);
    f.Order(5, 1, kDecode);
    f.Confirm(6);
    CHECK(f.phase() == OrderPhase::kRefusedStale);
  }
  SECTION("a notice comes while it drains") {
    f.executor_.OnNumber(5, f.now_);
    f.running_ = 1;
    f.Order(5, 1, kDecode);
    f.Confirm(5);
    f.executor_.OnNumber(6, f.now_);
    CHECK(f.phase() == OrderPhase::kRefusedStale);
    f.running_ = 0;
    f.Pass(seconds(1));
  }
  SECTION("the store shows a newer number right before the write") {
    f.executor_.OnNumber(5, f.now_);
    f.running_ = 1;
    f.Order(5, 1, kDecode);
    f.Confirm(5);
    f.running_ = 0;
    f.Pass(seconds(5));
    f.Confirm(6);
    CHECK(f.phase() == OrderPhase::kRefusedStale);
  }
  CHECK(f.writes_.empty());
  CHECK(f.gate_open_);
}

// The side itself is paused after it asked the store. The answer it finds when
// it wakes may be minutes old; counted from before the read was sent, it is too
// old to write by, so the side asks again.
TEST_CASE("OrderExecutor does not trust a number it slept on") {
  OrderFixture f;
  f.executor_.OnNumber(5, f.now_);
  f.Order(5, 1, kDecode);
  const TimePoint asked_at = f.now_;
  f.now_ += seconds(30);
  f.executor_.OnConfirmed(f.confirms_.back(), 5, asked_at, f.now_);
  CHECK(f.writes_.empty());
  f.Pass(seconds(3));
  CHECK(f.confirms_.size() == 2);
}

// The store is down: roles freeze, serving goes on. Only after it answers does
// the order go on.
TEST_CASE("OrderExecutor waits for the store with the gate open") {
  OrderFixture f;
  f.executor_.OnNumber(5, f.now_);
  f.Order(5, 1, kDecode);
  f.Confirm(std::nullopt);
  CHECK(f.gate_open_);
  CHECK(f.phase() == OrderPhase::kAccepted);
  f.Pass(seconds(3));
  f.Pass(seconds(6));  // This one is never answered.
  CHECK(f.gate_open_);
  f.Pass(seconds(3));
  f.Confirm(4);  // A stale read proves nothing.
  CHECK(f.writes_.empty());
  f.Pass(seconds(3));
  f.Confirm(5);
  CHECK(f.writes_.size() == 1);
}

TEST_CASE("OrderExecutor settles every end of a write") {
  OrderFixture f;
  f.OrderAndWrite();

  SECTION("the engine knows a newer number") {
    f.Written(OrderWriteResult::kStale);
    CHECK(f.phase() == OrderPhase::kRefusedStale);
    CHECK(f.gate_open_);
  }
  SECTION("the engine will not do it") {
    f.Written(OrderWriteResult::kRejected);
    CHECK(f.phase() == OrderPhase::kFailed);
    CHECK(f.gate_open_);
  }
  SECTION("busy: written again once it is free") {
    f.Written(OrderWriteResult::kBusy);
    f.Pass(seconds(2));
    f.Confirm(5);
    CHECK(f.writes_.size() == 2);
  }
  SECTION("not written, engine down: again once it is back") {
    f.reading_.reachable = false;
    f.Read();
    f.Written(OrderWriteResult::kNotWritten);
    f.Pass(seconds(60));
    CHECK(f.writes_.size() == 1);
    f.reading_.reachable = true;
    f.Read();
    f.Pass(milliseconds(20));
    f.Confirm(5);
    CHECK(f.writes_.size() == 2);
  }
  SECTION("broken, and it had arrived") {
    f.Written(OrderWriteResult::kUnknown);
    f.now_ += milliseconds(10);
    f.reading_.changing = true;
    f.Read();
    f.reading_ = {"boot-1", kDecode, 1, false, true, TimePoint{}};
    f.Read();
    CHECK(f.phase() == OrderPhase::kInForce);
    CHECK(f.writes_.size() == 1);
  }
  SECTION("broken, and it never arrived: nothing else until it cannot") {
    f.Written(OrderWriteResult::kUnknown);
    f.Order(5, 2, kPrefill);
    f.now_ += milliseconds(10);
    f.Read();
    CHECK(f.confirms_.size() == 1);
    f.now_ += seconds(6);
    f.Read();
    CHECK(f.confirms_.size() == 2);
    f.Confirm(5);
    REQUIRE(f.writes_.size() == 2);
    CHECK(f.writes_[1].order.generation == 2);
  }
  SECTION("a reading from before the write proves nothing") {
    const TimePoint before = f.now_;
    f.now_ += milliseconds(50);
    f.Written(OrderWriteResult::kTaken);
    f.reading_.asked_at = before;
    f.executor_.OnReading(f.reading_, f.now_);
    CHECK(f.phase() == OrderPhase::kApplying);
    CHECK(f.writes_.size() == 1);
  }
}

// The engine's process dies in the middle of a change and comes back as it was
// at its start. Nobody ordered that, so the gate stays shut while the order is
// written again; an engine that dies of it each time is reported as failed.
TEST_CASE("OrderExecutor drives a crashed change on, or reports it") {
  OrderFixture f;
  f.OrderAndWrite();
  for (int crash = 2; crash <= 3; ++crash) {
    f.Written(OrderWriteResult::kTaken);
    f.now_ += milliseconds(100);
    f.reading_.reachable = false;
    f.Read();
    CHECK_FALSE(f.gate_open_);
    f.reading_ = {
        "boot-" + std::to_string(crash), kMixed, 0, false, true, TimePoint{}};
    f.Read();
    CHECK_FALSE(f.gate_open_);
    f.Pass(seconds(1));
    f.Confirm(5);
    REQUIRE(f.writes_.size() == static_cast<std::size_t>(crash));
  }
  f.Written(OrderWriteResult::kTaken);
  f.now_ += milliseconds(100);

  SECTION("the third time it holds") {
    f.reading_ = {"boot-3", kDecode, 1, false, true, TimePoint{}};
    f.Read();
    CHECK(f.phase() == OrderPhase::kInForce);
  }
  SECTION("the third time it dies again") {
    f.reading_ = {"boot-4", kMixed, 0, false, true, TimePoint{}};
    f.Read();
    CHECK(f.phase() == OrderPhase::kFailed);
    CHECK(f.gate_open_);
  }
}

TEST_CASE("OrderExecutor never has two orders under way") {
  OrderFixture f;
  f.OrderAndWrite();
  f.Order(5, 2, kPrefill);
  f.Order(6, 3, kMixed);  // Supersedes the one that waits.
  CHECK(f.writes_.size() == 1);
  CHECK(f.confirms_.size() == 1);
  f.Written(OrderWriteResult::kTaken);
  f.now_ += milliseconds(100);
  f.reading_ = {"boot-1", kDecode, 1, false, true, TimePoint{}};
  f.Read();
  f.Confirm(6);
  REQUIRE(f.writes_.size() == 2);
  CHECK(f.writes_[1].order.generation == 3);
}

TEST_CASE("OrderExecutor takes a target out of service and back") {
  OrderFixture f;
  f.executor_.OnNumber(5, f.now_);
  f.running_ = 1;
  f.executor_.OnOrder({5, 1, kMixed, true}, f.now_);
  f.Confirm(5);
  f.running_ = 0;
  f.Pass(milliseconds(20));
  CHECK(f.phase() == OrderPhase::kInForce);
  CHECK_FALSE(f.gate_open_);
  CHECK(f.writes_.empty());
  f.Order(5, 2, kMixed);
  CHECK(f.phase() == OrderPhase::kInForce);
  CHECK(f.gate_open_);
}

TEST_CASE("OrderExecutor carries an order on under a newer number") {
  OrderFixture f;
  f.OrderAndWrite();
  f.Written(OrderWriteResult::kTaken);
  f.now_ += milliseconds(100);
  f.reading_ = {"boot-1", kDecode, 1, false, true, TimePoint{}};
  f.Read();
  f.Order(6, 1, kDecode);
  CHECK(f.phase() == OrderPhase::kInForce);
  CHECK(f.reports_.back().fencing_number == 6);
  CHECK(f.writes_.size() == 1);
}

/// An engine that ignores fencing numbers, and a store whose holder changes.
class OrderWorld {
 public:
  void Step() {
    f_.now_ += milliseconds(*rc::gen::inRange(1, 300));
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        ++number_;
        break;
      case 1:
      case 2:
        SendOrder();
        break;
      case 3:
        f_.executor_.OnNumber(number_, f_.now_);
        break;
      case 4:
        f_.running_ = *rc::gen::inRange<std::size_t>(0, 2);
        break;
      case 5:
        AnswerConfirm();
        break;
      case 6:
      case 7:
        AnswerWrite();
        break;
      case 8:
        Crash();
        break;
      default:
        Read();
        break;
    }
    if (f_.gate_open_ == false && *rc::gen::arbitrary<bool>()) {
      f_.running_ = 0;
    }
    f_.executor_.Tick(f_.now_);
    Check();
  }

  void Settle() {
    f_.executor_.OnNumber(number_, f_.now_);
    f_.Order(number_, 1000, kDecode);
    for (int i = 0; i < 400; ++i) {
      f_.running_ = 0;
      f_.now_ += milliseconds(100);
      if (!f_.confirms_.empty()) {
        AnswerConfirm();
      }
      TakeWrite(OrderWriteResult::kTaken);
      Read();
      f_.executor_.Tick(f_.now_);
      Check();
    }
    RC_ASSERT(f_.executor_.generation_in_force() == 1000);
    RC_ASSERT(SameSetup(f_.reading_.setup, kDecode));
  }

 private:
  void SendOrder() {
    const auto number = *rc::gen::inRange<FencingNumber>(1, number_ + 1);
    const auto generation = *rc::gen::inRange<std::uint64_t>(1, 6);
    const EngineSetup setups[] = {kDecode, kPrefill, kMixed};
    f_.Order(number, generation, setups[generation % 3]);
  }

  void AnswerConfirm() {
    if (f_.confirms_.empty()) {
      return;
    }
    f_.executor_.OnConfirmed(f_.confirms_.back(), number_, f_.now_, f_.now_);
  }

  void AnswerWrite() {
    TakeWrite(*rc::gen::element(
        OrderWriteResult::kTaken, OrderWriteResult::kUnknown,
        OrderWriteResult::kNotWritten, OrderWriteResult::kBusy));
  }

  void TakeWrite(OrderWriteResult result) {
    if (answered_ == f_.writes_.size()) {
      return;
    }
    const auto write = f_.writes_[answered_++];
    const bool lands =
        result == OrderWriteResult::kTaken ||
        (result == OrderWriteResult::kUnknown && *rc::gen::arbitrary<bool>());
    if (lands) {
      f_.reading_.setup = write.order.setup;
      f_.reading_.generation = write.order.generation;
    }
    f_.executor_.OnWritten(write.ticket, result, "", f_.now_);
  }

  void Crash() {
    f_.reading_.boot_id += "x";
    f_.reading_.setup = kMixed;
  }

  void Read() { f_.Read(); }

  void Check() {
    RC_ASSERT(f_.writes_.size() <= answered_ + 1);  // One at a time.
    while (checked_ < f_.writes_.size()) {
      // The world answers confirmations truly, so a write under an old number
      // could only come from one that was not confirmed in time.
      RC_ASSERT(f_.writes_[checked_].order.fencing_number == number_);
      RC_ASSERT(f_.writes_[checked_].write_by >= f_.now_);
      ++checked_;
    }
  }

  OrderFixture f_;
  FencingNumber number_ = 1;
  std::size_t answered_ = 0;
  std::size_t checked_ = 0;
};

// Holders come and go, their orders arrive late and out of order, writes break,
// the engine crashes. The engine ignores fencing numbers: only the executor
// stands between it and an old or a second order.
TEST_CASE("OrderExecutor keeps an engine that ignores numbers from conflict") {
  CHECK(rc::check("one order at a time, under the newest number", [] {
    OrderWorld world;
    const int steps = *rc::gen::inRange(20, 200);
    for (int i = 0; i < steps; ++i) {
      world.Step();
    }
    world.Settle();
  }));
}

}  // namespace
}  // namespace indigolead
