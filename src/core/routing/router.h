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

/// Names one target of one router. A target that is removed and added again
/// has a new handle, so that late events of the old one touch nothing.
struct TargetHandle {
  std::uint32_t index = UINT32_MAX;
  std::uint32_t generation = 0;

  friend bool operator==(const TargetHandle&, const TargetHandle&) = default;
};

/// What a router needs to know of a target besides its load.
struct TargetView {
  std::string instance;
  std::string failure_domain;
  EngineRole role = EngineRole::kMixed;
  std::vector<std::string> models;  ///< Loaded, as "name@version".
  std::vector<std::string> adapters;
  bool serving = true;  ///< Up, connected, and not in a change.
  bool leaving = false;

  friend bool operator==(const TargetView&, const TargetView&) = default;
};

/// What a request asks of a target. Views and spans need only live until
/// `Choose` returns.
struct RouteQuery {
  std::string_view model;    ///< "name" or "name@version"; empty: any.
  std::string_view adapter;  ///< Empty: none.
  std::uint64_t prompt_tokens = 0;
  std::uint64_t output_tokens = 0;
  std::span<const std::uint64_t> prefix_blocks;  ///< See `PrefixBlocks`.
  std::span<const TargetHandle> excluded;        ///< Tried before.
  /// A suspect target may be tried with this request. Set only for requests
  /// that may run again if it fails.
  bool may_probe = false;
  /// The caller of `Choose` can run the prefill on one engine and the decode
  /// on another.
  bool may_split = false;
};

/// Why a decision names no target, or that it names one.
enum class RouteVerdict {
  kChosen,
  kNoTarget,   ///< No target is serving.
  kNotLoaded,  ///< No serving target has the model and adapter.
  kExcluded,   ///< Every suitable target was tried before.
};

/// What one engine is asked to do for a request.
struct RouteLeg {
  TargetHandle target;
  AttemptWork work;
  std::uint64_t cached_tokens = 0;  ///< Prompt tokens probably cached there.
  Duration expected_first_token{0};
  Duration expected_end{0};  ///< Before calibration; passed to `OnSent`.

  friend bool operator==(const RouteLeg&, const RouteLeg&) = default;
};

/// Outcome of one decision.
struct RouteDecision {
  RouteVerdict verdict = RouteVerdict::kNoTarget;
  RouteLeg leg;  ///< Valid if `verdict` is `kChosen`.
  /// Engine to prefill on first; that of `leg` then imports its KV cache.
  std::optional<RouteLeg> prefill;
  /// Time to the whole answer, corrected by how the last ones compared.
  Duration expected_finish{0};
  bool probe = false;  ///< The target is suspect and tried on purpose.

  friend bool operator==(const RouteDecision&, const RouteDecision&) = default;
};

/// What an attempt's end says of its target.
enum class AttemptFate {
  kFinished,      ///< The answer came whole: shows how long it takes.
  kTargetFailed,  ///< The target's fault.
  kOther,         ///< Cancelled, refused, or a fault elsewhere.
};

/// Bounds and weights of a router.
struct RouterOptions {
  std::string failure_domain;  ///< Where the router itself runs.
  std::uint32_t max_targets = 512;
  std::uint32_t max_in_flight = 16384;
  /// Targets scored for one decision; bounds its time at any fleet size.
  std::uint32_t max_scored = 128;
  std::uint32_t block_tokens = 256;  ///< Prompt tokens in one prefix block.
  PrefixCacheHint::Options cache;
  OutlierDetector::Options outlier;
  TargetDefaults defaults;
  /// Off: routes on the last report as it is. Only to measure what the
  /// correction is worth.
  bool correct_reports = true;
  std::uint64_t kv_bytes_per_token = 0;  ///< 0 leaves KV memory out.
  double transfer_bytes_per_s = 1e9;     ///< Of KV cache between engines.
  /// Weight of a prefill's own work over its time: it delays others as well.
  double prefill_weight = 2.0;
  /// Time added for a target in another failure domain.
  Duration domain_cost = std::chrono::milliseconds(2);
  /// Time added for a target whose KV memory would overflow, so that it would
  /// have to evict a running request.
  Duration kv_full_cost = std::chrono::seconds(5);
  /// Times slower that an engine does the work of another role.
  double role_mismatch_cost = 3.0;
  /// Costs this close to the best count as equal, relative and absolute.
  double tie_share = 0.05;
  Duration tie = std::chrono::milliseconds(2);
  /// Share of suspect targets from which on suspicion is ignored: then the
  /// trouble is elsewhere, and the rest could not carry the load.
  double max_suspect_share = 0.5;
};

/// Sums over the targets that serve, for admission.
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
/// Each suitable target is given a cost in seconds: the prefill queued there,
/// the part of this prompt that its cache does not cover, the decode at its
/// batch size, and surcharges for full KV memory, another failure domain, a
/// foreign role and slowness. The choice is at random among those whose cost is
/// about the best, since several routers that see the same reports must not
/// all pick the same target.
///
/// Not thread-safe: it belongs to one dispatch thread. `Choose`, `OnSent`,
/// `OnFirstToken`, `OnEnded`, `OnLoadReport` and `OnCacheEvents` allocate
/// nothing; memory is bounded by the options.
class Router {
 public:
  Router(RouterOptions options, RandomSource random);

  /// Adds the target or replaces what is known of it, by instance name.
  /// Returns nothing if `max_targets` are held.
  std::optional<TargetHandle> UpdateTarget(const TargetView& view);

