#include "entry/stage_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/control/lease.h"
#include "runtime/clock.h"
#include "tests/support/allocation_counter.h"
#include "tests/support/fake_object_store.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = TargetChange::Kind;

/// Client of an engine that answers reports and, unless disabled, orders.
class EngineClient : public TargetClient {
 public:
  EngineClient(boost::asio::io_context* io, int* orders, const bool* silent)
      : io_(io), orders_(orders), silent_(silent) {}

  std::unique_ptr<Call> Start(TargetRequest request, Hooks hooks) override {
    struct Pending : Call {
      void PauseReading(bool /*pause*/) override {}
      std::shared_ptr<bool> alive = std::make_shared<bool>(true);
      ~Pending() override { *alive = false; }
    };
    auto call = std::make_unique<Pending>();
    const bool is_order = request.path == "/order";
    *orders_ += is_order ? 1 : 0;
    if (is_order && *silent_) {
      return call;
    }
    boost::asio::post(*io_, [alive = call->alive, hooks = std::move(hooks)] {
      if (*alive) {
        hooks.on_head(200, {});
      }
      if (*alive) {
        hooks.on_end(Unit{});
      }
    });
    return call;
  }

 private:
  boost::asio::io_context* io_;
  int* orders_;
  const bool* silent_;
};

OrderDialect TestDialect() {
  OrderDialect dialect;
  dialect.report = [](const TargetRecord&) {
    TargetRequest call;
    call.path = "/report";
    return call;
  };
  dialect.read_order_count = [](const TargetRecord&, const TargetAnswer&) {
    return Result<std::uint64_t>(std::uint64_t{0});
  };
  dialect.order = [](const TargetRecord&, const StageOrder&, const std::string&,
                     std::uint64_t) {
    TargetRequest call;
    call.path = "/order";
    return call;
  };
  dialect.read_outcome = [](const TargetAnswer&) {
    return StageOrderOutcome::kAccepted;
  };
  return dialect;
}

/// One entry that sends orders to engines of a service.
class Fixture {
 public:
  Fixture()
      : flow_({}, {}, MakeRandomIdSource()),
        carrier_(&io_, &flow_, TransportOptions(), {}, {}, Now(),
                 MakeNullEventLog()),
        service_(
            &store_, &carrier_, Options(), TestDialect(), [] { return 0.5; },
            Now(), MakeRandomIdSource(), MakeNullEventLog()) {
    service_.OnEntries(1);
  }

  void ApplyChange(Kind kind, const TargetRecord& target) {
    carrier_.OnTarget({kind, target});
    service_.OnEngine({kind, target});
  }
  /// Registers `n` engines, of which the first `decoding` decode.
  void AddEngines(int n, int decoding, const std::string& suffix = "") {
    for (int it = 0; it < n; ++it) {
      TargetRecord target;
      target.id = "e" + std::to_string(it) + suffix;
      target.service = "llm";
      target.address = "127.0.0.1:1";
      target.failure_domain = "a";
      target.role = it < decoding ? EngineRole::kDecode : EngineRole::kPrefill;
      target.run = TargetRun{1};
      engines_.push_back(target);
      ApplyChange(Kind::kAdded, target);
    }
  }
  void Restart(std::size_t n) {
    engines_[n].run->started_ms += 1;
    ApplyChange(Kind::kRestarted, engines_[n]);
  }
  void RunFor(Duration length, const RoleLoad& load) {
    for (const TimePoint end = now_ + length; now_ < end;
         now_ += milliseconds(200)) {
      service_.OnLoad("llm", load);
      service_.Tick();
      io_.poll();
      io_.restart();
    }
  }
  /// Stores a lease that another entry held before it was lost.
  void StoreForeignLease() {
    LeaseRecord record;
    record.holder = "front-9";
    record.incarnation = Incarnation{{9, 9}};
    record.duration = seconds(2);
    platform_.Poke("control/lease", EncodeLease(record), 0);
  }

  /// Stops the entry while the store has not yet answered a renewal.
  void StopDuringRenewal() {
    const auto puts = [this] { return platform_.calls().at("put"); };
    const std::uint64_t before = puts();
    while (puts() == before) {
      io_.poll();
      io_.restart();
      now_ += milliseconds(200);
      service_.Tick();
    }
    service_.Stop();
  }
  /// Returns the name in the lease; empty if nobody holds it.
  std::string Holder() const {
    const auto lease = platform_.Peek("control/lease");
    return ValueOf(DecodeLease(lease->value, lease->version)).holder;
  }

