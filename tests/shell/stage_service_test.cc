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

/// Client of an engine that answers reports, and orders unless told not to.
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

OrderDialect Words() {
  OrderDialect words;
  words.report = [](const TargetRecord&) {
    TargetRequest call;
    call.path = "/report";
    return call;
  };
  words.read_order_count = [](const TargetRecord&, const TargetAnswer&) {
    return Result<std::uint64_t>(std::uint64_t{0});
  };
  words.order = [](const TargetRecord&, const StageOrder&, const std::string&,
                   std::uint64_t) {
    TargetRequest call;
    call.path = "/order";
    return call;
  };
  words.read_outcome = [](const TargetAnswer&) {
    return StageOrderOutcome::kAccepted;
  };
  return words;
}

/// One entry that gives orders to engines of a service.
class Scene {
 public:
  Scene()
      : flow_({}, {}, MakeRandomIdSource()),
        carrier_(&io_, &flow_, CarrierOptions(), {}, {}, Now(),
                 MakeNullEventLog()),
        service_(
            &store_, &carrier_, Options(), Words(), [] { return 0.5; }, Now(),
            MakeRandomIdSource(), MakeNullEventLog()) {
    service_.OnEntries(1);
  }

  void Tell(Kind kind, const TargetRecord& target) {
    carrier_.OnTarget({kind, target});
    service_.OnEngine({kind, target});
  }
  /// Registers `n` engines, of which the first `answering` make answers.
  void AddEngines(int n, int answering, const std::string& suffix = "") {
    for (int it = 0; it < n; ++it) {
      TargetRecord target;
      target.id = "e" + std::to_string(it) + suffix;
      target.service = "llm";
      target.address = "127.0.0.1:1";
      target.failure_domain = "a";
      target.role = it < answering ? EngineRole::kDecode : EngineRole::kPrefill;
      target.run = TargetRun{1};
      engines_.push_back(target);
      Tell(Kind::kAdded, target);
    }
  }
  void Restart(std::size_t n) {
    engines_[n].run->started_ms += 1;
    Tell(Kind::kRestarted, engines_[n]);
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
  /// Another entry held the lease before and is gone.
  void LeaveLease() {
    LeaseRecord record;
    record.holder = "front-9";
    record.incarnation = Incarnation{{9, 9}};
    record.duration = seconds(2);
    platform_.Poke("control/lease", EncodeLease(record), 0);
  }

  /// Stops the entry while the store has not yet answered a renewal.
  void StopAmidRenewal() {
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
  DirectTransport::Options CarrierOptions() {
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

constexpr RoleLoad kHalfAnswers{1, 1};

// An order gets no answer, and nothing may follow it for 13 s. The engine
// starts again in that time: the new run has nothing of the order, and would
// make answers where it should read until the time is over.
TEST_CASE("An unanswered order does not bind the engine's next run") {
  Scene scene;
  scene.silent = true;
  scene.AddEngines(5, 4);
  scene.RunFor(seconds(8), kHalfAnswers);
  REQUIRE(scene.orders == 1);  // Three of five answer; none may repeat it.
  SECTION("without a restart it does") {
    scene.RunFor(seconds(3), kHalfAnswers);
    CHECK(scene.orders == 1);
  }
  SECTION("after one it is given anew") {
    for (std::size_t n = 0; n < 5; ++n) {
      scene.Restart(n);
    }
    scene.RunFor(seconds(1), kHalfAnswers);
    CHECK(scene.orders == 2);
  }
}

// The holder of the lease dies. The entry that takes over has seen less of the
// traffic; if it began with its own guess, engines would change roles, and back
// once it has seen as much.
TEST_CASE("A holder that follows another begins with the roles it finds") {
  Scene scene;
  SECTION("after another one") {
    scene.LeaveLease();
    scene.AddEngines(18, 9);
    scene.RunFor(seconds(2), RoleLoad{4, 1});
    int orders_in_first_seconds = 0;
    for (int n = 0; n < 40 && scene.orders == 0; ++n) {
      scene.RunFor(milliseconds(200), RoleLoad{4, 1});
      ++orders_in_first_seconds;
    }
    // The roles found are held for as long as a load must last.
    CHECK(scene.orders > 0);
    CHECK(scene.orders <= 2);
  }
  SECTION("the first of all orders as the load asks, all at once") {
    scene.AddEngines(18, 9);
    scene.RunFor(seconds(4), RoleLoad{4, 1});
    CHECK(scene.orders > 2);
  }
}

/// Guards against a lease that stays with an entry which has stopped: nobody
/// gives orders or reports usage until it lapses.
TEST_CASE("A planned stop gives the lease up, a renewal in flight or not") {
  Scene scene;
  scene.AddEngines(4, 2);
  scene.RunFor(seconds(6), kHalfAnswers);
  REQUIRE(scene.Holder() == "front-1");
  scene.StopAmidRenewal();
  scene.RunFor(milliseconds(600), kHalfAnswers);
  CHECK(scene.Holder().empty());
}

// A thousand engines register within a second. An entry that passed the whole
// list on for each of them would serve no caller meanwhile: a thin one has a
// tenth of a core. Copies of an engine's record are counted by what they
// allocate: 1,000 for each engine before, a few now.
TEST_CASE("Many engines that come at once are passed on once") {
  constexpr int kEngines = 1000;
  Scene scene;
  const std::uint64_t before = AllocationsOfThisThread();
  scene.AddEngines(kEngines, 200,
                   "-with-a-name-that-does-not-fit-into-a-string");
  scene.RunFor(milliseconds(200), {});
  const std::uint64_t each = (AllocationsOfThisThread() - before) / kEngines;
  CHECK(each < 100);
}

}  // namespace
}  // namespace indigolead::testing