  /// Forgets the target and its attempts.
  void RemoveTarget(TargetHandle target);

  /// Forgets cache, load and suspicion, because the target's process is new.
  void OnRestart(TargetHandle target);

  /// Takes a report; those older than the one held are ignored.
  void OnLoadReport(TargetHandle target, const TargetLoadReport& report,
                    TimePoint now);

  /// Takes cache events. `lost` is the number of blocks in events before these
  /// that were lost, by estimate.
  void OnCacheEvents(TargetHandle target, std::span<const std::uint64_t> added,
                     std::span<const std::uint64_t> removed, std::uint64_t lost,
                     TimePoint now);

  /// Returns the target to send an attempt to. Changes nothing but the random
  /// source and, for a probe, the time of the next.
  RouteDecision Choose(const RouteQuery& query, TimePoint now);

  /// Returns the decision for one given target, however bad, to send a
  /// request there for a reason of the caller's own. `target` must be known.
  RouteDecision Consider(TargetHandle target, const RouteQuery& query,
                         TimePoint now) const;

  /// Records that the attempt was sent as decided. `prefix_blocks` are then
  /// taken to be cached there. Returns false if the attempt is not tracked,
  /// because `max_in_flight` are or the target is gone.
  bool OnSent(AttemptId attempt, const RouteLeg& leg,
              std::span<const std::uint64_t> prefix_blocks, TimePoint now);

  /// Records the first byte of the answer.
  void OnFirstToken(AttemptId attempt, TimePoint now);

  /// Records the end. `kTargetFailed` blames the target.
  void OnEnded(AttemptId attempt, AttemptFate fate, TimePoint now);

  /// Returns the handle of `instance`, if it is known.
  std::optional<TargetHandle> Find(std::string_view instance) const;

  /// Returns the view of `target`, or null if the handle is out of date.
  const TargetView* View(TargetHandle target) const;

  /// Returns the estimate for `target`, or nothing if the handle is old.
  std::optional<LoadEstimate> Estimate(TargetHandle target,
                                       TimePoint now) const;

  /// Returns the newest report of `target`, empty before the first, or
  /// nothing if the handle is old.
  std::optional<TargetLoadReport> LastReport(TargetHandle target) const;

  FleetLoad Fleet(TimePoint now) const;

  /// Returns the number of serving targets that are suspect.
  std::uint32_t suspects() const;

 private:
  /// Part of a request that an engine is asked to do.
  enum class Part { kWhole, kPrefill, kDecode };

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

  /// Cost of one candidate, with what led to it.
  struct Candidate {
    std::uint32_t index = UINT32_MAX;
    double cost = 0;  ///< Seconds; infinite if there is no candidate.
    double first_token_s = 0;
    double finish_s = 0;
    std::uint64_t cached_tokens = 0;
  };

  /// Names of models and adapters, numbered for comparison by bit.
  class Names {
   public:
    /// Returns the bit of `name`, numbering it if there is room; else 0.
    std::uint64_t BitsOf(const std::string& name);
    std::uint64_t Find(std::string_view name) const;
    bool full() const { return names_.size() >= kMaxNames; }
    void Clear() { names_.clear(); }

   private:
    std::vector<std::string> names_;
  };
  /// Bits in a mask, and so the most names that are told apart. A target's
  /// further names are never matched, which refuses instead of misrouting.
  static constexpr std::size_t kMaxNames = 64;

  /// What a query asks for, as bits.
  struct Wanted {
    std::uint64_t model = 0;
    std::uint64_t adapter = 0;
  };

  TargetState* Get(TargetHandle target);
  const TargetState* Get(TargetHandle target) const;
  TargetHandle HandleOf(std::uint32_t index) const;
  std::optional<std::uint32_t> PlaceFor(const std::string& instance);
  void NumberNames(TargetState* state);
  void RenumberNames();
  void SetServing(std::uint32_t index, bool serving);
  void ForgetAttempts(std::uint32_t index);
  void CalibrateFinish(const InFlightAttempt& attempt, TimePoint now);

  std::optional<Wanted> Resolve(const RouteQuery& query) const;
  void CollectCandidates(const RouteQuery& query, const Wanted& wanted);
  void ScanFrom(std::uint32_t start, std::uint32_t limit,
                const RouteQuery& query, const Wanted& wanted);
  std::optional<std::uint32_t> DueProbe(TimePoint now) const;
  Candidate Score(std::uint32_t index, const RouteQuery& query, Part part,
                  TimePoint now) const;
  Candidate ChooseBest(const RouteQuery& query, Part part, TimePoint now);
  RouteLeg LegOf(const Candidate& candidate, const RouteQuery& query,
                 Part part) const;
  RouteDecision WholeDecision(const Candidate& whole, const RouteQuery& query,
                              bool probe) const;
  std::optional<RouteDecision> ChooseSplit(const RouteQuery& query,
                                           const Candidate& whole,
                                           TimePoint now);

  RouterOptions options_;
  RandomSource random_;
  OutlierDetector outliers_;
  InFlightTable attempts_;
  Names models_;
  Names adapters_;
  std::vector<TargetState> targets_;
  std::vector<std::uint32_t> serving_;  ///< Indices, in no order.
  // Scratch of one decision, kept so that deciding allocates nothing.
  std::vector<std::uint32_t> suitable_;
  std::vector<Candidate> scored_;
  bool any_excluded_ = false;
  /// Average of the time that attempts took over the time expected.
  double finish_ratio_ = 1;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROUTING_ROUTER_H_
