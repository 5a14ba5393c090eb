#include "core/placement/role_load_meter.h"

#include <cmath>

namespace indigolead {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void RoleLoadMeter::Decay(TimePoint now) {
  if (!measuring_since_) {
    measuring_since_ = now;
    decayed_at_ = now;
    return;
  }
  const double keep =
      std::exp(-Seconds(now - decayed_at_) / Seconds(options_.window));
  decayed_at_ = now;
  prefills_ *= keep;
  prefill_tokens_ *= keep;
  work_.slot_s *= keep;
  work_.memory_token_s *= keep;
  work_.transferred_tokens *= keep;
}

void RoleLoadMeter::OnPrefillDone(double tokens, TimePoint now) {
  Decay(now);
  prefills_ += 1;
  prefill_tokens_ += tokens;
}

void RoleLoadMeter::OnAnswered(Duration streamed, double tokens,
                               TimePoint now) {
  Decay(now);
  const double seconds = Seconds(streamed + idle_wait_.value());
  work_.slot_s += seconds;
  work_.memory_token_s += seconds * tokens;
  work_.transferred_tokens += tokens;
  ++answers_;
}

std::optional<RoleLoad> RoleLoadMeter::Load(
    const EngineLimits& limits, const PrefillTimeModel& prefill_time,
    TimePoint now) const {
  if (!measuring_since_ || now - *measuring_since_ < options_.min_observed ||
      answers_ < options_.min_answers || !prefill_time.calibrated()) {
    return std::nullopt;
  }
  const RoleLoad load{
      Seconds(prefill_time.PredictOccupancy(prefills_, prefill_tokens_)),
      EngineSeconds(work_, limits)};
  return load.prefill_load + load.decode_load > 0 ? std::optional(load)
                                                  : std::nullopt;
}

}  // namespace indigolead
