#ifndef INDIGOLEAD_STORE_CALL_LIMITER_H_
#define INDIGOLEAD_STORE_CALL_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/base/time.h"
#include "store/object_store.h"

namespace indigolead {

/// Identifies a queued call.
using CallTicket = std::uint64_t;

/// Rate limiter with a priority queue for calls to the store.
///
/// The store limits the call rate of the whole fleet, so each process keeps to
/// its share with a token bucket. Lease calls are granted first, and some
/// tokens of the bucket are reserved for them: a lease that expires behind
/// queued audit records would cost the controller its role. A full queue evicts
/// its least important call. Does no I/O and reads no clock; the time is an
/// argument.
class CallLimiter {
 public:
  struct Options {
    double calls_per_second = 50;
    double burst = 100;        ///< Capacity and initial fill of the bucket.
    double lease_reserve = 5;  ///< Tokens reserved for lease calls.
    std::size_t max_queued = 1024;
  };

  CallLimiter(Options options, TimePoint now);

  /// Queues a call until `deadline`. Returns the ticket evicted from a full
  /// queue, which may be `ticket` itself, or nothing if there was room.
  std::optional<CallTicket> Enqueue(CallTicket ticket, CallPriority priority,
                                    TimePoint deadline);

  /// Takes a token for the first call by priority, then arrival, and returns
  /// its ticket. With `lease_only`, other calls keep waiting.
  std::optional<CallTicket> Grant(TimePoint now, bool lease_only);

  /// Removes and returns the calls whose deadline has passed.
  std::vector<CallTicket> Expire(TimePoint now);

  /// Returns the earlier of the time at which the first queued call can be
  /// granted and the earliest deadline, or nothing if the queue is empty. With
  /// `expiry_only`, only the deadlines count, because no connection is free for
  /// another call.
  std::optional<TimePoint> NextEvent(TimePoint now, bool expiry_only) const;

  /// Returns true if a lease call is queued.
  bool lease_waiting() const {
    return !queue_.empty() &&
           queue_.begin()->first.priority == CallPriority::kLease;
  }

  std::size_t queued() const { return queue_.size(); }

 private:
  struct QueueKey {
    CallPriority priority;
    std::uint64_t order;

    friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
  };
  struct QueuedCall {
    CallTicket ticket;
    TimePoint deadline;
  };

  double TokensAt(TimePoint now) const;
  double TokensNeeded(CallPriority priority) const;

  Options options_;
  double tokens_;
  TimePoint refilled_at_;
  std::uint64_t next_order_ = 0;
  std::map<QueueKey, QueuedCall> queue_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_CALL_LIMITER_H_
