#include "core/control/reconciler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace indigolead {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

Revision MakeRevision(std::uint64_t number, const std::string& version) {
  Revision revision;
  revision.number = number;
  revision.spec.name = "brief-llm";
  revision.spec.models = {{"small", version, {}}};
  revision.spec.max_change_share = 0.25;
  return revision;
}

Reconciler::Options MakeOptions() {
  Reconciler::Options options;
  options.actor = "entry-a";
  return options;
}

Roles KeepStaticRoles(const DeploymentSpec& spec,
                      const std::vector<TargetObservation>& targets,
                      TimePoint) {
  return StaticRoles(spec, targets);
}

/// Runs a reconciler with a simulated store and engines that obey at once or
/// not at all.
class ReconcilerFixture {
 public:
  explicit ReconcilerFixture(int engines)
      : reconciler_(MakeOptions(), KeepStaticRoles, [this] {
          return Id128{1, ++ids_};
        }) {
    lease_.fencing_number = 10;
    for (int i = 0; i < engines; ++i) {
      Observe("engine-" + std::to_string(i), "1", 0);
    }
    reconciler_.OnRevision(MakeRevision(1, "1"));
  }

  void Observe(const std::string& name, const std::string& version,
               std::uint64_t generation,
               ObservedHealth health = ObservedHealth::kUp) {
    TargetObservation seen;
    seen.name = name;
    seen.deployment = "brief-llm";
    seen.models = {"small@" + version};
    seen.health = health;
    seen.order_generation = generation;
    reconciler_.OnTarget(seen, now_);
  }

  /// Ticks once and carries out the store actions. Returns the written orders
  /// that have a new generation.
  std::vector<TargetOrder> Tick(Duration step = seconds(3)) {
    now_ += step;
    std::vector<TargetOrder> differing;
    for (auto& action : reconciler_.Tick(lease_.fencing_number, now_)) {
      Execute(action, &differing);
    }
    return differing;
  }

  void Execute(const Reconciler::Action& action,
               std::vector<TargetOrder>* differing) {
    if (std::holds_alternative<Reconciler::ReadOrders>(action)) {
      std::vector<StoredOrder> all;
      for (const auto& [name, stored] : store_) {
        all.push_back(stored);
      }
      reconciler_.OnOrders(all, lease_, now_);
    } else if (const auto* read = std::get_if<Reconciler::ReadOrder>(&action)) {
      reconciler_.OnOrder(read->target, store_[read->target], lease_, now_);
    } else if (const auto* w = std::get_if<Reconciler::WriteOrder>(&action)) {
      Put(*w, differing);
    } else if (const auto* record = std::get_if<AuditRecord>(&action)) {
      records_.push_back(*record);
    }
  }

  void Put(const Reconciler::WriteOrder& write,
           std::vector<TargetOrder>* differing) {
    const std::string& target = write.order.target;
    StoredOrder& stored = store_[target];
    Result<std::uint64_t> answer =
        Error{ErrorCode::kConflict, "store.put", "store", ""};
    if (stored.version == write.expected) {
      const bool differs =
          !stored.order || stored.order->generation != write.order.generation;
      stored = StoredOrder{write.order, ++version_};
      answer = version_;
      if (differs) {
        differing->push_back(write.order);
      }
    }
    if (lose_answers_) {
      answer = Error{ErrorCode::kTimeout, "store.put", "store", ""};
    }
    reconciler_.OnWritten(target, write.order.nonce, answer, now_);
  }

  void Report(const TargetOrder& order, OrderPhase phase) {
    reconciler_.OnReport(
        {order.target, order.fencing_number, order.generation, phase, "detail"},
        now_);
  }

  /// Brings every engine to its ordered state until no action is left.
  void Converge() {
    for (int i = 0; i < 100; ++i) {
      Tick();
      for (const auto& [name, stored] : store_) {
        Observe(name, stored.order->desired.version, stored.order->generation);
      }
    }
  }

  Reconciler& reconciler() { return reconciler_; }
  std::map<std::string, StoredOrder>& store() { return store_; }
  TimePoint now() const { return now_; }
  void set_lease(LeaseRecord lease) { lease_ = std::move(lease); }
  void set_lose_answers(bool lose) { lose_answers_ = lose; }
  const std::vector<AuditRecord>& records() const { return records_; }
  std::uint64_t version() const { return version_; }

