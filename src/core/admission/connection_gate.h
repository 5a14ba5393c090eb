#ifndef INDIGOLEAD_CORE_ADMISSION_CONNECTION_GATE_H_
#define INDIGOLEAD_CORE_ADMISSION_CONNECTION_GATE_H_

#include <cstddef>
#include <optional>

#include "core/base/time.h"

namespace indigolead {

/// Limits the new connections of an entry that cannot keep up with its work.
///
/// The balancer may direct most new connections to one entry. One that accepts
/// them all reads more requests than it has processor time for, and all of them
/// are late. A connection that is refused before its request is read costs
/// almost nothing, and its caller can connect to another entry at once.
///
/// Overload is measured by how late the event loop runs its timers. The limit
/// falls while the loop is late, rises while it is not, and ends once fewer
/// connections come than it allows. A single late run, as after a process
/// stall, does not start a limit.
///
/// Performs no I/O. Not thread-safe.
class ConnectionGate {
 public:
  struct Options {
    /// Lateness of the event loop above which it is overloaded. Longer than the
    /// pauses of a process whose processor share is a quota of each 100 ms.
    Duration max_lag = std::chrono::milliseconds(150);
    /// Lateness below which more connections may be accepted.
    Duration calm_lag = std::chrono::milliseconds(60);
    /// Consecutive late intervals that start a limit.
    int late_intervals = 3;
    /// Factors by which the limit changes in each interval.
    double decrease = 0.7;
    double increase = 1.1;
  };

  explicit ConnectionGate(const Options& options) : options_(options) {}

  /// Ends an interval of which the event loop ran the end `lag` too late.
  /// Returns true if that started or ended a limit.
  bool OnInterval(Duration lag);
  /// Counts a connection that was accepted.
  void OnAccepted() { ++accepted_; }

  /// Returns true if one more connection may be accepted in this interval.
  bool MayAccept() const {
    return !limit_ || static_cast<double>(accepted_) < *limit_;
  }
  /// Returns the connections that may be accepted in an interval; nullopt if
  /// there is no limit.
  std::optional<double> limit() const { return limit_; }

 private:
  Options options_;
  std::optional<double> limit_;
  std::size_t accepted_ = 0;  ///< In the current interval.
  int late_in_a_row_ = 0;
  int unused_in_a_row_ = 0;  ///< Calm intervals that did not need the limit.
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_CONNECTION_GATE_H_
