#include "core/routing/router.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>

#include "core/routing/prefix_blocks.h"
#include "tests/support/allocation_counter.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

RouterOptions SmallOptions() {
  RouterOptions options;
  options.failure_domain = "bilbao-a";
  options.max_targets = 32;
  options.max_in_flight = 256;
  return options;
}

TargetView Engine(const std::string& name) {
  TargetView view;
  view.instance = name;
  view.failure_domain = "bilbao-a";
  view.models = {"tarifa@1"};
  return view;
}

TargetLoadReport Report(TimePoint measured_at, std::uint64_t queued) {
  TargetLoadReport report;
  report.measured_at = measured_at;
  report.queued_prefill_tokens = queued;
  report.slots = 32;
  report.prefill_tokens_per_s = 1000;
  report.decode_tokens_per_s = 1000;
  return report;
}

RouteQuery Prompt(std::uint64_t tokens) {
  RouteQuery query;
  query.model = "tarifa";
  query.prompt_tokens = tokens;
  query.output_tokens = 10;
  return query;
}

AttemptId Attempt(std::uint64_t n) { return AttemptId{Id128{n, n * 7919}}; }

/// A router with targets named "0", "1", ... that all serve "tarifa@1".
struct Fleet {
  explicit Fleet(int n, RouterOptions options = SmallOptions())
      : router(options, MakeSeededRandom(7)) {
    for (int it = 0; it < n; ++it) {
      handles.push_back(*router.UpdateTarget(Engine(std::to_string(it))));
    }
  }

  /// Returns how often each target is chosen in `n` decisions.
  std::map<std::uint32_t, int> Count(const RouteQuery& query, int n,
                                     TimePoint now) {
    std::map<std::uint32_t, int> counts;
    for (int it = 0; it < n; ++it) {
      const RouteDecision decision = router.Choose(query, now);
      REQUIRE(decision.verdict == RouteVerdict::kChosen);
      ++counts[decision.leg.target.index];
    }
    return counts;
  }

  Router router;
  std::vector<TargetHandle> handles;
};

TEST_CASE("A decision without a target states the reason") {
  SECTION("there are no targets") {
    Fleet fleet(0);
    CHECK(fleet.router.Choose(Prompt(1), kStart).verdict ==
          RouteVerdict::kNoTarget);
  }
  SECTION("no target has the model, its version or the adapter") {
    Fleet fleet(2);
    for (const char* model : {"other", "tarifa@2", "@1"}) {
      RouteQuery query = Prompt(1);
      query.model = model;
      CHECK(fleet.router.Choose(query, kStart).verdict ==
            RouteVerdict::kNotLoaded);
    }
    RouteQuery query = Prompt(1);
    query.adapter = "spring";
    CHECK(fleet.router.Choose(query, kStart).verdict ==
          RouteVerdict::kNotLoaded);
  }
  SECTION("every target was already tried") {
    Fleet fleet(2);
    RouteQuery query = Prompt(1);
    query.excluded = fleet.handles;
    CHECK(fleet.router.Choose(query, kStart).verdict ==
          RouteVerdict::kExcluded);
  }
  SECTION("every target is leaving or down") {
    Fleet fleet(2);
    TargetView leaving = Engine("0");
    leaving.leaving = true;
    TargetView down = Engine("1");
    down.serving = false;
    fleet.router.UpdateTarget(leaving);
    fleet.router.UpdateTarget(down);
    CHECK(fleet.router.Choose(Prompt(1), kStart).verdict ==
          RouteVerdict::kNoTarget);
  }
}

