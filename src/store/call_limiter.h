#ifndef INDIGOLEAD_STORE_CALL_LIMITER_H_
#define INDIGOLEAD_STORE_CALL_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/base/time.h"
#include "store/object_store.h"

namespace indigolead {

/// Names one call that waits for its turn.
using CallTicket = std::uint64_t;

/// Decides which call may be made now, at a bounded rate.
///
/// The store counts every call of the whole fleet, so each process keeps to
/// its share of the rate with a token bucket. When calls queue up, the lease
/// goes first: a lease that lapses because audit records stood before it would
/// cost the controller. For the same reason some tokens of the bucket are
/// given to lease calls only, and a full queue pushes out its least important
/// call. Pure: time comes as an argument.
class CallLimiter {
 public:
  struct Options {
    double calls_per_second = 50;
    double burst = 100;        ///< Tokens held at most; the start amount.
    double lease_reserve = 5;  ///< Tokens that only lease calls may take.
    std::size_t max_queued = 1024;
  };

  CallLimiter(Options options, TimePoint now);

  /// Queues a call until `deadline`. Returns the ticket that the full queue
  /// pushed out, which may be `ticket` itself; nothing if there was room.
  std::optional<CallTicket> Enqueue(CallTicket ticket, CallPriority priority,
                                    TimePoint deadline);

  /// Takes a token for the first call in order of priority and arrival. With
  /// `lease_only`, other calls keep waiting.
  std::optional<CallTicket> Grant(TimePoint now, bool lease_only);

  /// Removes and returns the calls whose deadline has passed.
  std::vector<CallTicket> Expire(TimePoint now);

  /// Returns when the first queued call could be granted, or expires if that
  /// is earlier; nothing if none is queued. With `expiry_only`, no call can be
  /// granted for another reason, and only the expiry counts.
  std::optional<TimePoint> NextEvent(TimePoint now, bool expiry_only) const;

  /// Returns true if a lease call is queued.
  bool lease_waiting() const {
    return !queue_.empty() &&
           queue_.begin()->first.priority == CallPriority::kLease;
  }

  std::size_t queued() const { return queue_.size(); }

 private:
  struct Place {
    CallPriority priority;
    std::uint64_t order;

    friend auto operator<=>(const Place&, const Place&) = default;
  };
  struct Waiting {
    CallTicket ticket;
    TimePoint deadline;
  };

  double TokensAt(TimePoint now) const;
  double TokensNeeded(CallPriority priority) const;

  Options options_;
  double tokens_;
  TimePoint counted_at_;
  std::uint64_t next_order_ = 0;
  std::map<Place, Waiting> queue_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_CALL_LIMITER_H_
