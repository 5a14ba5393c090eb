#ifndef INDIGOLEAD_CORE_PLACEMENT_READ_TIME_MODEL_H_
#define INDIGOLEAD_CORE_PLACEMENT_READ_TIME_MODEL_H_

#include <cstddef>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// Learns how long an engine takes to read a prompt: a fixed part, and a part
/// for each token that it does not have cached.
///
/// What is seen is the time of whole calls, with whatever else the engine had
/// to read before; so the model follows the fastest sixteenth of the calls,
/// taken for those that found it idle, and a few slow engines or lost answers
/// move nothing. Holds a bounded number of samples; not thread-safe.
class ReadTimeModel {
 public:
  struct Options {
    /// Samples kept, the newest ones. At some reads a second they follow an
    /// engine that slows down within seconds.
    std::size_t window = 256;
    /// Fewer say nothing of a small part of them.
    std::size_t min_samples = 32;
    std::size_t refit_every = 8;
    /// Assumed before that: engines of this generation read 50 to 600 tokens
    /// in a millisecond, and start a prompt in some 10 to 100 ms.
    double assumed_tokens_per_s = 50000;
    /// Part of the fixed time in which an engine can read nothing else; in the
    /// rest it has begun with the next prompt. Busy readers of three workloads
    /// took 9.4, 11 and 100 ms a prompt, of which 9.0, 8.2 and 69 were for its
    /// tokens, and 9 and 93 ms stood for the fixed part of an idle one.
    double fixed_occupancy = 0.33;
  };

  explicit ReadTimeModel(Options options);

  /// A call read `tokens` that were not cached, and took `took`. Calls that are
  /// known to have waited for others should be left out.
  void OnRead(double tokens, Duration took);

  /// Returns the time to read `tokens` at an idle engine.
  Duration Predict(double tokens) const;

  /// Returns the time for which `reads` prompts, of `tokens` together, keep an
  /// engine from reading others.
  Duration Occupied(double reads, double tokens) const;
  /// Returns true once the figures come from what was seen.
  bool learned() const { return samples_.size() >= options_.min_samples; }

 private:
  struct Sample {
    double tokens = 0;
    double seconds = 0;
  };

  void Refit();

  Options options_;
  std::vector<Sample> samples_;  ///< A ring of `window`.
  std::size_t next_ = 0;
  std::size_t since_fit_ = 0;
  double fixed_s_ = 0;
  double s_per_token_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_READ_TIME_MODEL_H_
