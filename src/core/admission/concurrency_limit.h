#ifndef INDIGOLEAD_CORE_ADMISSION_CONCURRENCY_LIMIT_H_
#define INDIGOLEAD_CORE_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "core/base/time.h"

namespace indigolead {

/// Limits the requests in flight and adapts the limit to the capacity of the
/// targets.
///
/// Additive increase while the limit is reached and requests end without
/// overload; multiplicative decrease on overload, at most once per interval.
/// All requests in flight observe the same overload, and decreasing the limit
/// for each would collapse it after a single short overload.
class ConcurrencyLimit {
 public:
  struct Options {
    double initial = 64;
    double minimum = 4;
    double maximum = 8192;
    double decrease = 0.8;
    Duration decrease_interval = std::chrono::seconds(1);
  };

  explicit ConcurrencyLimit(const Options& options)
      : options_(options), limit_(options.initial) {}

  bool HasRoom() const {
    return static_cast<double>(in_flight_) < limit_ - 0.5;
  }
  void OnStarted() { ++in_flight_; }

  /// Records the end of a request. `overloaded` is true if its end indicates
  /// overload of a target.
  void OnEnded(bool overloaded, TimePoint now);

  double limit() const { return limit_; }
  std::uint32_t in_flight() const { return in_flight_; }

 private:
  Options options_;
  double limit_;
  std::uint32_t in_flight_ = 0;
  bool decreased_before_ = false;
  TimePoint decreased_at_{};
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_CONCURRENCY_LIMIT_H_