TEST_CASE("A router corrects delayed reports by the attempts it sent") {
  Fleet fleet(2);
  fleet.router.OnLoadReport(fleet.handles[0], Report(kStart, 0), kStart);
  fleet.router.OnLoadReport(fleet.handles[1], Report(kStart, 500), kStart);
  const RouteDecision first = fleet.router.Choose(Prompt(2000), kStart);
  REQUIRE(first.leg.target == fleet.handles[0]);
  REQUIRE(fleet.router.OnSent(Attempt(1), first.leg, {}, kStart));

  SECTION("the next request goes to another target") {
    CHECK(fleet.router.Choose(Prompt(2000), kStart).leg.target ==
          fleet.handles[1]);
  }
  SECTION("a report measured before the attempt was sent does not remove it") {
    fleet.router.OnLoadReport(fleet.handles[0],
                              Report(kStart - milliseconds(1), 0),
                              kStart + milliseconds(5));
    CHECK(fleet.router.Estimate(fleet.handles[0], kStart)->requests == 1);
  }
  SECTION("an attempt that a report includes is counted once") {
    TargetLoadReport report = Report(kStart + milliseconds(10), 2000);
    report.running = 1;
    fleet.router.OnLoadReport(fleet.handles[0], report,
                              kStart + milliseconds(20));
    const auto load =
        fleet.router.Estimate(fleet.handles[0], kStart + milliseconds(10));
    CHECK(load->requests == 1);
    CHECK(load->queued_prefill_tokens == 2000);

    fleet.router.OnEnded(Attempt(1), AttemptResult::kFinished,
                         kStart + milliseconds(30));
    CHECK(fleet.router.Estimate(fleet.handles[0], kStart + milliseconds(30))
              ->requests == 0);
    // A late report measured before the end must not count it again.
    report.measured_at = kStart + milliseconds(25);
    fleet.router.OnLoadReport(fleet.handles[0], report,
                              kStart + milliseconds(40));
    CHECK(fleet.router.Estimate(fleet.handles[0], kStart + milliseconds(40))
              ->requests == 0);
  }
  SECTION(
      "queued prefill decreases over time, except for unfinished attempts") {
    const TimePoint later = kStart + seconds(60);
    CHECK(
        fleet.router.Estimate(fleet.handles[1], later)->queued_prefill_tokens ==
        0);
    CHECK(
        fleet.router.Estimate(fleet.handles[0], later)->queued_prefill_tokens ==
        2000);
    fleet.router.OnFirstToken(Attempt(1), later);
    CHECK(
        fleet.router.Estimate(fleet.handles[0], later)->queued_prefill_tokens ==
        0);
  }
  SECTION("clock jumps and reports from the future are tolerated") {
    fleet.router.OnLoadReport(fleet.handles[0],
                              Report(kStart + std::chrono::hours(9), 700),
                              kStart + seconds(1));
    CHECK(fleet.router.Estimate(fleet.handles[0], kStart)
              ->queued_prefill_tokens >= 700);
    fleet.router.OnEnded(Attempt(1), AttemptResult::kFinished,
                         kStart - seconds(5));
    CHECK(fleet.router.Choose(Prompt(1), kStart - seconds(9)).verdict ==
          RouteVerdict::kChosen);
  }
}

TEST_CASE("A router spreads requests among targets of equal cost") {
  Fleet fleet(4);
  const auto counts = fleet.Count(Prompt(100), 4000, kStart);
  REQUIRE(counts.size() == 4);
  for (const auto& [index, n] : counts) {
    INFO("target " << index << " of 4 equal ones");
    CHECK(n > 800);
    CHECK(n < 1200);
  }
}

TEST_CASE("A router prefers a target that caches the prompt") {
  Fleet fleet(3);
  const PrefixBlocks blocks(std::string(4096, 'x'), 256, 1);
  RouteQuery query = Prompt(4096);
  query.prefix_blocks = blocks.hashes();
  for (const TargetHandle it : fleet.handles) {
    fleet.router.OnLoadReport(it, Report(kStart, 0), kStart);
  }
  fleet.router.OnCacheEvents(fleet.handles[2], blocks.hashes(), {}, 0, kStart);

  SECTION("while it is not much busier than the others") {
    const RouteDecision decision = fleet.router.Choose(query, kStart);
    CHECK(decision.leg.target == fleet.handles[2]);
    CHECK(decision.leg.cached_tokens == 4096);
    CHECK(decision.leg.work.prefill_tokens == 0);
  }
  SECTION("but not if waiting there costs more than a prefill elsewhere") {
    fleet.router.OnLoadReport(fleet.handles[2], Report(kStart, 9000), kStart);
    CHECK(fleet.router.Choose(query, kStart).leg.target != fleet.handles[2]);
  }
  SECTION("with less confidence after lost events until it is seen again") {
    const auto before = fleet.router.Choose(query, kStart).leg.cached_tokens;
    fleet.router.OnCacheEvents(fleet.handles[2], {}, {}, 32, kStart);
    const auto after_gap = fleet.router.Choose(query, kStart).leg.cached_tokens;
    // Sixteen cached blocks, sixteen removals lost.
    CHECK(after_gap == before / 2);
    fleet.router.OnCacheEvents(fleet.handles[2], blocks.hashes(), {}, 0,
                               kStart + seconds(1));
    CHECK(fleet.router.Choose(query, kStart + seconds(1)).leg.cached_tokens >
          after_gap);
  }
  SECTION("until the target restarts") {
    fleet.router.OnRestart(fleet.handles[2]);
    CHECK(fleet.router.Choose(query, kStart).leg.cached_tokens == 0);
  }
}

