#include "entry/control_service.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/fake_object_store.h"

namespace indigolead::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr LinkId kLink{1};

/// One entry's control service on an in-memory platform with a manual clock.
class Fixture {
 public:
  Fixture() {
    ControlService::Options options;
    options.instance = "entry-a";
    options.controller.lease.holder = "entry-a";
    options.audit.entry = "entry-a";
    ControlService::Hooks hooks;
    hooks.send = [this](LinkId, const wire::Envelope& message) {
      sent.push_back(message);
      return true;
    };
    hooks.jitter = [] { return 0.5; };
    service = std::make_unique<ControlService>(
        &store, options, hooks, [this] { return now; },
        [] { return WallMicros{1000000}; },
        [this] {
          return Id128{1, ++ids};
        },
        [this](Duration delay, std::function<void()> act) {
          timers.emplace(now + delay, std::move(act));
        },
        MakeNullEventLog());
    service->Start();
  }

  void Run(Duration duration) {
    const TimePoint end = now + duration;
    while (now < end) {
      now += milliseconds(100);
      while (!timers.empty() && timers.begin()->first <= now) {
        const auto act = std::move(timers.begin()->second);
        timers.erase(timers.begin());
        act();
      }
      service->Tick(now);
      io.poll();
      io.restart();
    }
  }

  wire::Hello Side(const std::string& model) {
    wire::Hello hello;
    hello.set_kind(wire::PROCESS_SIDE);
    hello.set_instance("engine-1");
    hello.set_incarnation(ToBytes(Id128{5, 6}));
    hello.set_failure_domain("windhoek-a");
    wire::TargetInfo* target = hello.mutable_target();
    target->set_deployment("brief-llm");
    target->set_is_engine(true);
    target->set_role("mixed");
    target->add_models(model);
    target->set_health(wire::TARGET_UP);
    return hello;
  }

  static Revision MakeRevision() {
    Revision revision;
    revision.number = 4;
    revision.author = "operator";
    revision.spec.name = "brief-llm";
    revision.spec.models = {{"small", "2", {}}};
    return revision;
  }

  const wire::Order* LastOrder() const {
    const wire::Order* order = nullptr;
    for (const auto& message : sent) {
      order = message.has_order() ? &message.order() : order;
    }
    return order;
  }

  boost::asio::io_context io;
  FakePlatform platform{&io};
  FakeObjectStore store{&io, &platform, std::chrono::hours(1)};
  TimePoint now{seconds(1000)};
  std::multimap<TimePoint, std::function<void()>> timers;
  std::uint64_t ids = 0;
  std::vector<wire::Envelope> sent;
  std::unique_ptr<ControlService> service;
};

TEST_CASE("ControlService takes the lease and brings an engine to a revision") {
  Fixture f;
  f.service->OnRevision(Fixture::MakeRevision());
  f.service->OnLinkUp(kLink, f.Side("small@1"));
  f.Run(seconds(10));
  REQUIRE(f.service->holds_lease());
  const wire::Order* order = f.LastOrder();
  REQUIRE(order != nullptr);
  CHECK(order->model_version() == "2");
  CHECK(f.platform.Peek("control/orders/engine-1"));

  SECTION("a fencing notice came before the order") {
    REQUIRE(f.sent.size() >= 2);
    CHECK(f.sent[0].fencing().fencing_number() == order->fencing_number());
  }
  SECTION("the status shows desired and observed state, each with its age") {
    wire::Envelope report;
    report.mutable_order_status()->set_target("engine-1");
    report.mutable_order_status()->set_generation(order->generation());
    report.mutable_order_status()->set_fencing_number(order->fencing_number());
    report.mutable_order_status()->set_phase(wire::ORDER_APPLYING);
    CHECK(f.service->HandleMessage(kLink, report));
    const Json target = Json::parse(f.service->StatusJson())["targets"][0];
    CHECK(target["desired_model"] == "small@2");
    CHECK(target["models"]["value"] == Json{"small@1"});
    CHECK(target["order_phase"] == "applying");
  }
  SECTION("a target is unknown from when its link goes down") {
    f.service->OnLinkDown(kLink);
    f.Run(seconds(5));
    const Json target = Json::parse(f.service->StatusJson())["targets"][0];
    CHECK_FALSE(target["role"].contains("value"));
    CHECK(target["role"]["unknown_for_s"].get<double>() == Approx(5).margin(1));
  }
  SECTION("an unreachable store is shown, and the status still answers") {
    f.platform.SetDown(true);
    f.Run(seconds(20));
    const Json status = Json::parse(f.service->StatusJson());
    CHECK(status["store_answers"]["value"] == false);
    CHECK(status["lease_holder"].contains("unknown_since"));
    CHECK_FALSE(status["controller_here"].get<bool>());
    CHECK(status["deployments"][0]["revision"] == 4);
  }
  SECTION("the lease change and the order are in the audit trail, once each") {
    const auto object = f.platform.Peek("audit/entry-a-0");
    REQUIRE(object);
    const auto records = ReadAuditSegment(object->value, 0).records;
    REQUIRE(records.size() == 2);
    CHECK(records[0].kind == AuditKind::kLease);
    CHECK(records[1].kind == AuditKind::kOrder);
    CHECK(records[1].after == "mixed small@2");
    CHECK(records[1].fencing_number == order->fencing_number());
  }
  SECTION("the applied state is written, and not again while unchanged") {
    const auto object = f.platform.Peek("applied/entry-a");
    REQUIRE(object);
    CHECK(Json::parse(object->value)["revisions"]["brief-llm"] == 4);
    f.Run(seconds(20));
    CHECK(f.platform.Peek("applied/entry-a")->version == object->version);
  }
  SECTION("a drain is sent to the side, and the engine gets no further order") {
    f.service->OnDrains({{"engine-1", "replaced"}});
    CHECK(f.sent.back().drain().drain());
    CHECK(f.sent.back().drain().cause() == "replaced");
    f.service->OnDrains({});
    CHECK_FALSE(f.sent.back().drain().drain());
  }
  SECTION("a stopped entry releases the lease") {
    f.service->Stop();
    f.Run(seconds(1));
    const auto lease = f.platform.Peek("control/lease");
    REQUIRE(lease);
    CHECK(Json::parse(lease->value)["holder"] == "");
  }
}

}  // namespace
}  // namespace indigolead::testing
