#ifndef INDIGOLEAD_CORE_ROUTING_TARGET_LOAD_H_
#define INDIGOLEAD_CORE_ROUTING_TARGET_LOAD_H_

#include <cstdint>

#include "core/base/time.h"
#include "core/routing/in_flight_table.h"

namespace indigolead {

/// A target's own figures at one moment.
struct TargetLoadReport {
  TimePoint measured_at{};  ///< On this machine's clock: arrival minus age.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t queued_prefill_tokens = 0;
  std::uint64_t kv_used_bytes = 0;
  std::uint64_t kv_capacity_bytes = 0;     ///< 0 if not known.
  std::uint32_t slots = 0;                 ///< 0 if not known.
  std::uint64_t prefill_tokens_per_s = 0;  ///< 0 if not known.
  std::uint64_t decode_tokens_per_s = 0;   ///< At full batch; 0: not known.

  friend bool operator==(const TargetLoadReport&,
                         const TargetLoadReport&) = default;
};

/// Figures assumed of a target that does not report them.
struct TargetDefaults {
  std::uint32_t slots = 32;
  std::uint64_t prefill_tokens_per_s = 8000;
  std::uint64_t decode_tokens_per_s = 1500;
};

/// What a target's load is believed to be now.
struct LoadEstimate {
  double queued_prefill_tokens = 0;
  double requests = 0;  ///< Running and waiting.
  double kv_used_bytes = 0;
  double kv_capacity_bytes = 0;  ///< 0 if not known.
  double slots = 1;
  double prefill_tokens_per_s = 1;
  double decode_tokens_per_s = 1;

  friend bool operator==(const LoadEstimate&, const LoadEstimate&) = default;
};

/// Estimates one target's load from lagging reports and own sends.
///
/// A report describes a moment in the past. Routing on it alone sends every
/// request of the lag to the same seemingly idle target: the caller sees queues
/// that slosh from target to target. So the estimate is the report, plus what
/// was sent after it was measured, minus what ended since, minus the prefill
/// that the target has worked off in the meantime; and never less than what is
/// known to be unfinished there.
class TargetLoad {
 public:
  explicit TargetLoad(const TargetDefaults& defaults) : defaults_(defaults) {}

  /// Takes `report` as the new base, unless it is older than the one held, and
  /// counts anew which attempts of `target` it contains. Attempts whose end it
  /// contains are erased from `attempts`.
  void OnReport(const TargetLoadReport& report, std::uint32_t target,
                TimePoint now, InFlightTable* attempts);

  void OnSent(const InFlightAttempt& attempt);
  void OnFirstToken(const InFlightAttempt& attempt);
  /// `attempt` must not be marked as ended yet.
  void OnEnded(const InFlightAttempt& attempt);

  LoadEstimate Estimate(TimePoint now) const;

  /// Returns the last report without any correction.
  LoadEstimate Reported() const;

  /// Returns the number of own attempts that have not ended.
  std::uint32_t own_requests() const { return own_requests_; }
  bool has_report() const { return has_report_; }
  const TargetLoadReport& report() const { return report_; }

 private:
  /// Sums over attempts.
  struct Sum {
    double requests = 0;
    double prefill_tokens = 0;
    double kv_bytes = 0;

    void Add(const AttemptWork& work, double sign);
  };

  bool IsInReport(const InFlightAttempt& attempt) const;

  TargetDefaults defaults_;
  TargetLoadReport report_;
  bool has_report_ = false;
  Sum sent_since_;
  Sum ended_since_;
  std::uint32_t own_requests_ = 0;
  double own_pending_prefill_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ROUTING_TARGET_LOAD_H_
