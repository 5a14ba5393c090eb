#ifndef INDIGOLEAD_CORE_ROUTING_ROUTER_H_
#define INDIGOLEAD_CORE_ROUTING_ROUTER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/ids.h"
#include "core/base/random.h"
#include "core/base/time.h"
#include "core/config/deployment.h"
#include "core/routing/in_flight_table.h"
#include "core/routing/outlier_detector.h"
#include "core/routing/prefix_cache_hint.h"
#include "core/routing/target_load.h"

namespace indigolead {

/// Identifies one target of one router. A target that is removed and added
/// again gets a new handle, so that late events of the old one have no effect.
struct TargetHandle {
  std::uint32_t index = UINT32_MAX;
  std::uint32_t generation = 0;

  friend bool operator==(const TargetHandle&, const TargetHandle&) = default;
};

/// Describes a target except for its load.
struct TargetView {
  std::string instance;
  std::string failure_domain;
  EngineRole role = EngineRole::kMixed;
  std::vector<std::string> models;  ///< Loaded models as "name@version".
  std::vector<std::string> adapters;
  bool serving = true;  ///< Up, connected and not being changed.
  bool leaving = false;

  friend bool operator==(const TargetView&, const TargetView&) = default;
};

/// Requirements of a request. Its views and spans need only live until `Choose`
/// returns.
struct RouteQuery {
  std::string_view model;    ///< "name" or "name@version"; empty for any.
  std::string_view adapter;  ///< Empty for none.
  std::uint64_t prompt_tokens = 0;
  std::uint64_t output_tokens = 0;
  std::span<const std::uint64_t> prefix_blocks;  ///< See `PrefixBlocks`.
  std::span<const TargetHandle> excluded;        ///< Already tried.
  /// Allows probing a suspect target with this request. Set only for requests
  /// that can be retried.
  bool may_probe = false;
  /// Allows the prefill and the decode to run on different engines.
  bool may_split = false;
};

/// Result of a routing decision.
enum class RouteVerdict {
  kChosen,
  kNoTarget,   ///< No target is serving.
  kNotLoaded,  ///< No serving target has the model and adapter.
  kExcluded,   ///< Every suitable target was already tried.
};

/// The part of a request that one engine runs: the prefill, the decode or both.
struct RouteLeg {
  TargetHandle target;
  AttemptWork work;
  std::uint64_t cached_tokens = 0;  ///< Prompt tokens expected to be cached.
  Duration expected_first_token{0};
  /// Not corrected by recent attempts; passed to `OnSent`.
  Duration expected_end{0};

  friend bool operator==(const RouteLeg&, const RouteLeg&) = default;
};

/// A routing decision.
struct RouteDecision {
  RouteVerdict verdict = RouteVerdict::kNoTarget;
  RouteLeg leg;  ///< Valid if `verdict` is `kChosen`.
  /// Engine that runs the prefill; the engine of `leg` then imports its KV
  /// cache.
  std::optional<RouteLeg> prefill;
  /// Time to the end of the answer, calibrated by recent attempts.
  Duration expected_finish{0};
  bool probe = false;  ///< The target is suspect and being probed.

