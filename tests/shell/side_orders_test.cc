#include <catch2/catch.hpp>

#include "core/control/lease.h"
#include "standins/engine_server.h"
#include "standins/platform_server.h"
#include "tests/support/side_fixture.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;

/// Runs a side with an engine, a platform and an entry, all in this process.
class SideOrderFixture {
 public:
  explicit SideOrderFixture(bool engine_checks_fencing) {
    engine_.Change([&](auto* it) {
      it->change_time = milliseconds(200);
      it->check_fencing = engine_checks_fencing;
      it->decode_tokens_per_s = 200;
    });
    auto settings =
        RunningSide::MakeSettings(entry_.address(), engine_.address());
    settings.store.address = platform_.address();
    side_ = std::make_unique<RunningSide>(settings);
    entry_.WaitForSide();
    entry_.RunUntil(
        [&] { return entry_.heartbeat_.target().health() == wire::TARGET_UP; },
        "the engine up");
  }

  /// Writes a new lease and returns its fencing number, the object's version.
  FencingNumber AcquireLease() {
    LeaseRecord lease;
    lease.holder = "entry-1";
    const auto before = platform_.Peek("control/lease");
    return platform_.Poke("control/lease", EncodeLease(lease),
                          before ? before->version : 0);
  }

  void SendFencingNumber(FencingNumber number) {
    wire::Envelope message;
    message.mutable_fencing()->set_fencing_number(number);
    entry_.Send(message);
  }

  void SendOrder(FencingNumber number, std::uint64_t generation,
                 const std::string& role) {
    wire::Envelope message;
    auto* order = message.mutable_order();
    order->set_target("bilbao-a-1");
    order->set_fencing_number(number);
    order->set_generation(generation);
    order->set_role(role);
    order->set_model("tarifa-llm");
    order->set_model_version("1");
    entry_.Send(message);
  }

  void WaitForPhase(std::uint64_t generation, wire::OrderPhase phase) {
    entry_.RunUntil([&] { return HasPhase(generation, phase); }, "a phase");
  }

  bool HasPhase(std::uint64_t generation, wire::OrderPhase phase) const {
    for (const auto& it : entry_.messages_) {
      if (it.has_order_status() &&
          it.order_status().generation() == generation &&
          it.order_status().phase() == phase) {
        return true;
      }
    }
    return false;
  }

  standins::PlatformServer platform_;
  standins::EngineServer engine_;
  FakeEntry entry_;
  std::unique_ptr<RunningSide> side_;
};

const char kLongStream[] =
    R"({"model":"tarifa-llm","prompt":"x","stream":true,"max_tokens":100})";

TEST_CASE("A side changes its engine's role without cutting off a stream") {
  SideOrderFixture fixture(GENERATE(true, false));
  const FencingNumber number = fixture.AcquireLease();
  fixture.SendFencingNumber(number);
  const auto id = fixture.entry_.Start(1, kLongStream);
  fixture.entry_.RunUntil([&] { return !fixture.entry_.BodyOf(id).empty(); },
                          "a token");
  fixture.SendOrder(number, 1, "decode");
  fixture.WaitForPhase(1, wire::ORDER_DRAINING);
  const auto late = fixture.entry_.Start(2, kLongStream);
  fixture.entry_.RunUntil(
      [&] { return fixture.entry_.RefusalOf(late) != nullptr; }, "the refusal");
  fixture.WaitForPhase(1, wire::ORDER_IN_FORCE);

  REQUIRE(fixture.entry_.EndOf(id) != nullptr);
  CHECK(fixture.entry_.EndOf(id)->outcome() == wire::END_COMPLETE);
  REQUIRE(fixture.engine_.orders().size() == 1);
  CHECK(fixture.engine_.orders()[0].role == "decode");
  for (const auto& it : fixture.engine_.runs()) {
    CHECK_FALSE(it.cut);
  }
  fixture.entry_.RunUntil(
      [&] {
        return fixture.entry_.heartbeat_.target().role() == "decode" &&
               fixture.entry_.heartbeat_.target().health() == wire::TARGET_UP;
      },
      "the new role");
}