 private:
  TimePoint now_{minutes(60)};
  std::uint64_t ids_ = 0;
  std::uint64_t version_ = 10;
  LeaseRecord lease_;
  bool lose_answers_ = false;
  std::vector<AuditRecord> records_;
  std::map<std::string, StoredOrder> store_;
  Reconciler reconciler_;
};

TEST_CASE("Reconciler rolls out a revision") {
  ReconcilerFixture fixture(8);
  fixture.Converge();
  REQUIRE(fixture.store().size() == 8);
  fixture.reconciler().OnRevision(MakeRevision(2, "2"));

  SECTION("at most the maximum share of engines changes at once") {
    std::size_t in_change = 0;
    for (int i = 0; i < 10; ++i) {
      in_change += fixture.Tick().size();
    }
    CHECK(in_change == 2);
  }
  SECTION("weights are loaded no faster than the limit") {
    CHECK(fixture.Tick().size() == 1);
    CHECK(fixture.Tick(seconds(1)).empty());
    CHECK(fixture.Tick(seconds(1)).size() == 1);
  }
  SECTION("every engine reaches the new state") {
    fixture.Converge();
    for (const auto& [name, stored] : fixture.store()) {
      CHECK(stored.order->desired.version == "2");
      CHECK(stored.order->generation == 2);
    }
  }
  SECTION("a changing target gets no other order before it has answered") {
    const auto first = fixture.Tick();
    REQUIRE(first.size() == 1);
    fixture.reconciler().OnRevision(MakeRevision(3, "3"));
    for (int i = 0; i < 5; ++i) {
      for (const TargetOrder& order : fixture.Tick()) {
        CHECK(order.target != first[0].target);
      }
    }
    fixture.Report(first[0], OrderPhase::kFailed);
    const auto next = fixture.Tick();
    REQUIRE(next.size() == 1);
    CHECK(next[0].target == first[0].target);
    CHECK(next[0].desired.version == "3");
  }
  SECTION("a revision that fails everywhere stops at the maximum share") {
    for (int i = 0; i < 60; ++i) {
      for (const TargetOrder& order : fixture.Tick()) {
        if (order.desired.version == "2") {
          fixture.Report(order, order.desired.out_of_service
                                    ? OrderPhase::kInForce
                                    : OrderPhase::kFailed);
        }
      }
    }
    int out = 0;
    for (const auto& [name, stored] : fixture.store()) {
      out += stored.order->desired.out_of_service ? 1 : 0;
      CHECK((stored.order->desired.version == "1" ||
             stored.order->desired.out_of_service));
    }
    CHECK(out == 2);
  }
}

TEST_CASE("Reconciler repairs drift") {
  ReconcilerFixture fixture(4);
  fixture.Converge();

  SECTION("an engine that differs for too long gets its order again") {
    fixture.Observe("engine-1", "0", 1);
    CHECK(fixture.Tick().empty());
    CHECK(fixture.Tick().empty());
    const auto orders = fixture.Tick();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].target == "engine-1");
    CHECK(orders[0].desired.version == "1");
    CHECK(orders[0].cause == "drift");
  }
  SECTION("a delayed report is not drift") {
    fixture.Observe("engine-1", "0", 1);
    fixture.Tick();
    fixture.Observe("engine-1", "1", 1);
    fixture.Tick();
    fixture.Tick();
    CHECK(fixture.Tick().empty());
  }
  SECTION("an engine that is down gets no order") {
    fixture.Observe("engine-1", "0", 0, ObservedHealth::kDown);
    for (int i = 0; i < 5; ++i) {
      CHECK(fixture.Tick().empty());
    }
  }
}

