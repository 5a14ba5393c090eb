#ifndef INDIGOLEAD_CORE_PLACEMENT_ENGINE_PLACEMENT_H_
#define INDIGOLEAD_CORE_PLACEMENT_ENGINE_PLACEMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/base/ids.h"
#include "core/base/random.h"
#include "core/base/time.h"
#include "core/config/deployment.h"
#include "core/placement/backlog_digest.h"
#include "core/placement/prefill_time_model.h"
#include "core/placement/role_load.h"
#include "core/placement/role_load_meter.h"
#include "core/placement/target_knowledge.h"
#include "core/request/request_types.h"

namespace indigolead {

/// An engine that may be considered for a request, with its current state.
struct PlacementEngine {
  std::string instance;
  std::string failure_domain;
  EngineRole role = EngineRole::kMixed;
  bool tried = false;  ///< An earlier attempt of this request used it.
  /// Used only if no other engine can do the work: its recent calls broke one
  /// after another (see `FailureGuard`), or it may have left the fleet.
  bool avoided = false;
  bool leaving = false;  ///< Gets no work; its cache can still be copied.
  /// Gets no work from this entry process now, because it reached a limit that
  /// the engine declares or the engine asked for a pause. Its cache can still
  /// be copied.
  bool rate_limited = false;
  TargetKnowledge known = {};

  friend bool operator==(const PlacementEngine&,
                         const PlacementEngine&) = default;
};

/// The engines chosen for the prefill and the decode of a request.
struct EngineAssignment {
  std::string prefill;  ///< Empty if `decode` runs the prefill too.
  std::string decode;
  double prefill_work = 0;  ///< Weighted tokens to prefill.
  bool cached = false;      ///< The shared prefix is assumed to be cached.
  /// Engine from which the prefill engine may copy the shared prefix, or empty.
  std::string copy_from = {};
  /// Prompts of other entries were queued at the engine that prefills.
  bool found_queue = false;

  friend bool operator==(const EngineAssignment&,
                         const EngineAssignment&) = default;
};

/// No engine can serve the request in time, or all decode engines are full.
struct EnginesBusy {
  Duration retry_after{0};
  /// Predicted time to the first event at the best engine considered, or, if
  /// all decode engines are full, `avoid_after_refusal`, which predicts
  /// nothing.
  Duration first_event{0};

  friend bool operator==(const EnginesBusy&, const EnginesBusy&) = default;
};

/// No engine is available for the prefill or the decode, and at least one
/// suitable engine gets no work now because of its limit or a cooldown.
struct EnginesRateLimited {
  friend bool operator==(const EnginesRateLimited&,
                         const EnginesRateLimited&) = default;
};

/// No engine can run the decode.
struct NoEngine {
  friend bool operator==(const NoEngine&, const NoEngine&) = default;
};

using PlacementDecision =
    std::variant<EngineAssignment, EnginesBusy, EnginesRateLimited, NoEngine>;

/// Chooses the prefill engine and the decode engine of each request in a fleet
/// with disaggregated prefill and decode.
///
/// With long prompts and short answers prefill is the bottleneck, and most
/// prompt tokens belong to prefixes that were computed before. Each shared
/// prefix therefore has home engines, ranked by a rendezvous hash, so that all
/// entry processes agree on them without communication. A request goes to the
/// first home that can serve it in time. If none can, the request is refused at
/// once, because work queued at an engine can be neither reordered nor refused.
///
/// Not thread-safe. Memory is bounded by the options.
class EnginePlacement {
 public:
  struct Options {
    /// Weight of a cached token in a backlog, relative to one that must be
    /// computed. A cached token only costs a lookup and a copy.
    double cached_weight = 0.1;
    /// Share of a request's first-event target that the predicted time may
    /// take. The rest covers network latency and the requests that other entry
    /// processes send at the same time, which this one cannot see. A request
    /// predicted to be later is refused at once: a late answer uses as much
    /// engine time as one in time and makes others late.
    double max_target_share = 0.6;
    /// Share of the time until the deadline that is used instead if the request
    /// has no first-event target.
    double share_without_target = 0.25;
    /// Share of the time until the deadline that the predicted time may take if
    /// the request continues a stream: a late event is worth more to its caller
    /// than a refusal, since engines of other versions cannot send it.
    double max_continuation_share = 0.6;
    /// Homes of one shared prefix. Each further home duplicates its KV cache.
    std::size_t max_homes = 3;
    std::string failure_domain;  ///< Domain of this entry process.
    /// Extra streams that a decode engine may have and still be preferred: in
    /// the entry process's failure domain, because the whole request is sent to
    /// it again, and in the prefill engine's failure domain, from which a KV
    /// cache copy takes half as long.
    double own_domain_streams = 4;
    double prefill_domain_streams = 2;
    /// Bounds on the retry-after time of a refused caller. Bursts last two to
    /// three seconds and callers retry once or twice; with 0.2 s most retries
    /// hit the same burst and failed for good. In simulated days of three
    /// workloads, 1.2 s was never worse than 0.2 s.
    Duration min_retry_after = std::chrono::milliseconds(1200);
    Duration max_retry_after = std::chrono::milliseconds(2500);
    /// Time for which an engine that refused is avoided; its queue stays full
    /// for longer than the network latency to it. Doubles with each consecutive
    /// refusal up to the maximum: a role change takes three to seven seconds,
    /// in which a hundred entry processes would otherwise each ask the engine
    /// four times a second.
    Duration avoid_after_refusal = std::chrono::milliseconds(250);
    Duration max_avoid_after_refusal = std::chrono::seconds(2);
    /// Time without a first response, while calls are pending, after which an
    /// engine gets no new work. An engine that hangs or is unreachable would
    /// hold requests until their deadline. A healthy engine with a full backlog
    /// responds several times within this period.
    Duration stall_after = std::chrono::milliseconds(900);
    /// Time for which a stalled engine is avoided after a call to it ends
    /// without success. A crashed engine is back within seconds.
    Duration avoid_stalled = std::chrono::seconds(2);
    PrefillTimeModel::Options prefill_time;
    RoleLoadMeter::Options load;
    std::size_t max_known_prefixes = 4096;  ///< For each engine.
    /// Consecutive attempts that no decode engine started after the prefill,
    /// after which the prefill engine is avoided. Its cache handles, by which
    /// decode engines fetch the KV cache, probably expire, or its links fail. A
    /// single such attempt may be the decode engine's fault.
    std::uint32_t max_lost_handles = 2;
    Duration avoid_lost_handles = std::chrono::milliseconds(1500);
  };

