#ifndef INDIGOLEAD_CORE_PLACEMENT_ROLE_LOAD_METER_H_
#define INDIGOLEAD_CORE_PLACEMENT_ROLE_LOAD_METER_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/base/time.h"
#include "core/placement/prefill_time_model.h"
#include "core/placement/recent_quantile.h"
#include "core/placement/role_load.h"

namespace indigolead {

/// Measures the load that one service's requests put on its engines, from the
/// requests that this entry process sent. Not thread-safe.
class RoleLoadMeter {
 public:
  struct Options {
    /// Time constant of the exponential decay; a measurement's weight falls to
    /// about a third in it. Loads alternate between long prompts and long
    /// answers in phases of 3 s and of 15 s, too fast for role changes that
    /// take 3 s: with a window of 15 s the role changes lagged behind each
    /// phase, and roles that never changed served a tenth more.
    Duration window = std::chrono::seconds(60);
    /// Minimum before a load is returned, to cover both phases of a slow
    /// alternation.
    std::uint64_t min_answers = 40;
    Duration min_observed = std::chrono::seconds(20);
    /// Number of first-event times kept. The faster quarter is assumed to have
    /// found a free slot. If queueing time counted as load, an overload would
    /// demand ever more engines.
    std::size_t wait_samples = 64;
    double idle_quantile = 0.25;
  };

  explicit RoleLoadMeter(Options options)
      : options_(options),
        idle_wait_(options.wait_samples, options.idle_quantile) {}

  /// Records the prefill of `tokens` weighted tokens; see
  /// `EngineAssignment::prefill_work`.
  void OnPrefillDone(double tokens, TimePoint now);
  /// Records the time from a decode request to its first event.
  void OnFirstEvent(Duration wait) { idle_wait_.Add(wait); }
  /// Records the end of an answer, `streamed` after its first event. `tokens`
  /// is the length of the prompt.
  void OnAnswered(Duration streamed, double tokens, TimePoint now);

  /// Returns the load for engines with these limits and prefill times, or
  /// nothing until there are enough measurements.
  std::optional<RoleLoad> Load(const EngineLimits& limits,
                               const PrefillTimeModel& prefill_time,
                               TimePoint now) const;

 private:
  void Decay(TimePoint now);

  Options options_;
  /// Time to the first event on an engine with a free slot.
  RecentQuantile idle_wait_;
  double prefills_ = 0;
  double prefill_tokens_ = 0;
  DecodeWork work_;
  std::uint64_t answers_ = 0;
  TimePoint decayed_at_{};
  std::optional<TimePoint> measuring_since_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_ROLE_LOAD_METER_H_
