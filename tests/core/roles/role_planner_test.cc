#include "core/roles/role_planner.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

#include "core/base/random.h"

namespace indigolead {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kNoon = 12;

// An engine prefills 1000 or decodes 100 tokens per second.
constexpr EngineRates kRates{1000, 100, 0.85};

std::vector<RoleTarget> Engines(int prefill, int decode, int mixed) {
  std::vector<RoleTarget> targets;
  const auto add = [&targets](int n, EngineRole role) {
    for (int it = 0; it < n; ++it) {
      RoleTarget target;
      target.instance = "engine-" + std::to_string(targets.size());
      target.role = role;
      targets.push_back(target);
    }
  };
  add(prefill, EngineRole::kPrefill);
  add(decode, EngineRole::kDecode);
  add(mixed, EngineRole::kMixed);
  return targets;
}

RoleSpec Automatic(double cost = 1) {
  RoleSpec spec;
  spec.automatic = true;
  spec.role_change_cost = cost;
  return spec;
}

/// Returns a mix that keeps the given number of engines of each kind busy.
TokenMix Mix(double prefill_engines, double decode_engines) {
  return TokenMix{prefill_engines * 1000, decode_engines * 100};
}

RolePlanner Planner(const TokenMix& mix) {
  RolePlanner planner{RolePlanner::Options{}};
  planner.SetRates(kRates);
  for (int it = 0; it < 300; ++it) {
    planner.OnDemand(mix, seconds(1));
  }
  return planner;
}

/// Plans once a second for `length` from `*now` on, advancing `*now`. Returns
/// the first change, if any.
std::optional<RoleChange> PlanUntilChange(
    RolePlanner* planner, const RoleSpec& spec,
    const std::vector<RoleTarget>& targets, std::uint32_t hour, TimePoint* now,
    seconds length) {
  const TimePoint end = *now + length;
  for (; *now <= end; *now += seconds(1)) {
    if (auto change = planner->Plan(spec, targets, hour, *now)) {
      return change;
    }
  }
  return std::nullopt;
}

std::optional<RoleChange> PlanFor(RolePlanner* planner, const RoleSpec& spec,
                                  const std::vector<RoleTarget>& targets,
                                  std::uint32_t hour, TimePoint from,
                                  seconds length) {
  return PlanUntilChange(planner, spec, targets, hour, &from, length);
}

TEST_CASE("Roles follow the token mix if the gain exceeds the cost") {
  SECTION("too few decode engines") {
    RolePlanner planner = Planner(Mix(2, 8));
    const auto change = PlanFor(&planner, Automatic(), Engines(6, 4, 0), kNoon,
                                kStart, seconds(600));
    REQUIRE(change.has_value());
    CHECK(change->from == EngineRole::kPrefill);
    CHECK(change->to == EngineRole::kDecode);
    CHECK(change->cause == RoleChangeCause::kGain);
    CHECK(change->gain_engine_s > change->cost_engine_s);
  }
  SECTION("the roles match the mix") {
    RolePlanner planner = Planner(Mix(4, 4));
    CHECK_FALSE(PlanFor(&planner, Automatic(), Engines(5, 5, 0), kNoon, kStart,
                        seconds(600)));
  }
  SECTION("low demand justifies no change") {
    RolePlanner planner = Planner(Mix(0.1, 1));
    CHECK_FALSE(PlanFor(&planner, Automatic(), Engines(5, 5, 0), kNoon, kStart,
                        seconds(600)));
  }
  SECTION("roles are not automatic") {
    RolePlanner planner = Planner(Mix(2, 8));
    CHECK_FALSE(PlanFor(&planner, RoleSpec{}, Engines(6, 4, 0), kNoon, kStart,
                        seconds(600)));
  }
  SECTION("no engine, or no serving engine") {
    RolePlanner planner = Planner(Mix(2, 8));
    CHECK_FALSE(
        PlanFor(&planner, Automatic(), {}, kNoon, kStart, seconds(600)));
    auto down = Engines(2, 0, 0);
    down[0].serving = down[1].serving = false;
    CHECK_FALSE(
        PlanFor(&planner, Automatic(), down, kNoon, kStart, seconds(600)));
  }
  SECTION("demand was not observed for long enough") {
    RolePlanner planner{RolePlanner::Options{}};
    planner.SetRates(kRates);
    planner.OnDemand(Mix(2, 8), seconds(5));
    CHECK_FALSE(PlanFor(&planner, Automatic(), Engines(6, 4, 0), kNoon, kStart,
                        seconds(600)));
  }
}

TEST_CASE("A higher role change cost only delays changes") {
  // Decode lacks two engines; the lack of each loses about one engine-second
  // per second. The cost with hysteresis is 19.5 engine-seconds, or 195.
  RolePlanner goodput = Planner(Mix(3, 8));
  RolePlanner few_changes = goodput;
  const auto engines = Engines(5, 5, 0);
  CHECK(PlanFor(&goodput, Automatic(1), engines, kNoon, kStart, seconds(60)));
  CHECK_FALSE(PlanFor(&few_changes, Automatic(10), engines, kNoon, kStart,
                      seconds(60)));
  SECTION("a lasting shortage changes roles even at the higher cost") {
    CHECK(PlanFor(&few_changes, Automatic(10), engines, kNoon,
                  kStart + seconds(61), seconds(600)));
  }
}

TEST_CASE("A short swing of the mix changes no role") {
  RolePlanner planner = Planner(Mix(5, 5));
  const auto engines = Engines(5, 5, 0);
  TimePoint now = kStart;
  for (int swing = 0; swing < 20; ++swing) {
    const TokenMix mix = swing % 2 == 0 ? Mix(6, 4) : Mix(4, 6);
    for (int it = 0; it < 10; ++it) {
      planner.OnDemand(mix, seconds(1));
      CHECK_FALSE(planner.Plan(Automatic(10), engines, kNoon, now));
      now += seconds(1);
    }
  }
}

TEST_CASE("Quiet hours are kept unless much work is lost") {
  RoleSpec spec = Automatic();
  spec.quiet_from_hour = 18;
  spec.quiet_to_hour = 6;
  SECTION("they may span midnight") {
    CHECK(IsQuietHour(spec, 18));
    CHECK(IsQuietHour(spec, 0));
    CHECK(IsQuietHour(spec, 5));
    CHECK_FALSE(IsQuietHour(spec, 6));
    CHECK_FALSE(IsQuietHour(spec, 17));
    CHECK_FALSE(IsQuietHour(RoleSpec{}, 0));
  }
  SECTION("a gain alone causes no change") {
    RolePlanner planner = Planner(Mix(2, 6));
    CHECK_FALSE(
        PlanFor(&planner, spec, Engines(6, 4, 0), 19, kStart, seconds(600)));
    CHECK(
        PlanFor(&planner, spec, Engines(6, 4, 0), kNoon, kStart, seconds(600)));
  }
  SECTION("losing more than half of the work causes a change") {
    RolePlanner planner = Planner(Mix(1, 9));
    CHECK(PlanFor(&planner, spec, Engines(6, 4, 0), 19, kStart, seconds(600)));
  }
  SECTION("having no engine for one kind of work causes a change") {
    RolePlanner planner = Planner(Mix(0, 0));
    const auto change =
        PlanFor(&planner, spec, Engines(0, 3, 0), 19, kStart, seconds(600));
    REQUIRE(change.has_value());
    CHECK(change->to == EngineRole::kPrefill);
    CHECK(change->cause == RoleChangeCause::kMissing);
  }
}

TEST_CASE("At most one change is in flight") {
  RolePlanner planner = Planner(Mix(2, 8));
  auto engines = Engines(6, 4, 0);
  TimePoint now = kStart;
  const auto first =
      PlanUntilChange(&planner, Automatic(), engines, kNoon, &now, seconds(60));
  REQUIRE(first.has_value());
  REQUIRE(first->instance == "engine-0");
  const auto next = [&](TimePoint from, seconds length) {
    return PlanFor(&planner, Automatic(), engines, kNoon, from, length);
  };

  SECTION("no other while the order is not written yet") {
    CHECK_FALSE(next(now, seconds(14)));
    SECTION("an order that is never written is planned again") {
      CHECK(next(now + seconds(15), seconds(60)));
    }
  }
  engines[0].role = EngineRole::kDecode;
  engines[0].serving = false;
  engines[0].changing = true;
  SECTION("no other while the engine changes") {
    CHECK_FALSE(next(now, seconds(120)));
  }
  SECTION("the next one follows after confirmation") {
    CHECK_FALSE(next(now, seconds(9)));
    engines[0].serving = true;
    engines[0].changing = false;
    const auto change = next(now + seconds(10), seconds(60));
    REQUIRE(change.has_value());
    CHECK(change->instance == "engine-1");
  }
  SECTION("an engine that disappears during its change does not block others") {
    engines.erase(engines.begin());
    CHECK(next(now, seconds(60)));
  }
  SECTION("a change that never ends does not block others for ever") {
    CHECK_FALSE(next(now, seconds(179)));
    CHECK(next(now + seconds(180), seconds(60)));
  }
}

// Guards against a duplicate or second concurrent change when the controller
// dies after ordering one. Its successor sees the order in the store and the
// changing engine.
TEST_CASE("A controller that takes over respects the change in progress") {
  RolePlanner before = Planner(Mix(2, 8));
  auto engines = Engines(6, 4, 0);
  TimePoint now = kStart;
  REQUIRE(
      PlanUntilChange(&before, Automatic(), engines, kNoon, &now, seconds(60)));
  engines[0].role = EngineRole::kDecode;
  engines[0].serving = false;
  engines[0].changing = true;

  RolePlanner after = Planner(Mix(2, 8));
  CHECK_FALSE(
      PlanUntilChange(&after, Automatic(), engines, kNoon, &now, seconds(100)));
  engines[0].serving = true;
  engines[0].changing = false;
  const auto next =
      PlanUntilChange(&after, Automatic(), engines, kNoon, &now, seconds(60));
  REQUIRE(next.has_value());
  CHECK(next->instance != "engine-0");
}

TEST_CASE("Reversing a change waits for the dwell time") {
  RolePlanner planner = Planner(Mix(2, 8));
  auto engines = Engines(6, 4, 0);
  TimePoint now = kStart;
  REQUIRE(PlanUntilChange(&planner, Automatic(), engines, kNoon, &now,
                          seconds(60)));
  const TimePoint changed = now;
  engines[0].role = EngineRole::kDecode;
  for (int it = 0; it < 300; ++it) {
    planner.OnDemand(Mix(8, 2), seconds(1));
  }
  const auto back = PlanUntilChange(&planner, Automatic(), engines, kNoon, &now,
                                    seconds(300));
  REQUIRE(back.has_value());
  CHECK(back->to == EngineRole::kPrefill);
  CHECK(now == changed + seconds(60));
}

TEST_CASE("Declared minima are reached one change at a time") {
  RoleSpec spec = Automatic(10);
  spec.min_prefill = 2;
  spec.min_decode = 1;
  RolePlanner planner{RolePlanner::Options{}};
  auto engines = Engines(0, 0, 4);
  TimePoint now = kStart;
  for (int it = 0; it < 10; ++it) {
    if (const auto change = planner.Plan(spec, engines, kNoon, now)) {
      CHECK(change->cause == RoleChangeCause::kMinimum);
      for (RoleTarget& target : engines) {
        if (target.instance == change->instance) {
          target.role = change->to;
        }
      }
    }
    now += seconds(1);
  }
  CHECK(engines == Engines(2, 1, 1));
}

TEST_CASE("A role change never takes the last engine of a kind") {
  const bool held =
      rc::check("prefill and decode stay possible", [](std::uint64_t seed) {
        RandomSource random = MakeSeededRandom(seed);
        const auto below = [&random](std::uint32_t bound) {
          return static_cast<int>(ToBoundedInteger(random(), bound));
        };
        auto engines = Engines(below(4), below(4), below(3));
        RolePlanner planner = Planner(Mix(below(12), below(12)));
        TimePoint now = kStart;
        const auto count = [&engines](EngineRole without) {
          int n = 0;
          for (const RoleTarget& it : engines) {
            n += it.role != without;
          }
          return n;
        };
        bool had_prefill = count(EngineRole::kDecode) > 0;
        bool had_decode = count(EngineRole::kPrefill) > 0;
        for (int step = 0; step < 40; ++step) {
          now += seconds(1 + below(200));
          const auto change =
              planner.Plan(Automatic(below(3)), engines, kNoon, now);
          for (RoleTarget& it : engines) {
            if (change && it.instance == change->instance) {
              RC_ASSERT(it.role == change->from);
              it.role = change->to;
            }
          }
          planner.OnDemand(Mix(below(12), below(12)), seconds(60));
          const bool has_prefill = count(EngineRole::kDecode) > 0;
          const bool has_decode = count(EngineRole::kPrefill) > 0;
          RC_ASSERT(!had_prefill || has_prefill);
          RC_ASSERT(!had_decode || has_decode);
          had_prefill = has_prefill;
          had_decode = has_decode;
        }
      });
  CHECK(held);
}

}  // namespace
}  // namespace indigolead
