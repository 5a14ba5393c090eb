#include "core/control/stage_control.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <ctime>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "core/base/random.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A load of which a fifth of the engines should make the answers.
constexpr RoleLoad kFifthAnswers{4, 1};

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
    control.OnLoad(kFifthAnswers, now);
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

/// The plan for answers by the rule itself: the next engine is one of a domain
/// with the fewest so far, one that makes answers before one that reads, the
/// first by name.
std::set<std::string> PlanByRule(const std::vector<StagedEngine>& engines,
                                 std::size_t wanted) {
  std::map<std::string, std::size_t> by_domain;
  std::set<std::string> planned;
  while (planned.size() < wanted) {
    const StagedEngine* best = nullptr;
    const auto rank = [&](const StagedEngine& it) {
      return std::tuple(by_domain[it.failure_domain],
                        it.role == EngineRole::kPrefill, it.instance);
    };
    for (const StagedEngine& it : engines) {
      if (!it.leaving && planned.count(it.instance) == 0 &&
          (!best || rank(it) < rank(*best))) {
        best = &it;
      }
    }
    ++by_domain[best->failure_domain];
    planned.insert(best->instance);
  }
  return planned;
}

TEST_CASE("The plan is what its rule says, whatever the engines do now") {
  RandomSource random = MakeSeededRandom(11);
  for (int round = 0; round < 200; ++round) {
    Fleet fleet(12 + static_cast<int>(ToBelow(random(), 60)));
    for (StagedEngine& it : fleet.engines()) {
      it.role = ToBelow(random(), 2) == 0 ? EngineRole::kPrefill
                                          : EngineRole::kDecode;
      it.leaving = ToBelow(random(), 8) == 0;
    }
    fleet.List();
    fleet.now += seconds(4);
    const auto planned =
        PlanByRule(fleet.engines(), fleet.control.planned_decode());
    for (const StageOrder& it : fleet.Order()) {
      INFO("round " << round << ", engine " << it.instance);
      CHECK((planned.count(it.instance) > 0) ==
            (it.role == EngineRole::kDecode));
    }
  }
}

// The holder of the lease plans several times a second, beside its callers. It
// has a hundredth of a core for all control: 2.4 ms for each plan.
TEST_CASE("Planning for thousands of engines takes a part of its share") {
  constexpr int kPlans = 20;
  constexpr double kSecondsEach = 0.0024;
  Fleet fleet(5000);
  fleet.control.OnLoad({1, 1}, fleet.now);
  fleet.List();
  const std::clock_t begin = std::clock();
  for (int n = 0; n < kPlans; ++n) {
    CHECK(fleet.control.planned_decode() > 500);
  }
  const double seconds =
      static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  // Several times the bound: other work shares the machine's caches.
  CHECK(seconds / kPlans < 4 * kSecondsEach);
}

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

// Long answers come in place of long prompts. Callers of these wait for places
// at few engines while readers idle; but the mix also turns back within
// seconds, and each order takes its engine away for three.
TEST_CASE("The plan follows a load that lasts, and no other") {
  Fleet fleet(18);
  fleet.List();
  fleet.now += seconds(2);
  fleet.CarryOut(fleet.Order());
  REQUIRE(fleet.Roles()[EngineRole::kDecode] == 4);
  REQUIRE(fleet.Order().empty());
  const RoleLoad half{1, 1};

  SECTION("not one of two seconds") {
    CHECK_FALSE(fleet.control.OnLoad(half, fleet.now));
    CHECK_FALSE(fleet.control.OnLoad(half, fleet.now + seconds(2)));
    CHECK_FALSE(fleet.control.OnLoad(kFifthAnswers, fleet.now + seconds(3)));
    CHECK_FALSE(fleet.control.OnLoad(half, fleet.now + seconds(4)));
    CHECK(fleet.Order().empty());
  }
  SECTION("nor one that asks for one engine in eighteen") {
    const RoleLoad quarter{3, 1};
    CHECK_FALSE(fleet.control.OnLoad(quarter, fleet.now));
    CHECK_FALSE(fleet.control.OnLoad(quarter, fleet.now + seconds(60)));
  }
  SECTION("but one that lasts, a few engines at a time") {
    CHECK_FALSE(fleet.control.OnLoad(half, fleet.now));
    fleet.now += seconds(3);
    CHECK(fleet.control.OnLoad(half, fleet.now) == 0.5);
    CHECK(fleet.Order().size() == 2);
    CHECK(fleet.Order().empty());
    fleet.now += seconds(30);
    for (int n = 0; n < 3; ++n) {
      fleet.CarryOut(fleet.Order());
    }
    CHECK(fleet.Roles()[EngineRole::kDecode] == 9);
  }
}

// All that readers have to do seems nothing, or all that there is. A half with
// no engine, or a single one, would serve nobody once that one is lost.
TEST_CASE("Neither half of the work is left without engines") {
  for (const RoleLoad& load : {RoleLoad{1, 0}, RoleLoad{0, 1}}) {
    StageControl control{StageControl::Options{}};
    const TimePoint now{seconds(100)};
    control.OnLoad(load, now);
    for (int engines = 1; engines < 40; ++engines) {
      std::vector<StagedEngine> fleet;
      fleet.reserve(engines);
      for (int n = 0; n < engines; ++n) {
        fleet.push_back({"e" + std::to_string(n), "a"});
      }
      control.OnEngines(fleet, now);
      INFO(engines);
      const std::size_t decode = control.planned_decode();
      CHECK(decode >= std::min<std::size_t>(engines, 2));
      CHECK((engines <= 3 || engines - decode >= 2));
    }
  }
}

// The holder of the lease dies; another entry, which has seen less, takes over.
// It must go on with the roles that it finds instead of its own first guess.
TEST_CASE("A new holder begins with the roles that the engines have") {
  Fleet fleet(18);
  for (int n = 0; n < 18; ++n) {
    fleet.engines()[n].role =
        n < 9 ? EngineRole::kDecode : EngineRole::kPrefill;
  }
  fleet.List();
  fleet.now += seconds(2);
  fleet.control.AdoptRoles();
  CHECK(fleet.Order().empty());
}

}  // namespace
}  // namespace indigolead