// A target accepts work, reports a short queue and takes ten times as long as
// its peers. The router must detect it by comparing observed with expected
// times, send it only one probe at a time, and use it again once it is fast.
TEST_CASE("A slow or failing target gets only probes until it recovers") {
  Fleet fleet(3);
  std::uint64_t id = 0;
  const auto run = [&](TargetHandle target, milliseconds took, bool failed,
                       TimePoint now) {
    RouteLeg leg;
    leg.target = target;
    leg.expected_first_token = milliseconds(100);
    const AttemptId attempt = Attempt(++id);
    REQUIRE(fleet.router.OnSent(attempt, leg, {}, now));
    if (!failed) {
      fleet.router.OnFirstToken(attempt, now + took);
    }
    fleet.router.OnEnded(
        attempt,
        failed ? AttemptResult::kTargetFailed : AttemptResult::kFinished,
        now + took);
  };
  for (int it = 0; it < 20; ++it) {
    run(fleet.handles[0], milliseconds(100), false, kStart);
    run(fleet.handles[1], milliseconds(100), false, kStart);
  }
  RouteQuery query = Prompt(10);

  SECTION("a slow target") {
    for (int it = 0; it < 20; ++it) {
      run(fleet.handles[2], milliseconds(1000), false, kStart);
    }
    REQUIRE(fleet.router.suspects() == 1);
    CHECK(fleet.Count(query, 200, kStart + seconds(2)).count(2) == 0);

    query.may_probe = true;
    const TimePoint later = kStart + seconds(3);
    const RouteDecision probe = fleet.router.Choose(query, later);
    CHECK(probe.probe);
    CHECK(probe.leg.target == fleet.handles[2]);
    CHECK_FALSE(fleet.router.Choose(query, later).probe);

    run(fleet.handles[2], milliseconds(100), false, later);
    CHECK(fleet.router.suspects() == 0);
  }
  SECTION("a failing target") {
    for (int it = 0; it < 3; ++it) {
      run(fleet.handles[2], milliseconds(1), true, kStart);
    }
    CHECK(fleet.router.suspects() == 1);
    CHECK(fleet.Count(query, 200, kStart).count(2) == 0);
  }
  SECTION("suspicion is ignored if most targets are suspect") {
    for (const TargetHandle target : fleet.handles) {
      for (int it = 0; it < 3; ++it) {
        run(target, milliseconds(1), true, kStart);
      }
    }
    CHECK(fleet.router.suspects() == 3);
    CHECK(fleet.Count(query, 300, kStart).size() == 3);
  }
}

TEST_CASE("A router splits prefill and decode when that is cheaper") {
  RouterOptions options = SmallOptions();
  options.kv_bytes_per_token = 1000;
  Fleet fleet(3, options);
  TargetView prefill = Engine("0");
  prefill.role = EngineRole::kPrefill;
  TargetView decode = Engine("1");
  decode.role = EngineRole::kDecode;
  fleet.router.UpdateTarget(prefill);
  fleet.router.UpdateTarget(decode);
  for (const TargetHandle it : fleet.handles) {
    fleet.router.OnLoadReport(it, Report(kStart, 0), kStart);
  }
  RouteQuery query = Prompt(1000);
  query.output_tokens = 100;
  query.may_split = true;

  SECTION("the mixed engine is busy") {
    fleet.router.OnLoadReport(fleet.handles[2], Report(kStart, 8000), kStart);
    const RouteDecision decision = fleet.router.Choose(query, kStart);
    REQUIRE(decision.prefill.has_value());
    CHECK(decision.prefill->target == fleet.handles[0]);
    CHECK(decision.leg.target == fleet.handles[1]);
    CHECK(decision.leg.work.prefill_tokens == 0);
  }
  SECTION("moving the KV cache costs too much") {
    options.transfer_bytes_per_s = 1000;
    Fleet slow(0, options);
    slow.router.UpdateTarget(prefill);
    slow.router.UpdateTarget(decode);
    slow.router.UpdateTarget(Engine("2"));
    CHECK_FALSE(slow.router.Choose(query, kStart).prefill.has_value());
  }
  SECTION("the query does not allow a split") {
    query.may_split = false;
    CHECK(fleet.router.Choose(query, kStart).leg.target == fleet.handles[2]);
  }
}

