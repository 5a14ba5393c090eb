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

/// Runs an executor with a simulated store, engine and clock.
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

  /// Answers the last confirmation request.
  void Confirm(std::optional<FencingNumber> number) {
    REQUIRE_FALSE(confirms_.empty());
    const auto ticket = confirms_.back();
    executor_.OnConfirmed(ticket, number, now_, now_);
  }

  void Written(OrderWriteResult result) {
    REQUIRE_FALSE(writes_.empty());
    executor_.OnWritten(writes_.back().ticket, result, "", now_);
  }

  /// Passes in the current engine state, read now.
  void Read() {
    reading_.asked_at = now_;
    executor_.OnReading(reading_, now_);
  }

  void Advance(Duration time) {
    now_ += time;
    executor_.Tick(now_);
  }

  /// Advances an order of generation 1 up to its write.
  void OrderAndWrite() {
    executor_.OnFencingNumber(5, now_);
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
  f.executor_.OnFencingNumber(5, f.now_);
  f.running_ = 2;
  f.Order(5, 1, kDecode);
  CHECK(f.phase() == OrderPhase::kAccepted);
  CHECK(f.gate_open_);
  f.Confirm(5);
  CHECK(f.phase() == OrderPhase::kDraining);
  CHECK_FALSE(f.gate_open_);
  f.Advance(seconds(3));
  CHECK(f.writes_.empty());

  f.running_ = 0;
  f.Advance(milliseconds(20));
  // The first confirmation is three seconds old and has expired.
  REQUIRE(f.confirms_.size() == 2);
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

TEST_CASE(
    "OrderExecutor does not write to an engine that is already as ordered") {
  OrderFixture f;
  f.executor_.OnFencingNumber(5, f.now_);
  f.Order(5, 1, {"mixed", "tarifa-llm", "1", {"b", "a"}});
  CHECK(f.phase() == OrderPhase::kInForce);
  CHECK(f.confirms_.empty());
  CHECK(f.writes_.empty());
}

// A lease holder is paused, another takes over, and the first resumes and sends
// its order. At each point where the side can learn the newer fencing number
// before its write, the order must have no effect.
TEST_CASE("OrderExecutor does not apply an order with an old fencing number") {
  OrderFixture f;

  SECTION("after a restart, before any number is known") {
    f.Order(5, 1, kDecode);
    CHECK(f.reports_.empty());
    CHECK(f.confirms_.empty());
    f.executor_.OnFencingNumber(6, f.now_);
    f.Order(5, 1, kDecode);
    CHECK(f.phase() == OrderPhase::kRefusedStale);
  }
  SECTION("the store shows a newer number before the drain") {
    f.executor_.OnFencingNumber(5, f.now_);
    f.Order(5, 1, kDecode);
    f.Confirm(6);
    CHECK(f.phase() == OrderPhase::kRefusedStale);
  }
  SECTION("a notice of a newer number arrives during the drain") {
    f.executor_.OnFencingNumber(5, f.now_);
    f.running_ = 1;
    f.Order(5, 1, kDecode);
    f.Confirm(5);
    f.executor_.OnFencingNumber(6, f.now_);
    CHECK(f.phase() == OrderPhase::kRefusedStale);
    f.running_ = 0;
    f.Advance(seconds(1));
  }
  SECTION("the store shows a newer number right before the write") {
    f.executor_.OnFencingNumber(5, f.now_);
    f.running_ = 1;
    f.Order(5, 1, kDecode);
    f.Confirm(5);
    f.running_ = 0;
    f.Advance(seconds(5));
    f.Confirm(6);
    CHECK(f.phase() == OrderPhase::kRefusedStale);
  }
  CHECK(f.writes_.empty());
  CHECK(f.gate_open_);
}

// The side is paused after it asked the store. The answer may be minutes old
// when the side resumes. Its age counts from before the read was sent, so it
// has expired and the side must ask again.
TEST_CASE(
    "OrderExecutor does not use a confirmation that expired during a pause") {
  OrderFixture f;
  f.executor_.OnFencingNumber(5, f.now_);
  f.Order(5, 1, kDecode);
  const TimePoint asked_at = f.now_;
  f.now_ += seconds(30);
  f.executor_.OnConfirmed(f.confirms_.back(), 5, asked_at, f.now_);
  CHECK(f.writes_.empty());
  f.Advance(seconds(3));
  CHECK(f.confirms_.size() == 2);
}

// While the store is down, the role must not change and the target must keep
// serving. The order continues once the store answers.
TEST_CASE("OrderExecutor waits for the store with the gate open") {
  OrderFixture f;
  f.executor_.OnFencingNumber(5, f.now_);
  f.Order(5, 1, kDecode);
  f.Confirm(std::nullopt);
  CHECK(f.gate_open_);
  CHECK(f.phase() == OrderPhase::kAccepted);
  f.Advance(seconds(3));
  f.Advance(seconds(6));  // This request is never answered.
  CHECK(f.gate_open_);
  f.Advance(seconds(3));
  f.Confirm(4);  // A stale read does not confirm the number.
  CHECK(f.writes_.empty());
  f.Advance(seconds(3));
  f.Confirm(5);
  CHECK(f.writes_.size() == 1);
}

TEST_CASE("OrderExecutor handles every outcome of a write") {
  OrderFixture f;
  f.OrderAndWrite();

  SECTION("the engine knows a newer number") {
    f.Written(OrderWriteResult::kStale);
    CHECK(f.phase() == OrderPhase::kRefusedStale);
    CHECK(f.gate_open_);
  }
  SECTION("the engine rejects the order") {
    f.Written(OrderWriteResult::kRejected);
    CHECK(f.phase() == OrderPhase::kFailed);
    CHECK(f.gate_open_);
  }
  SECTION("the engine is busy: the order is written again once it is free") {
    f.Written(OrderWriteResult::kBusy);
    f.Advance(seconds(2));
    f.Confirm(5);
    CHECK(f.writes_.size() == 2);
  }
  SECTION("not written, engine down: written again once the engine is back") {
    f.reading_.reachable = false;
    f.Read();
    f.Written(OrderWriteResult::kNotWritten);
    f.Advance(seconds(60));
    CHECK(f.writes_.size() == 1);
    f.reading_.reachable = true;
    f.Read();
    f.Advance(milliseconds(20));
    f.Confirm(5);
    CHECK(f.writes_.size() == 2);
  }
  SECTION("the write broke off and had arrived") {
    f.Written(OrderWriteResult::kUnknown);
    f.now_ += milliseconds(10);
    f.reading_.changing = true;
    f.Read();
    f.reading_ = {"boot-1", kDecode, 1, false, true, TimePoint{}};
    f.Read();
    CHECK(f.phase() == OrderPhase::kInForce);
    CHECK(f.writes_.size() == 1);
  }
  SECTION("the write broke off: nothing is written until it cannot arrive") {
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
  SECTION("a reading from before the write is ignored") {
    const TimePoint before = f.now_;
    f.now_ += milliseconds(50);
    f.Written(OrderWriteResult::kTaken);
    f.reading_.asked_at = before;
    f.executor_.OnReading(f.reading_, f.now_);
    CHECK(f.phase() == OrderPhase::kApplying);
    CHECK(f.writes_.size() == 1);
  }
}

// The engine crashes during a change and restarts with its initial setup, which
// no order requested. So the gate must stay closed while the order is written
// again. An engine that crashes each time must be reported as failed.
TEST_CASE(
    "OrderExecutor repeats a change after a crash, then reports failure") {
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
    f.Advance(seconds(1));
    f.Confirm(5);
    REQUIRE(f.writes_.size() == static_cast<std::size_t>(crash));
  }
  f.Written(OrderWriteResult::kTaken);
  f.now_ += milliseconds(100);

  SECTION("the third write succeeds") {
    f.reading_ = {"boot-3", kDecode, 1, false, true, TimePoint{}};
    f.Read();
    CHECK(f.phase() == OrderPhase::kInForce);
  }
  SECTION("the engine crashes at the third write too") {
    f.reading_ = {"boot-4", kMixed, 0, false, true, TimePoint{}};
    f.Read();
    CHECK(f.phase() == OrderPhase::kFailed);
    CHECK(f.gate_open_);
  }
}

TEST_CASE("OrderExecutor never has two orders in progress") {
  OrderFixture f;
  f.OrderAndWrite();
  f.Order(5, 2, kPrefill);
  f.Order(6, 3, kMixed);  // Supersedes the waiting order.
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
  f.executor_.OnFencingNumber(5, f.now_);
  f.running_ = 1;
  f.executor_.OnOrder({5, 1, kMixed, true}, f.now_);
  f.Confirm(5);
  f.running_ = 0;
  f.Advance(milliseconds(20));
  CHECK(f.phase() == OrderPhase::kInForce);
  CHECK_FALSE(f.gate_open_);
  CHECK(f.writes_.empty());
  f.Order(5, 2, kMixed);
  CHECK(f.phase() == OrderPhase::kInForce);
  CHECK(f.gate_open_);
}

TEST_CASE("OrderExecutor continues an order under a newer fencing number") {
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

/// Simulates an engine that ignores fencing numbers and a store whose lease
/// holder changes.
class RandomOrderFixture {
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
        f_.executor_.OnFencingNumber(number_, f_.now_);
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
    f_.executor_.OnFencingNumber(number_, f_.now_);
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
    // At most one write is unanswered.
    RC_ASSERT(f_.writes_.size() <= answered_ + 1);
    while (checked_ < f_.writes_.size()) {
      // Confirmations always carry the current number, so a write under an old
      // number would mean that it was not confirmed in time.
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

// Lease holders change, their orders arrive late and out of order, writes break
// off and the engine crashes. The engine ignores fencing numbers, so only the
// executor can keep old and concurrent orders from it.
TEST_CASE("OrderExecutor protects an engine that ignores fencing numbers") {
  CHECK(rc::check("one order at a time, under the newest number", [] {
    RandomOrderFixture fixture;
    const int steps = *rc::gen::inRange(20, 200);
    for (int i = 0; i < steps; ++i) {
      fixture.Step();
    }
    fixture.Settle();
  }));
}

}  // namespace
}  // namespace indigolead