  EnginePlacement(Options options, RandomSource random);

  /// Chooses the engines for `request`, or says why there are none.
  PlacementDecision Place(const CallerRequest& request,
                          const std::vector<PlacementEngine>& engines,
                          TimePoint now);

  /// Chooses the decode engine again after the prefill of `attempt`, because
  /// the engine chosen before may be leaving, full or changing its role by now.
  /// Returns nothing if no engine can run the decode.
  std::optional<std::string> PlaceDecode(
      const AttemptId& attempt, const std::vector<PlacementEngine>& engines,
      TimePoint now);

  /// Records that the decode engine of `attempt` refused it. The prefill
  /// remains valid; `PlaceDecode` then chooses another decode engine.
  void OnDecodeRefused(const AttemptId& attempt, TimePoint now);

  /// Records that the attempt was sent to the engines in `assignment`.
  void OnSent(const AttemptId& attempt, const CallerRequest& request,
              const EngineAssignment& assignment, TimePoint now);
  /// Records that the prefill is complete.
  void OnPrefilled(const AttemptId& attempt, TimePoint now);
  /// Records the first event of the answer.
  void OnAnswerStarted(const AttemptId& attempt, TimePoint now);
  /// Records the end of the attempt. `refused` is true if the attempt provably
  /// did not start, because the engine refused it or was unreachable.
  void OnEnded(const AttemptId& attempt, bool refused, TimePoint now);
  /// Discards the state of an engine whose process ended. Attempts sent to that
  /// process do not affect a later process with the same instance name.
  void Forget(const std::string& instance);

  /// Sets the limits that the operator states for the service's engines.
  void SetLimits(const EngineLimits& limits) { limits_ = limits; }

  /// Returns the service's load on prefill and decode engines, as measured, or
  /// as assumed until there are enough measurements.
  RoleLoad Load(TimePoint now) const;

  /// Returns the engine from which the prefill engine of `attempt` may copy the
  /// shared prefix; empty if there is none.
  std::string CopySourceOf(const AttemptId& attempt) const;

  /// Returns the weighted tokens sent from here that `instance` has yet to
  /// prefill.
  double BacklogOf(const std::string& instance) const;

  /// Returns what this entry has outstanding at `instance`.
  EngineQueue QueueOf(const std::string& instance) const;
  /// Calls `visit` with what this entry has outstanding at each engine.
  void VisitQueues(const std::function<void(const std::string& instance,
                                            const EngineQueue&)>& visit) const;
  /// Returns the predicted time for which `prompts` prompts with `work`
  /// weighted tokens in total occupy an engine.
  Duration QueueTime(double prompts, double work) const;