TEST_CASE("A router respects its limits") {
  RouterOptions options = SmallOptions();
  options.max_targets = 2;
  options.max_in_flight = 3;
  Fleet fleet(2, options);

  SECTION("max_targets is not exceeded and a removed target frees its slot") {
    CHECK_FALSE(fleet.router.UpdateTarget(Engine("2")).has_value());
    fleet.router.RemoveTarget(fleet.handles[0]);
    const auto handle = fleet.router.UpdateTarget(Engine("2"));
    REQUIRE(handle.has_value());
    CHECK(fleet.router.View(fleet.handles[0]) == nullptr);
    CHECK(fleet.router.View(*handle)->instance == "2");
  }
  SECTION("attempts beyond max_in_flight are not tracked") {
    RouteLeg leg;
    leg.target = fleet.handles[0];
    for (std::uint64_t it = 1; it <= 3; ++it) {
      CHECK(fleet.router.OnSent(Attempt(it), leg, {}, kStart));
    }
    CHECK_FALSE(fleet.router.OnSent(Attempt(4), leg, {}, kStart));
    fleet.router.OnEnded(Attempt(2), AttemptResult::kFinished, kStart);
    CHECK(fleet.router.OnSent(Attempt(4), leg, {}, kStart));
  }
  SECTION("hundreds of model versions do not exhaust the model name table") {
    for (int version = 1; version < 300; ++version) {
      TargetView view = Engine("0");
      view.models = {"tarifa@" + std::to_string(version)};
      fleet.router.UpdateTarget(view);
    }
    RouteQuery query = Prompt(1);
    query.model = "tarifa@299";
    CHECK(fleet.router.Choose(query, kStart).leg.target == fleet.handles[0]);
  }
}

TEST_CASE("A router does not allocate in steady state") {
  RouterOptions options = SmallOptions();
  options.max_targets = 100;
  Fleet fleet(100, options);
  const PrefixBlocks blocks(std::string(8192, 'x'), 256, 1);
  RouteQuery query = Prompt(8192);
  query.prefix_blocks = blocks.hashes();
  query.may_probe = true;
  query.may_split = true;
  const std::uint64_t before = AllocationsOfThisThread();
  for (std::uint64_t it = 1; it <= 2000; ++it) {
    const TimePoint now = kStart + milliseconds(it);
    const RouteDecision decision = fleet.router.Choose(query, now);
    fleet.router.OnSent(Attempt(it), decision.leg, query.prefix_blocks, now);
    fleet.router.OnFirstToken(Attempt(it), now);
    fleet.router.OnEnded(
        Attempt(it - 1),
        it % 9 == 0 ? AttemptResult::kTargetFailed : AttemptResult::kFinished,
        now);
    fleet.router.OnLoadReport(fleet.handles[it % 100],
                              Report(now - seconds(1), 100), now);
    fleet.router.OnCacheEvents(fleet.handles[it % 100], query.prefix_blocks,
                               query.prefix_blocks.first(1), it % 5, now);
  }
  const std::uint64_t allocated = AllocationsOfThisThread() - before;
  INFO("expected no calls of operator new in 2000 decisions, saw "
       << allocated);
  CHECK(allocated == 0);
}

TEST_CASE("A router never chooses an unsuitable target") {
  const bool passed = rc::check(
      "leaving, down, wrong model, wrong adapter or excluded",
      [](std::uint64_t seed) {
        RandomSource random = MakeSeededRandom(seed);
        Fleet fleet(0);
        std::vector<TargetHandle> handles;
        std::map<std::uint32_t, bool> allowed;
        const std::uint32_t n = ToBoundedInteger(random(), 30);
        for (std::uint32_t it = 0; it < n; ++it) {
          TargetView view = Engine(std::to_string(it));
          view.leaving = ToBoundedInteger(random(), 4) == 0;
          view.serving = ToBoundedInteger(random(), 4) != 0;
          const bool model = ToBoundedInteger(random(), 3) != 0;
          const bool adapter = ToBoundedInteger(random(), 2) == 0;
          view.models = {model ? "tarifa@1" : "brief@1"};
          view.adapters = {adapter ? "spring" : "autumn"};
          view.role = static_cast<EngineRole>(ToBoundedInteger(random(), 3));
          handles.push_back(*fleet.router.UpdateTarget(view));
          allowed[handles.back().index] =
              !view.leaving && view.serving && model && adapter;
        }
        std::vector<TargetHandle> excluded;
        for (const TargetHandle it : handles) {
          fleet.router.OnLoadReport(
              it, Report(kStart + milliseconds(random() % 1000), random()),
              kStart);
          if (ToBoundedInteger(random(), 5) == 0) {
            excluded.push_back(it);
            allowed[it.index] = false;
          }
        }
        RouteQuery query = Prompt(random());
        query.adapter = "spring";
        query.excluded = excluded;
        query.may_probe = true;
        query.may_split = ToBoundedInteger(random(), 2) == 0;
        const RouteDecision decision = fleet.router.Choose(query, kStart);
        const bool any = std::any_of(allowed.begin(), allowed.end(),
                                     [](const auto& it) { return it.second; });
        RC_ASSERT((decision.verdict == RouteVerdict::kChosen) == any);
        if (any) {
          RC_ASSERT(allowed[decision.leg.target.index]);
          RC_ASSERT(!decision.prefill ||
                    allowed[decision.prefill->target.index]);
        }
      });
  CHECK(passed);
}

}  // namespace
}  // namespace indigolead
