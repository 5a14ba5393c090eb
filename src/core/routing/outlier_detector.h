#ifndef INDIGOLEAD_CORE_ROUTING_OUTLIER_DETECTOR_H_
#define INDIGOLEAD_CORE_ROUTING_OUTLIER_DETECTOR_H_

#include <cstdint>

#include "core/base/time.h"

namespace indigolead {

/// Observed speed and failures of one target.
struct OutlierState {
  double log_ratio = 0;  ///< Mean of log(observed time / expected time).
  std::uint32_t samples = 0;
  std::uint32_t consecutive_failures = 0;
  bool suspect = false;
  TimePoint probe_at{};        ///< When a suspect target may be probed next.
  Duration probe_interval{0};  ///< Doubles with each probe.

  friend bool operator==(const OutlierState&, const OutlierState&) = default;
};

/// Detects targets that fail or are much slower than their peers.
///
/// A target that accepts work without finishing it reports a short queue and so
/// attracts more, and callers see timeouts. Its own reports cannot show this,
/// but the times observed here can. Each time is compared with the time
/// expected at the target's load, and that ratio with the average ratio of all
/// targets, so that a load peak that slows down every target makes none of them
/// suspect.
class OutlierDetector {
 public:
  struct Options {
    double slow_ratio = 3.0;     ///< Slowdown that makes a target suspect.
    double healthy_ratio = 1.5;  ///< Slowdown up to which it is cleared.
    std::uint32_t min_samples = 8;
    std::uint32_t failures_to_suspect = 3;
    Duration probe_interval = std::chrono::seconds(1);
    Duration max_probe_interval = std::chrono::seconds(30);
    double smoothing = 0.2;  ///< Weight of the newest sample.
  };

  explicit OutlierDetector(const Options& options) : options_(options) {}

  /// Records the observed and the expected time to the first token.
  void OnObserved(OutlierState* state, Duration observed, Duration expected,
                  TimePoint now);

  /// Records a failure caused by the target.
  void OnFailure(OutlierState* state, TimePoint now);

  /// Records that a probe was sent. The next one is due after the interval even
  /// if this one gets no response; the router also waits until it has no
  /// request at the target.
  void OnProbe(OutlierState* state, TimePoint now) const;

  /// Returns the target's slowdown relative to its peers, at least 1.
  double Slowness(const OutlierState& state) const;

 private:
  void MakeSuspect(OutlierState* state, TimePoint now) const;

  Options options_;
  double fleet_log_ratio_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROUTING_OUTLIER_DETECTOR_H_