 private:
  struct EngineState {
    std::uint64_t epoch = 0;  ///< Unique to one run of the engine's process.
    double backlog = 0;       ///< Weighted tokens to prefill.
    std::uint32_t queued_prompts = 0;  ///< Prompts in the backlog.
    /// Time that the latest prompt waited behind those of all entry processes,
    /// and when that was observed.
    Duration wait{0};
    TimePoint wait_observed_at{};
    std::uint32_t streams = 0;
    std::uint32_t lost_handles = 0;   ///< Consecutive.
    std::uint32_t refusals = 0;       ///< Consecutive.
    std::uint32_t pending_calls = 0;  ///< Calls without a first response.
    TimePoint progress_at{};          ///< Last response, or first pending call.
    TimePoint avoid_until{};
    TimePoint full_until{};  ///< After refusing a decode for lack of room.
    /// Tokens of each cached prefix, by the hash of the prefix.
    std::unordered_map<std::uint64_t, std::uint64_t> prefixes;
  };
  struct SentAttempt {
    EngineAssignment assignment;
    std::uint64_t prefix = 0;
    std::uint64_t prefix_tokens = 0;
    std::uint64_t prefill_epoch = 0;
    std::uint64_t decode_epoch = 0;
    std::uint64_t tokens = 0;  ///< Prompt length.
    bool found_idle = false;   ///< Prefill engine idle, prefix cached.
    TimePoint sent_at{};
    TimePoint decode_requested_at{};  ///< When the decode was last requested.
    TimePoint answer_started_at{};
    bool prefill_pending = true;
    bool answer_started = false;
    /// Decode engines that refused this attempt.
    std::vector<std::string> refused_by = {};
  };

  bool IsCached(const CallerRequest& request, const std::string& instance,
                bool is_home) const;
  double WorkOf(const CallerRequest& request, bool cached) const;
  /// Returns the engine other than `prefill_engine` that most likely holds the
  /// shared prefix; empty if there is none.
  std::string CopySource(
      const CallerRequest& request, const std::vector<PlacementEngine>& engines,
      const std::vector<const PlacementEngine*>& prefill_engines,
      const std::string& prefill_engine) const;
  const PlacementEngine* PickDecode(
      const std::vector<const PlacementEngine*>& engines,
      const std::string& near_domain);
  std::vector<const PlacementEngine*> Usable(
      const std::vector<PlacementEngine>& engines, EngineRole role,
      TimePoint now) const;
  PlacementDecision PlaceUnsplit(
      const CallerRequest& request,
      const std::vector<const PlacementEngine*>& from, TimePoint now);
  EnginesBusy MakeBusy(Duration first_event, Duration limit);
  Duration TimeLimit(const CallerRequest& request, TimePoint now) const;
  Duration ContinuationLimit(const CallerRequest& request, TimePoint now) const;
  Duration WaitAt(const PlacementEngine& engine, const PrefillTimeModel& model,
                  TimePoint now) const;
  void UpdateTimeModel(const SentAttempt& sent, EngineState* prefill_engine,
                       TimePoint now);
  const EngineState* Find(const std::string& instance) const;
  EngineState& GetOrCreate(const std::string& instance);
  EngineState* FindRun(const std::string& instance, std::uint64_t epoch);
  void AddPendingCall(const std::string& instance, TimePoint now);
  void RememberPrefix(EngineState* state, const SentAttempt& sent);
  static void RemoveFromBacklog(EngineState* prefill_engine,
                                const SentAttempt& sent);
  static void RecordResponse(EngineState* state, TimePoint now);
  bool IsStalled(const EngineState& state, TimePoint now) const;
  bool AllFull(const std::vector<const PlacementEngine*>& engines,
               TimePoint now) const;
  void RecordFailedCall(EngineState* state, bool refused, TimePoint now);
  Duration RefusalBackoff(std::uint32_t refusals) const;
  void RecordHandleOutcome(const SentAttempt& sent, bool lost, TimePoint now);

  Options options_;
  RandomSource random_;
  std::map<std::string, EngineState> engines_;
  std::uint64_t last_epoch_ = 0;
  EngineLimits limits_;
  PrefillTimeModel prefill_time_;  ///< For prefill engines.
  PrefillTimeModel unsplit_time_;  ///< To the first event, without a split.
  RoleLoadMeter load_;
  double answer_wait_s_ = 0;  ///< Mean time from request to first event.
  std::unordered_map<AttemptId, SentAttempt> sent_;
};

/// Returns the hash of the prompt parts that a request is expected to share
/// with others: all but the last, or the only one.
std::uint64_t SharedPrefixHash(const std::vector<PromptPart>& parts);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_ENGINE_PLACEMENT_H_