  int orders = 0;
  bool silent = false;

 private:
  Clock Now() {
    return [this] { return now_; };
  }
  DirectTransport::Options TransportOptions() {
    DirectTransport::Options options;
    options.make_client = [this](const std::string&) {
      return std::make_unique<EngineClient>(&io_, &orders, &silent);
    };
    return options;
  }
  static StageService::Options Options() {
    StageService::Options options;
    options.holder = "front-1";
    options.lease.lease.holder = "front-1";
    options.lease.lease.incarnation = Incarnation{{1, 1}};
    options.lease.lease.duration = seconds(3);
    options.lease.lease.renew_interval = seconds(1);
    return options;
  }

  TimePoint now_{seconds(100)};
  boost::asio::io_context io_;
  FakePlatform platform_{&io_};
  FakeObjectStore store_{&io_, &platform_};
  RequestFlow flow_;
  DirectTransport carrier_;
  StageService service_;
  std::vector<TargetRecord> engines_;
};

constexpr RoleLoad kEqualLoads{1, 1};

// An unanswered order blocks further orders to the engine for 13 s. If the
// engine restarts in that time, the new run does not know the order and would
// decode instead of prefill until the time is over.
TEST_CASE(
    "An unanswered order does not block orders to the engine's next run") {
  Fixture fixture;
  fixture.silent = true;
  fixture.AddEngines(5, 4);
  fixture.RunFor(seconds(8), kEqualLoads);
  REQUIRE(fixture.orders == 1);  // Three of five decode; none may repeat it.
  SECTION("without a restart no further order is sent") {
    fixture.RunFor(seconds(3), kEqualLoads);
    CHECK(fixture.orders == 1);
  }
  SECTION("after a restart the order is sent again") {
    for (std::size_t n = 0; n < 5; ++n) {
      fixture.Restart(n);
    }
    fixture.RunFor(seconds(1), kEqualLoads);
    CHECK(fixture.orders == 2);
  }
}

// The lease holder crashes. The entry that takes over has seen less of the
// traffic; if it began with its own estimate, engines would change roles, and
// change back once it has seen as much.
TEST_CASE("A new holder keeps the roles that it finds") {
  Fixture fixture;
  SECTION("after another holder") {
    fixture.StoreForeignLease();
    fixture.AddEngines(18, 9);
    fixture.RunFor(seconds(2), RoleLoad{4, 1});
    int orders_in_first_seconds = 0;
    for (int n = 0; n < 40 && fixture.orders == 0; ++n) {
      fixture.RunFor(milliseconds(200), RoleLoad{4, 1});
      ++orders_in_first_seconds;
    }
    // The roles are kept for as long as a load must last.
    CHECK(fixture.orders > 0);
    CHECK(fixture.orders <= 2);
  }
  SECTION("the very first holder orders what the load requires, all at once") {
    fixture.AddEngines(18, 9);
    fixture.RunFor(seconds(4), RoleLoad{4, 1});
    CHECK(fixture.orders > 2);
  }
}

/// Guards against a lease that stays with a stopped entry: until it expires, no
/// entry sends orders or reports usage.
TEST_CASE("A planned stop releases the lease, also during a renewal") {
  Fixture fixture;
  fixture.AddEngines(4, 2);
  fixture.RunFor(seconds(6), kEqualLoads);
  REQUIRE(fixture.Holder() == "front-1");
  fixture.StopDuringRenewal();
  fixture.RunFor(milliseconds(600), kEqualLoads);
  CHECK(fixture.Holder().empty());
}

// Guards against passing the whole list on for each of a thousand engines that
// register within a second: a small entry, with a tenth of a core, would serve
// no caller meanwhile. The test counts copies of engine records by their
// allocations, which were 1,000 for each engine before the fix and are a few
// now.
TEST_CASE("Many engines that register at once are passed on once") {
  constexpr int kEngines = 1000;
  Fixture fixture;
  const std::uint64_t before = AllocationsOfThisThread();
  fixture.AddEngines(kEngines, 200,
                     "-with-a-name-that-does-not-fit-into-a-string");
  fixture.RunFor(milliseconds(200), {});
  const std::uint64_t each = (AllocationsOfThisThread() - before) / kEngines;
  CHECK(each < 100);
}

}  // namespace
}  // namespace indigolead::testing
