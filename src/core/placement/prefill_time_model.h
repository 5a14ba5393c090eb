#ifndef INDIGOLEAD_CORE_PLACEMENT_PREFILL_TIME_MODEL_H_
#define INDIGOLEAD_CORE_PLACEMENT_PREFILL_TIME_MODEL_H_

#include <cstddef>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// Estimates the prefill time of a prompt as a fixed part plus a part for each
/// weighted token; cached tokens have a lower weight.
///
/// The samples are times of whole calls, including the wait for other prompts
/// at the engine. The model therefore follows the fastest sixteenth of the
/// calls, which are assumed to have found the engine idle, so that a few slow
/// engines or lost answers do not affect it. Holds a bounded number of samples;
/// not thread-safe.
class PrefillTimeModel {
 public:
  struct Options {
    /// Number of newest samples kept. At several prefills a second the model
    /// adapts within seconds to an engine that slows down.
    std::size_t window = 256;
    /// With fewer samples their fastest sixteenth is not significant.
    std::size_t min_samples = 32;
    std::size_t refit_every = 8;
    /// Assumed until there are enough samples. Engines of this generation
    /// prefill 50 to 600 tokens per millisecond, with a fixed part of about 10
    /// to 100 ms.
    double assumed_tokens_per_s = 50000;
    /// Share of the fixed part in which an engine cannot prefill other prompts;
    /// for the rest it has begun the next one. Busy engines in three workloads
    /// took 9.4, 11 and 100 ms per prompt, of which its tokens accounted for
    /// 9.0, 8.2 and 69 ms; on idle engines the fixed part was 9 and 93 ms.
    double fixed_occupancy = 0.33;
  };

  explicit PrefillTimeModel(Options options);

  /// Adds a sample: the prefill of `tokens` weighted tokens took `took`. Calls
  /// known to have waited for other prompts should be left out.
  void OnPrefillDone(double tokens, Duration took);

  /// Returns the predicted time to prefill `tokens` on an idle engine.
  Duration Predict(double tokens) const;

  /// Returns the predicted time for which `prompt_count` prompts with `tokens`
  /// in total occupy an engine.
  Duration PredictOccupancy(double prompt_count, double tokens) const;
  /// Returns true once predictions are based on samples.
  bool calibrated() const { return samples_.size() >= options_.min_samples; }

 private:
  struct Sample {
    double tokens = 0;
    double seconds = 0;
  };

  void Refit();

  Options options_;
  std::vector<Sample> samples_;  ///< Ring buffer.
  std::size_t next_ = 0;
  std::size_t samples_since_fit_ = 0;
  double fixed_s_ = 0;
  double s_per_token_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_PREFILL_TIME_MODEL_H_
