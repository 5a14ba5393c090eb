#include "core/membership/link_monitor.h"

#include <algorithm>

namespace indigolead {

void LinkMonitor::OnWorkSent(TimePoint now) {
  // The last heartbeat of an idle peer may be older than the timeout of a busy
  // link, so the peer gets the whole timeout to answer the first work message.
  if (IsIdle(now)) {
    last_received_ = now;
  }
  last_sent_ = last_work_ = now;
}

void LinkMonitor::OnWorkReceived(TimePoint now) {
  last_received_ = last_work_ = now;
}

void LinkMonitor::OnProcessPaused(TimePoint now) {
  const TimePoint grace =
      now - timing_.silence_timeout + timing_.heartbeat_interval;
  last_received_ = std::max(last_received_, grace);
}

LinkAction LinkMonitor::Poll(TimePoint now) const {
  const int factor = IsIdle(now) ? timing_.idle_factor : 1;
  if (now - last_received_ >= timing_.silence_timeout * factor) {
    return LinkAction::kCloseSilent;
  }
  const Duration interval = timing_.heartbeat_interval * factor;
  const Duration longest =
      timing_.heartbeat_interval * std::max(factor, kBusyHeartbeatIntervals);
  if (now - last_sent_ >= interval || now - last_heartbeat_ >= longest) {
    return LinkAction::kSendHeartbeat;
  }
  return LinkAction::kNone;
}

bool PauseDetector::Observe(TimePoint now) {
  const bool paused = previous_.has_value() && now - *previous_ > longest_gap_;
  previous_ = now;
  return paused;
}

Duration ReconnectBackoff::Next() {
  const Duration whole = next_;
  next_ = std::min(max_, next_ * 2);
  std::uniform_int_distribution<Duration::rep> spread(whole.count() / 2,
                                                      whole.count());
  return Duration(spread(random_));
}

DialAction DialMonitor::Poll(TimePoint now) const {
  if (phase_ == Phase::kUp || now < due_) {
    return DialAction::kNone;
  }
  return phase_ == Phase::kWaiting ? DialAction::kOpen : DialAction::kGiveUp;
}

void DialMonitor::OnOpened(TimePoint now) {
  phase_ = Phase::kOpening;
  due_ = now + timing_.dial_timeout;
}

void DialMonitor::OnUp(TimePoint now) {
  phase_ = Phase::kUp;
  up_since_ = now;
}

void DialMonitor::OnLost(TimePoint now) {
  // Only a connection that lasted shows that the peer is healthy. A reset on
  // every hello would let a peer that accepts and drops be dialed without
  // backoff.
  if (phase_ == Phase::kUp && now - up_since_ >= timing_.silence_timeout) {
    backoff_.Reset();
  }
  phase_ = Phase::kWaiting;
  due_ = now + backoff_.Next();
}

void DialMonitor::OnRefused(TimePoint now) {
  backoff_.SetToMaximum();
  phase_ = Phase::kWaiting;
  due_ = now + backoff_.Next();
}

}  // namespace indigolead
