#ifndef INDIGOLEAD_CORE_ROUTING_TARGET_LOAD_H_
#define INDIGOLEAD_CORE_ROUTING_TARGET_LOAD_H_

#include <cstdint>

#include "core/base/time.h"
#include "core/routing/in_flight_table.h"

namespace indigolead {

/// Load of a target as it reports it.
struct TargetLoadReport {
  /// Time of the measurement on the local clock: the arrival of the report
  /// minus its stated age.
  TimePoint measured_at{};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t queued_prefill_tokens = 0;
  std::uint64_t kv_used_bytes = 0;
  std::uint64_t kv_capacity_bytes = 0;     ///< 0 if unknown.
  std::uint32_t slots = 0;                 ///< 0 if unknown.
  std::uint64_t prefill_tokens_per_s = 0;  ///< 0 if unknown.
  std::uint64_t decode_tokens_per_s = 0;   ///< At full batch; 0 if unknown.

  friend bool operator==(const TargetLoadReport&,
                         const TargetLoadReport&) = default;
};

/// Values assumed for a target that does not report them.
struct TargetDefaults {
  std::uint32_t slots = 32;
  std::uint64_t prefill_tokens_per_s = 8000;
  std::uint64_t decode_tokens_per_s = 1500;
};

/// Estimated current load of a target.
struct LoadEstimate {
  double queued_prefill_tokens = 0;
  double requests = 0;  ///< Running and waiting.
  double kv_used_bytes = 0;
  double kv_capacity_bytes = 0;  ///< 0 if unknown.
  double slots = 1;
  double prefill_tokens_per_s = 1;
  double decode_tokens_per_s = 1;

  friend bool operator==(const LoadEstimate&, const LoadEstimate&) = default;
};

/// Estimates one target's load from delayed reports and the attempts sent to
/// it.
///
/// A report describes the past. Routing by reports alone sends all requests
/// within the reporting delay to the same seemingly idle target, so that queues
/// oscillate between targets. The estimate is therefore the report, plus the
/// work sent after its measurement, minus the work ended since, minus the
/// prefill that the target has processed in the meantime, and at least the work
/// sent from here that is unfinished.
class TargetLoad {
 public:
  explicit TargetLoad(const TargetDefaults& defaults) : defaults_(defaults) {}

  /// Replaces the report unless `report` is older, and determines again which
  /// attempts of `target` it counts. Erases attempts that ended before its
  /// measurement from `attempts`.
  void OnReport(const TargetLoadReport& report, std::uint32_t target,
                TimePoint now, InFlightTable* attempts);

  void OnSent(const InFlightAttempt& attempt);
  void OnFirstToken(const InFlightAttempt& attempt);
  /// Records the end. `attempt` must not be marked as ended yet.
  void OnEnded(const InFlightAttempt& attempt);

  LoadEstimate Estimate(TimePoint now) const;

  /// Returns the load by the last report, without correction.
  LoadEstimate ReportedLoad() const;

  /// Returns the number of attempts sent from here that have not ended.
  std::uint32_t own_requests() const { return own_requests_; }
  bool has_report() const { return has_report_; }
  const TargetLoadReport& report() const { return report_; }

 private:
  /// Work summed over attempts.
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
