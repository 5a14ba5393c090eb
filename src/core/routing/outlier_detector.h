#ifndef INDIGOLEAD_CORE_ROUTING_OUTLIER_DETECTOR_H_
#define INDIGOLEAD_CORE_ROUTING_OUTLIER_DETECTOR_H_

#include <cstdint>

#include "core/base/time.h"

namespace indigolead {

/// What is known of one target's speed and failures against its peers.
struct OutlierState {
  double log_ratio = 0;  ///< Average log of observed over expected time.
  std::uint32_t samples = 0;
  std::uint32_t failures_in_row = 0;
  bool suspect = false;
  TimePoint probe_at{};        ///< When a suspect target may be tried again.
  Duration probe_interval{0};  ///< Doubles with every failed probe.

  friend bool operator==(const OutlierState&, const OutlierState&) = default;
};

/// Finds targets that are much slower than their peers or that fail.
///
/// A target that accepts work and does not finish it reports a short queue and
/// so attracts more: the caller sees timeouts that move with the load. What a
/// target reports of itself cannot show that; times observed here can. Each is
/// compared with the time expected of that target at its load, and the ratio
/// with the average ratio of all targets, so that a load peak that slows
/// everyone makes nobody suspect.
class OutlierDetector {
 public:
  struct Options {
    double slow_ratio = 3.0;     ///< Times slower than the peers: suspect.
    double healthy_ratio = 1.5;  ///< A probe at most this slow clears.
    std::uint32_t min_samples = 8;
    std::uint32_t failures_to_suspect = 3;
    Duration probe_interval = std::chrono::seconds(1);
    Duration max_probe_interval = std::chrono::seconds(30);
    double smoothing = 0.2;  ///< Weight of the newest sample.
  };

  explicit OutlierDetector(const Options& options) : options_(options) {}

  /// Records the time to the first token, against the time expected.
  void OnObserved(OutlierState* state, Duration observed, Duration expected,
                  TimePoint now);

  /// Records a failure that is the target's fault.
  void OnFailure(OutlierState* state, TimePoint now);

  /// Records that a probe was sent: the next may follow after the interval,
  /// even if this one is never answered.
  void OnProbe(OutlierState* state, TimePoint now) const;

  /// Returns how many times slower than its peers a target is, at least 1.
  double Slowness(const OutlierState& state) const;

 private:
  void MakeSuspect(OutlierState* state, TimePoint now) const;

  Options options_;
  double fleet_log_ratio_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROUTING_OUTLIER_DETECTOR_H_