// Guards against an outdated order taking effect. The holder of the
// lease is paused while its order drains, another process acquires the lease,
// and no entry tells the side. The side must read the newer fencing number
// right before it writes the order, whether or not the engine checks fencing
// numbers.
TEST_CASE("A side refuses an order whose fencing number is outdated") {
  SideOrderFixture fixture(GENERATE(true, false));
  const FencingNumber number = fixture.AcquireLease();
  fixture.SendFencingNumber(number);
  const auto id = fixture.entry_.Start(1, kLongStream);
  fixture.entry_.RunUntil([&] { return !fixture.entry_.BodyOf(id).empty(); },
                          "a token");
  fixture.SendOrder(number, 1, "decode");
  fixture.WaitForPhase(1, wire::ORDER_DRAINING);
  const FencingNumber newer = fixture.AcquireLease();
  fixture.WaitForPhase(1, wire::ORDER_REFUSED_STALE);
  CHECK(fixture.engine_.orders().empty());

  fixture.SendOrder(newer, 2, "prefill");
  fixture.WaitForPhase(2, wire::ORDER_IN_FORCE);
  CHECK(fixture.engine_.orders().size() == 1);
}

// While the store is down, the order waits and the target keeps serving. Once
// the store is back, the same order takes effect.
TEST_CASE("A side keeps its engine's role while the store is down") {
  SideOrderFixture fixture(true);
  const FencingNumber number = fixture.AcquireLease();
  fixture.SendFencingNumber(number);
  fixture.platform_.SetDown(true);
  fixture.SendOrder(number, 1, "decode");
  fixture.WaitForPhase(1, wire::ORDER_ACCEPTED);
  const auto id = fixture.entry_.Start(1, kLongStream);
  fixture.entry_.RunUntil([&] { return fixture.entry_.EndOf(id) != nullptr; },
                          "the answer");
  CHECK(fixture.engine_.orders().empty());
  fixture.platform_.SetDown(false);
  fixture.WaitForPhase(1, wire::ORDER_IN_FORCE);
}

TEST_CASE(
    "A side completes an order after the engine crashes during the change") {
  SideOrderFixture fixture(true);
  const FencingNumber number = fixture.AcquireLease();
  fixture.SendFencingNumber(number);
  fixture.engine_.Change([](auto* it) { it->crash_in_change = true; });
  fixture.SendOrder(number, 1, "decode");
  fixture.entry_.RunUntil(
      [&] {
        return fixture.entry_.heartbeat_.target().health() == wire::TARGET_DOWN;
      },
      "the engine down");
  fixture.engine_.Change([](auto* it) { it->crash_in_change = false; });
  fixture.engine_.Restart();
  fixture.WaitForPhase(1, wire::ORDER_IN_FORCE);
  fixture.entry_.RunUntil(
      [&] { return fixture.entry_.heartbeat_.target().role() == "decode"; },
      "the new role");
}

// Without seeds and relayed notices, the side must find its entry and its own
// drain through the platform.
TEST_CASE(
    "A side without links finds its entry and its drain in the platform") {
  standins::PlatformServer platform;
  standins::EngineServer engine;
  FakeEntry entry;
  platform.PutInstance({"entry-1", "entry", "bilbao-a", "norte",
                        entry.address(), InstanceState::kLive});
  auto settings = RunningSide::MakeSettings("", engine.address());
  settings.links.seeds.clear();
  settings.store.address = platform.address();
  settings.store.instance_poll_interval = milliseconds(50);

  SECTION("drained in the store") {
    platform.Poke("drains/bilbao-a-1", "{}", 0);
    RunningSide side(settings);
    entry.WaitForSide();
    entry.RunUntil([&] { return entry.heartbeat_.leaving(); }, "leaving");
  }
  SECTION("leaving in the instance list") {
    RunningSide side(settings);
    entry.WaitForSide();
    platform.PutInstance({"bilbao-a-1", "target", "bilbao-a", "norte", "",
                          InstanceState::kLeaving});
    entry.RunUntil([&] { return entry.heartbeat_.leaving(); }, "leaving");
    const auto id = entry.Start(1, kLongStream);
    entry.RunUntil([&] { return entry.RefusalOf(id) != nullptr; },
                   "the refusal");
    CHECK(entry.RefusalOf(id)->reason() == wire::REFUSAL_LEAVING);
  }
}

}  // namespace
}  // namespace indigolead
