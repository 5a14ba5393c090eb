#include "core/placement/role_load_meter.h"

#include <cmath>

namespace indigolead {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void RoleLoadMeter::Decay(TimePoint now) {
  if (!since_) {
    since_ = now;
    decayed_at_ = now;
    return;
  }
  const double keep =
      std::exp(-Seconds(now - decayed_at_) / Seconds(options_.window));
  decayed_at_ = now;
  reads_ *= keep;
  read_tokens_ *= keep;
  work_.place_s *= keep;
  work_.memory_token_s *= keep;
  work_.moved_tokens *= keep;
}

void RoleLoadMeter::OnRead(double tokens, TimePoint now) {
  Decay(now);
  reads_ += 1;
  read_tokens_ += tokens;
}

void RoleLoadMeter::OnAnswered(Duration streamed, double tokens,
                               TimePoint now) {
  Decay(now);
  const double seconds = Seconds(streamed + idle_wait_.value());
  work_.place_s += seconds;
  work_.memory_token_s += seconds * tokens;
  work_.moved_tokens += tokens;
  ++answers_;
}

std::optional<RoleLoad> RoleLoadMeter::Load(const EngineLimits& limits,
                                            const ReadTimeModel& read_time,
                                            TimePoint now) const {
  if (!since_ || now - *since_ < options_.min_observed ||
      answers_ < options_.min_answers || !read_time.learned()) {
    return std::nullopt;
  }
  const RoleLoad load{Seconds(read_time.Occupied(reads_, read_tokens_)),
                      EngineSeconds(work_, limits)};
  return load.reading + load.answering > 0 ? std::optional(load) : std::nullopt;
}

}  // namespace indigolead
