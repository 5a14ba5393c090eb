#include "replay/policies.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace indigolead::replay {
namespace {

ChooseHook ProductionChoice() {
  return
      [](Router* router, const RouteQuery& query, std::span<const TargetHandle>,
         TimePoint now) { return router->Choose(query, now); };
}

ChooseHook RandomTarget() {
  return [random = MakeSeededRandom(5)](Router* router, const RouteQuery& query,
                                        std::span<const TargetHandle> serving,
                                        TimePoint now) mutable {
    const auto n = static_cast<std::uint32_t>(serving.size());
    return router->DecisionFor(serving[ToBoundedInteger(random(), n)], query,
                               now);
  };
}

ChooseHook RoundRobin() {
  return [turn = std::size_t{0}](Router* router, const RouteQuery& query,
                                 std::span<const TargetHandle> serving,
                                 TimePoint now) mutable {
    return router->DecisionFor(serving[turn++ % serving.size()], query, now);
  };
}

ChooseHook LeastReportedLoad() {
  return [](Router* router, const RouteQuery& query,
            std::span<const TargetHandle> serving, TimePoint now) {
    const auto requests = [router](TargetHandle target) {
      const TargetLoadReport report = *router->LastReport(target);
      return report.running + report.waiting;
    };
    TargetHandle best = serving.front();
    for (const TargetHandle it : serving) {
      best = requests(it) < requests(best) ? it : best;
    }
    return router->DecisionFor(best, query, now);
  };
}

ChooseHook PrefixHash() {
  return [](Router* router, const RouteQuery& query,
            std::span<const TargetHandle> serving, TimePoint now) {
    const std::uint64_t key = query.prefix_blocks.empty()
                                  ? query.prompt_tokens * 0x9E3779B97F4A7C15ULL
                                  : query.prefix_blocks.front();
    // Rendezvous hashing: each target gets a pseudorandom number for the key;
    // the highest wins.
    TargetHandle best = serving.front();
    std::uint64_t highest = 0;
    for (const TargetHandle it : serving) {
      const std::uint64_t draw = MakeSeededRandom(key ^ it.index)();
      if (draw >= highest) {
        highest = draw;
        best = it;
      }
    }
    return router->DecisionFor(best, query, now);
  };
}

RoleHook ProductionRoles() {
  return [](RolePlanner* planner, const RoleSpec& spec,
            std::span<const RoleTarget> targets,
            std::span<const TargetLoadReport>, std::uint32_t hour,
            TimePoint now) { return planner->Plan(spec, targets, hour, now); };
}

RoleHook StaticRoles() {
  return [](auto...) { return std::optional<RoleChange>(); };
}

/// Reactive baseline: switches an engine to prefill or decode if only that kind
/// of work exceeds its threshold per engine (0.5 s of queued prefill, requests
/// for 80% of the slots).
RoleHook ThresholdRoles() {
  return [](RolePlanner*, const RoleSpec&, std::span<const RoleTarget> targets,
            std::span<const TargetLoadReport> loads, std::uint32_t,
            TimePoint) -> std::optional<RoleChange> {
    double prefill_s = 0;
    double slots_used = 0;
    int mixed = 0;
    const RoleTarget* candidate = nullptr;
    for (std::size_t it = 0; it < targets.size(); ++it) {
      if (targets[it].changing) {
        return std::nullopt;
      }
      prefill_s += static_cast<double>(loads[it].queued_prefill_tokens) / 4000;
      slots_used += (loads[it].running + loads[it].waiting) / 16.0;
    }
    const auto n = static_cast<double>(targets.size());
    const bool more_prefill = prefill_s / n > 0.5;
    const bool more_decode = slots_used / n > 0.8;
    if (more_prefill == more_decode) {
      return std::nullopt;
    }
    const EngineRole to =
        more_prefill ? EngineRole::kPrefill : EngineRole::kDecode;
    for (const RoleTarget& it : targets) {
      mixed += it.role == EngineRole::kMixed;
      candidate = it.role != to && it.serving ? &it : candidate;
    }
    if (candidate == nullptr ||
        (candidate->role == EngineRole::kMixed && mixed <= 2)) {
      return std::nullopt;
    }
    RoleChange change;
    change.instance = candidate->instance;
    change.from = candidate->role;
    change.to = to;
    return change;
  };
}

Policy With(const std::string& name,
            const std::function<void(Policy*)>& change) {
  Policy policy = ProductionPolicy();
  policy.name = name;
  change(&policy);
  return policy;
}

std::vector<Policy> AllPolicies() {
  const auto fixed = [](ChooseHook choose) {
    return [choose = std::move(choose)](Policy* policy) {
      policy->choose = choose;
      policy->roles = StaticRoles();
      // These baselines ignore roles and would send whole requests to engines
      // specialized in prefill or decode.
      policy->all_mixed = true;
    };
  };
  return {
      With("random", fixed(RandomTarget())),
      With("round-robin", fixed(RoundRobin())),
      With("least-reported", fixed(LeastReportedLoad())),
      With("prefix-hash", fixed(PrefixHash())),
      With("static-roles", [](Policy* it) { it->roles = StaticRoles(); }),
      With("all-mixed",
           [](Policy* it) {
             it->roles = StaticRoles();
             it->all_mixed = true;
           }),
      With("threshold-roles", [](Policy* it) { it->roles = ThresholdRoles(); }),
      With("no-correction",
           [](Policy* it) { it->router.correct_reports = false; }),
      With("no-cache", [](Policy* it) { it->router.block_tokens = 0; }),
      With("no-outliers",
           [](Policy* it) { it->router.outlier.min_samples = UINT32_MAX; }),
      With("no-randomness",
           [](Policy* it) {
             it->router.tie = Duration{0};
             it->router.tie_share = 0;
           }),
      With("no-early-refusal", [](Policy* it) { it->refuse_early = false; }),
      With("no-gate",
           [](Policy* it) {
             it->admission.max_target_backlog_s = 1e9;
             it->admission.max_slots_share = 1e9;
           }),
      With("no-retries", [](Policy* it) { it->retry_share = 0; }),
  };
}

}  // namespace

Policy ProductionPolicy() {
  Policy policy;
  policy.name = "own";
  policy.choose = ProductionChoice();
  policy.roles = ProductionRoles();
  return policy;
}

std::optional<Policy> FindPolicy(const std::string& name) {
  if (name == "own") {
    return ProductionPolicy();
  }
  for (Policy& it : AllPolicies()) {
    if (it.name == name) {
      return std::move(it);
    }
  }
  return std::nullopt;
}

const std::vector<std::string>& PolicyNames() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> result;
    for (const Policy& it : AllPolicies()) {
      result.push_back(it.name);
    }
    return result;
  }();
  return names;
}

}  // namespace indigolead::replay