  friend bool operator==(const RouteDecision&, const RouteDecision&) = default;
};

/// Outcome of an attempt.
enum class AttemptResult {
  kFinished,      ///< Answer complete; its time calibrates the model.
  kTargetFailed,  ///< Failure caused by the target.
  kOther,         ///< Cancelled, refused, or failed elsewhere.
};

/// Limits and cost weights of a router.
struct RouterOptions {
  std::string failure_domain;  ///< Domain of the router itself.
  std::uint32_t max_targets = 512;
  std::uint32_t max_in_flight = 16384;
  /// Targets scored per decision; bounds its time for any fleet size.
  std::uint32_t max_scored = 128;
  std::uint32_t block_tokens = 256;  ///< Prompt tokens in one prefix block.
  PrefixCacheHint::Options cache;
  OutlierDetector::Options outlier;
  TargetDefaults defaults;
  /// If false, uses the last load report without correction. Only for measuring
  /// the effect of the correction.
  bool correct_reports = true;
  std::uint64_t kv_bytes_per_token = 0;  ///< 0 ignores KV memory.
  double transfer_bytes_per_s = 1e9;     ///< KV cache transfer rate.
  /// Cost of a prefill relative to its duration. Above 1 because it also delays
  /// other requests.
  double prefill_weight = 2.0;
  /// Time added for a target in another failure domain.
  Duration domain_cost = std::chrono::milliseconds(2);
  /// Time added for a target whose KV memory would overflow, which would evict
  /// a running request.
  Duration kv_full_cost = std::chrono::seconds(5);
  /// Slowdown factor for work outside an engine's role.
  double role_mismatch_cost = 3.0;
  /// Relative and absolute difference from the best cost that counts as a tie.
  double tie_share = 0.05;
  Duration tie = std::chrono::milliseconds(2);
  /// Above this share of suspect targets, suspicion is ignored: the cause is
  /// probably elsewhere, and the other targets could not carry the load.
  double max_suspect_share = 0.5;
};

/// Load summed over the serving targets, for admission control.
struct FleetLoad {
  std::uint32_t serving = 0;
  double queued_prefill_tokens = 0;
  double requests = 0;
  double slots = 0;
  double prefill_tokens_per_s = 0;
  double decode_tokens_per_s = 0;

  friend bool operator==(const FleetLoad&, const FleetLoad&) = default;
};

/// Chooses the target of each attempt of one deployment.
///
/// Each suitable target gets a cost in seconds: the prefill queued there, the
/// prefill of the prompt tokens that its cache does not cover, the wait for a
/// slot, the decode at its batch size and the slowdown of the other requests.
/// A mismatching role multiplies the request's own prefill and the decode terms
/// other than the wait, slowness multiplies the sum, and full KV memory and
/// another failure domain add penalties. The choice among targets with nearly
/// the best cost is random, so that routers that see the same reports do not
/// all pick the same target.
///
/// Not thread-safe; owned by one dispatch thread. `Choose`, `OnSent`,
/// `OnFirstToken`, `OnEnded`, `OnLoadReport` and `OnCacheEvents` do not
/// allocate. Memory is bounded by the options.
class Router {
 public:
  Router(RouterOptions options, RandomSource random);

  /// Adds the target, or replaces the view of the one with the same instance
  /// name. Returns nothing if there are already `max_targets` others.
  std::optional<TargetHandle> UpdateTarget(const TargetView& view);

  /// Removes the target and its attempts.
  void RemoveTarget(TargetHandle target);

  /// Resets the target's cache hints, load and outlier state after its process
  /// restarted, and drops its attempts.
  void OnRestart(TargetHandle target);

  /// Applies a load report unless it is older than the last one.
  void OnLoadReport(TargetHandle target, const TargetLoadReport& report,
                    TimePoint now);

  /// Applies cache events. `lost` is the estimated number of blocks in events
  /// that were lost before these.
  void OnCacheEvents(TargetHandle target, std::span<const std::uint64_t> added,
                     std::span<const std::uint64_t> removed, std::uint64_t lost,
                     TimePoint now);

  /// Chooses the target of an attempt. Changes only the random source and, for
  /// a probe, the time of the next probe.
  RouteDecision Choose(const RouteQuery& query, TimePoint now);

  /// Returns the decision for a given target regardless of its cost, for
  /// callers that choose the target themselves. `target` must be valid.
  RouteDecision DecisionFor(TargetHandle target, const RouteQuery& query,
                            TimePoint now) const;

  /// Records that the attempt was sent to the target of `leg`, where
  /// `prefix_blocks` are assumed to be cached from then on. Returns false if
  /// the attempt is not tracked, because `max_in_flight` was reached, its id is
  /// already tracked, or the target was removed.
  bool OnSent(AttemptId attempt, const RouteLeg& leg,
              std::span<const std::uint64_t> prefix_blocks, TimePoint now);

  /// Records the first token, taken to be the first byte of the answer.
  void OnFirstToken(AttemptId attempt, TimePoint now);

  /// Records the end. `kTargetFailed` counts as a failure of the target.
  void OnEnded(AttemptId attempt, AttemptResult result, TimePoint now);

  /// Returns the handle of `instance`, or nothing if there is none.
  std::optional<TargetHandle> Find(std::string_view instance) const;

