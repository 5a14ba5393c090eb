#ifndef INDIGOLEAD_CORE_PLACEMENT_ROLE_LOAD_METER_H_
#define INDIGOLEAD_CORE_PLACEMENT_ROLE_LOAD_METER_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/base/time.h"
#include "core/placement/read_time_model.h"
#include "core/placement/recent_quantile.h"
#include "core/placement/role_load.h"

namespace indigolead {

/// Measures what the requests of one service ask of its engines, from those
/// that this entry has sent. Not thread-safe.
class RoleLoadMeter {
 public:
  struct Options {
    /// Weight of what was seen falls to a third in this time. Loads turn
    /// between long prompts and long answers, for 3 s and for 15 s, which roles
    /// that take 3 s to change cannot follow: with a window of 15 s they were
    /// behind each turn, and a fixed plan served a tenth more.
    Duration window = std::chrono::seconds(60);
    /// Less than this is no measure: both sides of a long turn.
    std::uint64_t min_answers = 40;
    Duration min_observed = std::chrono::seconds(20);
    /// Waits for a first event kept. The faster quarter is taken for those that
    /// found a place at once: counted with its queue, an overload would ask for
    /// ever more engines.
    std::size_t waits = 64;
    double idle_quantile = 0.25;
  };

  explicit RoleLoadMeter(Options options)
      : options_(options), idle_wait_(options.waits, options.idle_quantile) {}

  /// A prompt of `tokens` that were not cached was read.
  void OnRead(double tokens, TimePoint now);
  /// An answer began `wait` after its engine had been asked for it.
  void OnFirstEvent(Duration wait) { idle_wait_.Add(wait); }
  /// An answer is over, `streamed` after its first event.
  void OnAnswered(Duration streamed, double tokens, TimePoint now);

  /// Returns the load on engines of those limits and reading times; nothing
  /// while too little was seen.
  std::optional<RoleLoad> Load(const EngineLimits& limits,
                               const ReadTimeModel& read_time,
                               TimePoint now) const;

 private:
  void Decay(TimePoint now);

  Options options_;
  /// Time to a first event at an engine that has a place free.
  RecentQuantile idle_wait_;
  double reads_ = 0;
  double read_tokens_ = 0;
  AnsweringWork work_;
  std::uint64_t answers_ = 0;
  TimePoint decayed_at_{};
  std::optional<TimePoint> since_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_ROLE_LOAD_METER_H_
