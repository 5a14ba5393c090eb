#include "core/placement/role_load_meter.h"

#include <algorithm>
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

void RoleLoadMeter::OnFirstEvent(Duration wait) {
  if (waits_.size() < options_.waits) {
    waits_.push_back(wait);
    return;
  }
  waits_[next_wait_] = wait;
  next_wait_ = (next_wait_ + 1) % options_.waits;
}

Duration RoleLoadMeter::IdleWait() const {
  if (waits_.empty()) {
    return Duration{0};
  }
  // The faster quarter, taken for those that found a place at once: counted
  // with its queue, an overload would ask for ever more engines.
  std::vector<Duration> sorted = waits_;
  const auto quick =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 4);
  std::nth_element(sorted.begin(), quick, sorted.end());
  return *quick;
}

void RoleLoadMeter::OnAnswered(Duration streamed, double tokens,
                               TimePoint now) {
  Decay(now);
  const double seconds = Seconds(streamed + IdleWait());
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
