#include "core/routing/target_load.h"

#include <algorithm>

namespace indigolead {
namespace {

template <typename T>
double OrDefault(T value, T fallback) {
  return static_cast<double>(value != 0 ? value : std::max<T>(fallback, 1));
}

}  // namespace

void TargetLoad::Sum::Add(const AttemptWork& work, double sign) {
  requests += sign;
  prefill_tokens += sign * static_cast<double>(work.prefill_tokens);
  kv_bytes += sign * static_cast<double>(work.kv_bytes);
}

bool TargetLoad::IsInReport(const InFlightAttempt& attempt) const {
  return has_report_ && attempt.sent_at <= report_.measured_at;
}

void TargetLoad::OnReport(const TargetLoadReport& report, std::uint32_t target,
                          TimePoint now, InFlightTable* attempts) {
  // Reports on two connections can arrive out of order; an older one must not
  // replace a newer one. A measurement time in the future, caused by a clock
  // jump, is replaced by the current time.
  const TimePoint measured_at = std::min(report.measured_at, now);
  if (has_report_ && measured_at < report_.measured_at &&
      report_.measured_at <= now) {
    return;
  }
  report_ = report;
  report_.measured_at = measured_at;
  has_report_ = true;
  sent_since_ = Sum{};
  ended_since_ = Sum{};
  std::uint32_t slot = attempts->First(target);
  while (slot != InFlightTable::kNone) {
    const std::uint32_t next = attempts->Next(slot);
    const InFlightAttempt& attempt = attempts->At(slot);
    if (attempt.ended && attempt.ended_at <= measured_at) {
      attempts->Erase(slot);
    } else if (attempt.ended && IsInReport(attempt)) {
      ended_since_.Add(attempt.work, 1);
    } else if (!attempt.ended && !IsInReport(attempt)) {
      sent_since_.Add(attempt.work, 1);
    }
    slot = next;
  }
}

void TargetLoad::OnSent(const InFlightAttempt& attempt) {
  ++own_requests_;
  own_pending_prefill_ += static_cast<double>(attempt.work.prefill_tokens);
  if (!IsInReport(attempt)) {
    sent_since_.Add(attempt.work, 1);
  }
}

void TargetLoad::OnFirstToken(const InFlightAttempt& attempt) {
  own_pending_prefill_ -= static_cast<double>(attempt.work.prefill_tokens);
}

void TargetLoad::OnEnded(const InFlightAttempt& attempt) {
  own_requests_ -= own_requests_ > 0 ? 1 : 0;
  if (!attempt.first_token_seen) {
    own_pending_prefill_ -= static_cast<double>(attempt.work.prefill_tokens);
  }
  if (IsInReport(attempt)) {
    ended_since_.Add(attempt.work, 1);
  } else {
    sent_since_.Add(attempt.work, -1);
  }
}

LoadEstimate TargetLoad::ReportedLoad() const {
  LoadEstimate estimate;
  estimate.queued_prefill_tokens =
      static_cast<double>(report_.queued_prefill_tokens);
  estimate.requests = static_cast<double>(report_.running) +
                      static_cast<double>(report_.waiting);
  estimate.kv_used_bytes = static_cast<double>(report_.kv_used_bytes);
  estimate.kv_capacity_bytes = static_cast<double>(report_.kv_capacity_bytes);
  estimate.slots = OrDefault(report_.slots, defaults_.slots);
  estimate.prefill_tokens_per_s =
      OrDefault(report_.prefill_tokens_per_s, defaults_.prefill_tokens_per_s);
  estimate.decode_tokens_per_s =
      OrDefault(report_.decode_tokens_per_s, defaults_.decode_tokens_per_s);
  return estimate;
}

LoadEstimate TargetLoad::Estimate(TimePoint now) const {
  LoadEstimate estimate = ReportedLoad();
  const double age_s =
      has_report_
          ? std::max(0.0,
                     std::chrono::duration<double>(now - report_.measured_at)
                         .count())
          : 0.0;
  const double queued = estimate.queued_prefill_tokens +
                        sent_since_.prefill_tokens -
                        age_s * estimate.prefill_tokens_per_s;
  estimate.queued_prefill_tokens =
      std::max({queued, own_pending_prefill_, 0.0});
  estimate.requests =
      std::max(estimate.requests + sent_since_.requests - ended_since_.requests,
               static_cast<double>(own_requests_));
  estimate.kv_used_bytes =
      std::max(0.0, estimate.kv_used_bytes + sent_since_.kv_bytes -
                        ended_since_.kv_bytes);
  return estimate;
}

}  // namespace indigolead
