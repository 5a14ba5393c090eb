// Measures the time of one routing decision by number of targets, and prints
// the slope between fleet sizes. Usage: routing_bench
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "core/routing/prefix_blocks.h"
#include "core/routing/router.h"

namespace {

using namespace indigolead;

constexpr int kDecisions = 20000;
constexpr int kRounds = 5;
constexpr TimePoint kStart{std::chrono::hours(1)};

RouterOptions Options(std::uint32_t n) {
  RouterOptions options;
  options.max_targets = n;
  options.max_in_flight = kDecisions + 1;
  options.failure_domain = "a";
  return options;
}

void Fill(Router* router, std::uint32_t n) {
  for (std::uint32_t it = 0; it < n; ++it) {
    TargetView view;
    view.instance = "engine-" + std::to_string(it);
    view.failure_domain = it % 3 == 0 ? "a" : "b";
    view.models = {"model@1"};
    const auto handle = router->UpdateTarget(view);
    TargetLoadReport report;
    report.measured_at = kStart;
    report.queued_prefill_tokens = it * 37 % 5000;
    report.running = it % 30;
    report.slots = 32;
    router->OnLoadReport(*handle, report, kStart);
  }
}

std::vector<PrefixBlocks> Prompts() {
  std::vector<PrefixBlocks> prompts;
  for (std::size_t it = 0; it < 64; ++it) {
    // All prompts share their first half.
    std::string text(16384, 'x');
    text += std::string(16384, static_cast<char>(' ' + it));
    prompts.emplace_back(text, 1024, 1);
  }
  return prompts;
}

/// Returns the time of one decision and send in nanoseconds, the minimum over
/// all rounds: other load on the shared machine only ever adds time.
double NanosecondsPerDecision(std::uint32_t n) {
  const std::vector<PrefixBlocks> prompts = Prompts();
  double best = 1e18;
  for (int round = 0; round < kRounds; ++round) {
    Router router(Options(n), MakeSeededRandom(7));
    Fill(&router, n);
    const auto begin = std::chrono::steady_clock::now();
    for (int it = 0; it < kDecisions; ++it) {
      RouteQuery query;
      query.model = "model";
      query.prompt_tokens = 8192;
      query.output_tokens = 200;
      query.prefix_blocks = prompts[it % prompts.size()].hashes();
      const TimePoint now = kStart + std::chrono::microseconds(it);
      const RouteDecision decision = router.Choose(query, now);
      const AttemptId id{Id128{1, static_cast<std::uint64_t>(it) * 7919}};
      router.OnSent(id, decision.leg, {}, now);
      router.OnEnded(id, AttemptResult::kFinished, now);
      if (it % 16 == 0) {
        router.OnCacheEvents(decision.leg.target, query.prefix_blocks, {}, 0,
                             now);
      }
    }
    const std::chrono::duration<double, std::nano> took =
        std::chrono::steady_clock::now() - begin;
    best = std::min(best, took.count() / kDecisions);
  }
  return best;
}

}  // namespace

int main() {
  std::printf("%8s %14s %20s\n", "targets", "ns/decision", "ns/target (slope)");
  double last_time = 0;
  double last_n = 0;
  for (const std::uint32_t n : {10U, 20U, 100U, 1000U, 5000U}) {
    const double time = NanosecondsPerDecision(n);
    std::printf("%8u %14.0f", n, time);
    if (last_n > 0) {
      std::printf(" %20.2f", (time - last_time) / (n - last_n));
    }
    std::printf("\n");
    last_time = time;
    last_n = n;
  }
  return 0;
}