// Another entry takes the lease during a change. The new holder must read all
// orders before it writes any, and rewrite each one unchanged except for its
// own fencing number. So no order is issued twice, and a late write of the
// previous holder fails.
TEST_CASE("Reconciler takes over from another lease holder") {
  ReconcilerFixture fixture(4);
  fixture.Converge();
  fixture.reconciler().OnRevision(MakeRevision(2, "2"));
  const auto changing = fixture.Tick();
  REQUIRE(changing.size() == 1);
  LeaseRecord lease;
  lease.earlier = {10};
  lease.fencing_number = fixture.version() + 1;
  fixture.set_lease(lease);

  SECTION("nothing is written before every order was read") {
    const auto actions =
        fixture.reconciler().Tick(lease.fencing_number, fixture.now());
    REQUIRE_FALSE(actions.empty());
    CHECK(std::holds_alternative<Reconciler::ReadOrders>(actions.back()));
    for (const auto& action : actions) {
      CHECK_FALSE(std::holds_alternative<Reconciler::WriteOrder>(action));
    }
  }
  SECTION("a listing from before the lease was taken is not used") {
    fixture.reconciler().Tick(lease.fencing_number, fixture.now());
    LeaseRecord old;
    old.fencing_number = 10;
    fixture.reconciler().OnOrders(std::vector<StoredOrder>{}, old,
                                  fixture.now());
    CHECK(fixture.reconciler()
              .Tick(lease.fencing_number, fixture.now() + seconds(1))
              .size() == 1);
  }
  SECTION("every order is rewritten with only a new fencing number") {
    const auto before = fixture.store();
    CHECK(fixture.Tick().empty());
    CHECK(fixture.Tick().empty());
    for (const auto& [name, stored] : fixture.store()) {
      CHECK(stored.order->fencing_number == lease.fencing_number);
      CHECK(stored.order->desired == before.at(name).order->desired);
      CHECK(stored.order->generation == before.at(name).order->generation);
    }
  }
  SECTION("an order written under a superseded number is overwritten") {
    StoredOrder& late = fixture.store()["engine-3"];
    late.order->desired.version = "9";
    late.order->generation = 5;
    late.version = lease.fencing_number + 1;
    fixture.Observe("engine-3", "1", 1);
    fixture.Report(changing[0], OrderPhase::kInForce);
    fixture.Converge();
    CHECK(fixture.store()["engine-3"].order->generation == 6);
    CHECK(fixture.store()["engine-3"].order->desired.version == "2");
  }
}

// The store writes the order but the answer is lost. Sending the order again
// with other content would be a second order, so the reconciler reads back the
// nonce.
TEST_CASE("Reconciler settles a write whose answer was lost") {
  ReconcilerFixture fixture(4);
  fixture.Converge();
  fixture.reconciler().OnRevision(MakeRevision(2, "2"));
  fixture.set_lose_answers(true);
  const auto written = fixture.Tick();
  REQUIRE(written.size() == 1);
  for (int i = 0; i < 3; ++i) {
    for (const TargetOrder& order : fixture.Tick()) {
      CHECK(order.target != written[0].target);
    }
  }
  const auto view = fixture.reconciler().View(written[0].target, fixture.now());
  REQUIRE(view);
  CHECK(view->stored.order == written[0]);
}

TEST_CASE("Reconciler records each accepted change once") {
  ReconcilerFixture fixture(4);
  fixture.Converge();
  fixture.reconciler().OnRevision(MakeRevision(2, "2"));
  fixture.set_lose_answers(true);
  const auto written = fixture.Tick();
  REQUIRE(written.size() == 1);
  for (int i = 0; i < 3; ++i) {
    fixture.Tick();
  }
  const auto about = [&](const AuditRecord& record) {
    return record.subject == written[0].target &&
           record.after == "mixed small@2";
  };
  CHECK(std::count_if(fixture.records().begin(), fixture.records().end(),
                      about) == 1);
}

TEST_CASE("Reconciler without authority does nothing") {
  ReconcilerFixture fixture(4);
  fixture.Converge();
  fixture.reconciler().OnRevision(MakeRevision(2, "2"));
  CHECK(fixture.reconciler().Tick(std::nullopt, fixture.now()).empty());
}

TEST_CASE("Models and roles are placed on targets with few changes") {
  DeploymentSpec spec;
  spec.models = {{"small", "1", {}}, {"large", "1", {}}};
  std::vector<TargetObservation> targets(4);
  for (int i = 0; i < 4; ++i) {
    targets[i].name = "engine-" + std::to_string(i);
    targets[i].models = {i < 3 ? "large@1" : "small@1"};
  }
  SECTION("models are distributed and as few engines as possible are moved") {
    const auto placed = PlaceTargets(spec, targets, {});
    CHECK(placed.at("engine-0").model == "large");
    CHECK(placed.at("engine-1").model == "large");
    CHECK(placed.at("engine-2").model == "small");
    CHECK(placed.at("engine-3").model == "small");
  }
  SECTION("engines with fixed roles keep them") {
    spec.roles.min_prefill = 1;
    targets[2].role = EngineRole::kPrefill;
    const Roles roles = StaticRoles(spec, targets);
    CHECK(roles.at("engine-2") == EngineRole::kPrefill);
    CHECK(roles.at("engine-0") == EngineRole::kMixed);
  }
}

}  // namespace
}  // namespace indigolead
