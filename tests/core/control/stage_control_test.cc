#include "core/control/stage_control.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A fleet that carries out what it is told after a change time.
class Fleet {
 public:
  explicit Fleet(int engines) {
    const std::vector<std::string> domains = {"windhoek-a", "windhoek-b",
                                              "okahandja", "rehoboth"};
    for (int n = 0; n < engines; ++n) {
      const std::string name =
          "e" + std::string(n < 10 ? "0" : "") + std::to_string(n);
      engines_.push_back({name, domains[n % 4], EngineRole::kDecode, false});
    }
  }

  void List() { control.OnEngines(engines_, now); }

  std::vector<StageOrder> Order(std::optional<FencingNumber> number = 4) {
    return control.Tick(number, now);
  }

  void CarryOut(const std::vector<StageOrder>& orders) {
    for (const StageOrder& it : orders) {
      control.OnOutcome(it, StageOrderOutcome::kAccepted, now);
      Find(it.instance)->role = it.role;
    }
    now += seconds(4);
    List();
  }

  StagedEngine* Find(const std::string& instance) {
    return &*std::find_if(
        engines_.begin(), engines_.end(),
        [&](const auto& it) { return it.instance == instance; });
  }

  std::map<EngineRole, int> Roles() const {
    std::map<EngineRole, int> roles;
    for (const StagedEngine& it : engines_) {
      ++roles[it.role];
    }
    return roles;
  }

  std::vector<StagedEngine>& engines() { return engines_; }

  StageControl control{StageControl::Options{}};
  TimePoint now{seconds(100)};

 private:
  std::vector<StagedEngine> engines_;
};

TEST_CASE("Most engines are told to read, once the list stands still") {
  Fleet fleet(18);
  fleet.List();
  CHECK(fleet.Order().empty());
  fleet.now += milliseconds(1600);

  SECTION("by the holder of the lease alone") {
    CHECK(fleet.Order(std::nullopt).empty());
  }
  SECTION("all at once, as none serves yet") {
    const auto orders = fleet.Order(9);
    REQUIRE(orders.size() == 14);
    CHECK(orders[0].fencing_number == 9);
    fleet.CarryOut(orders);
    CHECK(fleet.Roles()[EngineRole::kDecode] == 4);
    CHECK(fleet.Order().empty());

    SECTION("and the answers are made in different failure domains") {
      std::map<std::string, int> domains;
      for (const StagedEngine& it : fleet.engines()) {
        domains[it.failure_domain] += it.role == EngineRole::kDecode;
      }
      CHECK(std::all_of(domains.begin(), domains.end(),
                        [](const auto& it) { return it.second == 1; }));
    }
    SECTION("a lost engine for answers is replaced") {
      std::erase_if(fleet.engines(), [](const auto& it) {
        return it.role == EngineRole::kDecode && it.instance < "e01";
      });
      fleet.List();
      fleet.now += milliseconds(1600);
      const auto more = fleet.Order();
      REQUIRE(more.size() == 1);
      CHECK(more[0].role == EngineRole::kDecode);
    }
  }
}

TEST_CASE("A small fleet keeps every engine able to do both") {
  Fleet fleet(3);
  fleet.List();
  fleet.now += seconds(2);
  CHECK(fleet.Order().empty());
}

// An order gets no answer; the engine carries it out seconds later. Another
// order in between could be overtaken by it, and the engine would end in a role
// that nobody wants any more.
TEST_CASE("Nothing is sent to an engine whose last order is unsettled") {
  Fleet fleet(4);
  fleet.List();
  fleet.now += seconds(2);
  const auto orders = fleet.Order();
  REQUIRE(orders.size() == 2);
  for (const StageOrder& it : orders) {
    fleet.control.OnOutcome(it, StageOrderOutcome::kUnknown, fleet.now);
  }
  fleet.now += seconds(12);
  CHECK(fleet.Order().empty());
  fleet.now += seconds(2);
  CHECK(fleet.Order().size() == 2);
}

TEST_CASE("A refused order is tried again soon") {
  Fleet fleet(4);
  fleet.List();
  fleet.now += seconds(2);
  const auto orders = fleet.Order();
  REQUIRE(orders.size() == 2);
  for (const StageOrder& it : orders) {
    fleet.control.OnOutcome(it, StageOrderOutcome::kRefused, fleet.now);
  }
  CHECK(fleet.Order().empty());
  fleet.now += milliseconds(1100);
  CHECK(fleet.Order().size() == 2);
}

TEST_CASE("Later changes are made a few at a time") {
  Fleet fleet(18);
  fleet.List();
  fleet.now += seconds(2);
  fleet.CarryOut(fleet.Order());
  REQUIRE(fleet.Order().empty());  // The plan is reached.
  for (StagedEngine& it : fleet.engines()) {
    it.role = EngineRole::kDecode;  // As if all had restarted.
  }
  fleet.List();
  CHECK(fleet.Order().size() == 2);
  CHECK(fleet.Order().empty());
}

// An order gets no answer, and nothing that differs may follow it for seconds.
// The engine starts again: the order was to the run before, so that the new one
// need not wait for its role.
TEST_CASE("An engine that starts anew is ordered anew") {
  Fleet fleet(4);
  fleet.List();
  fleet.now += seconds(2);
  const auto orders = fleet.Order();
  REQUIRE(orders.size() == 2);
  fleet.control.OnOutcome(orders[0], StageOrderOutcome::kUnknown, fleet.now);
  fleet.control.OnOutcome(orders[1], StageOrderOutcome::kAccepted, fleet.now);
  REQUIRE(fleet.Order().empty());
  fleet.control.OnRestarted(orders[0].instance);
  const auto again = fleet.Order();
  REQUIRE(again.size() == 1);
  CHECK(again[0] == orders[0]);
  SECTION("and the late outcome of the first order counts no more") {
    fleet.control.OnRestarted(orders[0].instance);
    fleet.control.OnOutcome(orders[0], StageOrderOutcome::kRefused, fleet.now);
    CHECK(fleet.Order().size() == 1);
  }
}

}  // namespace
}  // namespace indigolead