  /// Returns the view of `target`, or null if the handle is stale.
  const TargetView* View(TargetHandle target) const;

  /// Returns the load estimate of `target`, or nothing if the handle is stale.
  std::optional<LoadEstimate> Estimate(TargetHandle target,
                                       TimePoint now) const;

  /// Returns the last load report of `target`, default-constructed before the
  /// first, or nothing if the handle is stale.
  std::optional<TargetLoadReport> LastReport(TargetHandle target) const;

  FleetLoad Fleet(TimePoint now) const;

  /// Returns the number of serving targets that are suspect.
  std::uint32_t suspects() const;

 private:
  /// Part of a request for which a target is scored.
  enum class RequestPhase { kWhole, kPrefill, kDecode };

  struct TargetState {
    TargetState(const TargetDefaults& defaults,
                const PrefixCacheHint::Options& cache)
        : load(defaults), hint(cache) {}
    bool in_use = false;
    std::uint32_t generation = 0;
    std::uint64_t model_bits = 0;
    std::uint64_t adapter_bits = 0;
    bool local = false;
    TargetView view;
    TargetLoad load;
    OutlierState outlier;
    PrefixCacheHint hint;
  };

  /// A scored target.
  struct Candidate {
    std::uint32_t index = UINT32_MAX;
    double cost = 0;  ///< Seconds; infinite if there is no candidate.
    double first_token_s = 0;
    double finish_s = 0;
    std::uint64_t cached_tokens = 0;
  };

  /// Maps names of models or adapters to bits of a mask.
  class NameBits {
   public:
    /// Returns the bit of `name`, assigning one if there is room, else 0.
    std::uint64_t BitsOf(const std::string& name);
    std::uint64_t Find(std::string_view name) const;
    bool full() const { return names_.size() >= kMaxNames; }
    void Clear() { names_.clear(); }

   private:
    std::vector<std::string> names_;
  };
  /// Number of bits in a mask. Further names of a target never match, so that
  /// requests for them are refused instead of misrouted.
  static constexpr std::size_t kMaxNames = 64;

  /// Model and adapter of a query as masks.
  struct RequiredBits {
    std::uint64_t model = 0;
    std::uint64_t adapter = 0;
  };

  TargetState* Get(TargetHandle target);
  const TargetState* Get(TargetHandle target) const;
  TargetHandle HandleOf(std::uint32_t index) const;
  std::optional<std::uint32_t> SlotFor(const std::string& instance);
  void AssignNameBits(TargetState* state);
  void ReassignNameBits();
  void SetServing(std::uint32_t index, bool serving);
  void ForgetAttempts(std::uint32_t index);
  void CalibrateFinish(const InFlightAttempt& attempt, TimePoint now);

  std::optional<RequiredBits> Resolve(const RouteQuery& query) const;
  void CollectCandidates(const RouteQuery& query, const RequiredBits& required);
  void ScanFrom(std::uint32_t start, std::uint32_t limit,
                const RouteQuery& query, const RequiredBits& required);
  std::optional<std::uint32_t> DueProbe(TimePoint now) const;
  Candidate Score(std::uint32_t index, const RouteQuery& query,
                  RequestPhase phase, TimePoint now) const;
  Candidate ChooseBest(const RouteQuery& query, RequestPhase phase,
                       TimePoint now);
  RouteLeg MakeLeg(const Candidate& candidate, const RouteQuery& query,
                   RequestPhase phase) const;
  RouteDecision WholeDecision(const Candidate& whole, const RouteQuery& query,
                              bool probe) const;
  std::optional<RouteDecision> ChooseSplit(const RouteQuery& query,
                                           const Candidate& whole,
                                           TimePoint now);

  RouterOptions options_;
  RandomSource random_;
  OutlierDetector outliers_;
  InFlightTable attempts_;
  NameBits models_;
  NameBits adapters_;
  std::vector<TargetState> targets_;
  std::vector<std::uint32_t> serving_;  ///< Indices, unordered.
  // Buffers reused by each decision, so that decisions do not allocate.
  std::vector<std::uint32_t> suitable_;
  std::vector<Candidate> scored_;
  bool any_excluded_ = false;
  /// Moving average of the actual over the expected duration of attempts.
  double finish_ratio_ = 1;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROUTING_ROUTER_H_
