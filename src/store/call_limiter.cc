#include "store/call_limiter.h"

#include <algorithm>

namespace indigolead {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

CallLimiter::CallLimiter(Options options, TimePoint now)
    : options_(options), tokens_(options.burst), refilled_at_(now) {
  // A reserve as large as the bucket would block every other call.
  options_.lease_reserve =
      std::clamp(options_.lease_reserve, 0.0, options_.burst / 2);
}

std::optional<CallTicket> CallLimiter::Enqueue(CallTicket ticket,
                                               CallPriority priority,
                                               TimePoint deadline) {
  queue_.emplace(QueueKey{priority, next_order_++},
                 QueuedCall{ticket, deadline});
  if (queue_.size() <= options_.max_queued) {
    return std::nullopt;
  }
  const auto last = std::prev(queue_.end());
  const CallTicket evicted = last->second.ticket;
  queue_.erase(last);
  return evicted;
}

double CallLimiter::TokensAt(TimePoint now) const {
  const Duration passed = std::max(now - refilled_at_, Duration::zero());
  return std::min(options_.burst,
                  tokens_ + Seconds(passed) * options_.calls_per_second);
}

double CallLimiter::TokensNeeded(CallPriority priority) const {
  return priority == CallPriority::kLease ? 1 : 1 + options_.lease_reserve;
}

std::optional<CallTicket> CallLimiter::Grant(TimePoint now, bool lease_only) {
  if (queue_.empty()) {
    return std::nullopt;
  }
  const auto first = queue_.begin();
  const CallPriority priority = first->first.priority;
  const double tokens = TokensAt(now);
  if ((lease_only && priority != CallPriority::kLease) ||
      tokens < TokensNeeded(priority)) {
    return std::nullopt;
  }
  tokens_ = tokens - 1;
  refilled_at_ = std::max(now, refilled_at_);
  const CallTicket ticket = first->second.ticket;
  queue_.erase(first);
  return ticket;
}

std::vector<CallTicket> CallLimiter::Expire(TimePoint now) {
  std::vector<CallTicket> expired;
  for (auto it = queue_.begin(); it != queue_.end();) {
    if (it->second.deadline <= now) {
      expired.push_back(it->second.ticket);
      it = queue_.erase(it);
    } else {
      ++it;
    }
  }
  return expired;
}

std::optional<TimePoint> CallLimiter::NextEvent(TimePoint now,
                                                bool expiry_only) const {
  if (queue_.empty()) {
    return std::nullopt;
  }
  TimePoint next = queue_.begin()->second.deadline;
  for (const auto& [key, queued_call] : queue_) {
    next = std::min(next, queued_call.deadline);
  }
  if (!expiry_only) {
    const double missing =
        TokensNeeded(queue_.begin()->first.priority) - TokensAt(now);
    const std::chrono::duration<double> wait(std::max(0.0, missing) /
                                             options_.calls_per_second);
    // Rounds up, since a timer that fires early would find no token.
    next = std::min(next,
                    now + std::chrono::ceil<std::chrono::microseconds>(wait));
  }
  return next;
}

}  // namespace indigolead
