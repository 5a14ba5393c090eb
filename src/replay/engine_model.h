#ifndef INDIGOLEAD_REPLAY_ENGINE_MODEL_H_
#define INDIGOLEAD_REPLAY_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <list>
#include <vector>

#include "core/config/deployment.h"
#include "core/routing/target_load.h"

namespace indigolead::replay {

/// Capacity and costs of an engine; the same for all engines of a trace.
struct EngineCosts {
  double prefill_tokens_per_s = 4000;
  double decode_tokens_per_s = 600;  ///< All slots in use.
  std::uint32_t slots = 16;
  std::uint64_t kv_tokens = 60000;     ///< For running requests.
  std::uint64_t cache_tokens = 20000;  ///< For shared prefixes.
  std::uint32_t chunk_tokens = 256;    ///< Prefill per step.
  /// Slowdown factor of a step that does both prefill and decode work.
  double interference_factor = 1.15;
  /// Slowdown factor of work that does not match the role of the engine.
  double mismatch_factor = 3;
};

/// One request on an engine.
struct Sequence {
  std::uint64_t attempt = 0;
  int priority = 0;
  double prefill_left = 0;
  double output_left = 0;
  double context_tokens = 0;
  std::uint32_t prefix = 0;
  std::uint32_t prefix_tokens = 0;
  bool poison = false;
};

/// Result of one engine step.
struct StepResult {
  std::vector<std::uint64_t> first_tokens;
  std::vector<std::uint64_t> finished;
  std::vector<std::uint32_t> cached;   ///< Prefixes added to the cache.
  std::vector<std::uint32_t> evicted;  ///< Prefixes evicted from the cache.
  bool crashed = false;
};

/// Cost model of one engine with continuous batching: each step generates one
/// token for every running sequence and prefills one chunk.
class EngineModel {
 public:
  explicit EngineModel(const EngineCosts& costs) : costs_(costs) {}

  /// Queues a request and returns the number of prompt tokens found in the
  /// cache.
  std::uint32_t Add(Sequence sequence);
  void Cancel(std::uint64_t attempt);

  /// Begins a step and returns its duration in seconds, or 0 if the engine is
  /// idle.
  double BeginStep();
  StepResult EndStep();

  /// Drops all requests and cached prefixes, as a crash or a role change does.
  void Reset();

  TargetLoadReport Report() const;

  /// Returns a lower bound of the seconds until a new request would finish.
  double FinishSeconds(double prompt_tokens, double output_tokens) const;

  bool idle() const { return running_.empty() && waiting_.empty(); }

  EngineRole role = EngineRole::kMixed;
  double slowdown = 1;
  bool stepping = false;

 private:
  void AdmitWaiting();
  void AddToCache(const Sequence& sequence, StepResult* result);

  EngineCosts costs_;
  std::deque<Sequence> waiting_;  ///< Highest priority first.
  std::vector<Sequence> running_;
  std::list<std::pair<std::uint32_t, std::uint32_t>> cache_;  ///< Newest first.
  double kv_used_ = 0;
};

}  // namespace indigolead::replay

#endif  // INDIGOLEAD_REPLAY_ENGINE_MODEL_H_
