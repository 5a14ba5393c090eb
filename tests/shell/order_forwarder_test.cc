#include "entry/order_forwarder.h"

#include <catch2/catch.hpp>
#include <vector>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr LinkId kLink{1};

TimePoint At(int s) { return TimePoint{seconds(1000 + s)}; }

ControlState StateOf(FencingNumber lease, std::uint64_t lease_version,
                     FencingNumber number, std::uint64_t generation,
                     std::uint64_t version) {
  ControlState state;
  LeaseRecord record;
  record.holder = "entry-a";
  record.fencing_number = lease;
  record.earlier = {10};
  state.lease = {record, lease_version};
  TargetOrder order;
  order.target = "engine-1";
  order.fencing_number = number;
  order.generation = generation;
  order.desired.model = "small";
  state.orders["engine-1"] = {order, version};
  return state;
}

struct Fixture {
  std::vector<wire::Envelope> sent;
  int reads = 0;
  OrderForwarder forwarder{{},
                           {[this](LinkId, const wire::Envelope& message) {
                              sent.push_back(message);
                              return true;
                            },
                            [this] { ++reads; }},
                           MakeNullEventLog()};

  int orders() const {
    int n = 0;
    for (const auto& message : sent) {
      n += message.has_order() ? 1 : 0;
    }
    return n;
  }
};

// Guards against an outdated order reaching a side that has just started and
// knows no fencing number. An entry that is cut off from the store, or whose
// watch is silent, may hold an order that was replaced long ago. So nothing is
// sent before a read that began after the side connected.
TEST_CASE("OrderForwarder sends nothing to a new side before a fresh read") {
  Fixture f;
  f.forwarder.OnState(StateOf(10, 10, 10, 1, 12), At(0));
  f.forwarder.OnSideUp(kLink, "engine-1", At(1));
  f.forwarder.Tick(At(1));
  REQUIRE(f.reads == 1);

  SECTION("nothing is sent while the store does not answer") {
    f.forwarder.OnStateRead(
        Error{ErrorCode::kTimeout, "store.list", "store", ""}, At(2));
    f.forwarder.OnState(StateOf(10, 10, 10, 1, 12), At(2));
    CHECK(f.sent.empty());
    f.forwarder.Tick(At(3));
    CHECK(f.reads == 2);
  }
  SECTION("nothing is sent after a stale read") {
    f.forwarder.OnStateRead(StateOf(5, 5, 5, 1, 6), At(2));
    CHECK(f.sent.empty());
  }
  SECTION("the fencing number and then the order are sent after a read") {
    f.forwarder.OnStateRead(StateOf(10, 10, 10, 1, 12), At(2));
    REQUIRE(f.sent.size() == 2);
    CHECK(f.sent[0].fencing().fencing_number() == 10);
    CHECK(f.sent[1].order().generation() == 1);
  }
  SECTION("a side that connected after the read began has to wait") {
    f.forwarder.OnSideUp(LinkId{2}, "engine-2", At(2));
    f.forwarder.OnStateRead(StateOf(10, 10, 10, 1, 12), At(2));
    CHECK(f.orders() == 1);
    CHECK(f.sent.size() == 2);
    f.forwarder.Tick(At(3));
    CHECK(f.reads == 2);
  }
}

TEST_CASE("OrderForwarder forwards orders") {
  Fixture f;
  f.forwarder.OnSideUp(kLink, "engine-1", At(0));
  f.forwarder.Tick(At(0));
  f.forwarder.OnStateRead(StateOf(10, 10, 10, 1, 12), At(0));
  REQUIRE(f.orders() == 1);

  SECTION("repeats an order until it is answered") {
    f.forwarder.Tick(At(1));
    CHECK(f.orders() == 1);
    f.forwarder.Tick(At(2));
    CHECK(f.orders() == 2);
    f.forwarder.OnReport(kLink, {"engine-1", 10, 1, OrderPhase::kAccepted, ""});
    f.forwarder.Tick(At(10));
    CHECK(f.orders() == 2);
  }
  SECTION("forwards the next generation at once") {
    f.forwarder.OnState(StateOf(10, 10, 10, 2, 13), At(1));
    CHECK(f.orders() == 2);
    CHECK(f.sent.back().order().generation() == 2);
  }
  SECTION("sends the new number when the lease moves, and the order under it") {
    f.forwarder.OnState(StateOf(20, 20, 10, 1, 12), At(1));
    CHECK(f.sent.back().fencing().fencing_number() == 20);
    f.forwarder.OnState(StateOf(20, 20, 20, 1, 21), At(1));
    CHECK(f.sent.back().order().fencing_number() == 20);
  }
  // The holder was suspended between its decision and its write, and wrote
  // after another entry had won the lease.
  SECTION("does not forward an order written after its number ended") {
    f.forwarder.OnState(StateOf(20, 20, 10, 2, 21), At(1));
    f.forwarder.Tick(At(30));
    CHECK(f.orders() == 1);
  }
  SECTION("an older state reverts nothing") {
    f.forwarder.OnState(StateOf(10, 10, 10, 2, 13), At(1));
    f.forwarder.OnState(StateOf(10, 10, 10, 1, 12), At(2));
    f.forwarder.Tick(At(5));
    CHECK(f.sent.back().order().generation() == 2);
  }
}

}  // namespace
}  // namespace indigolead
