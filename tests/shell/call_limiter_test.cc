#include "store/call_limiter.h"

#include <catch2/catch.hpp>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr TimePoint kNever{seconds(100000)};

TEST_CASE("CallLimiter limits the call rate") {
  CallLimiter limiter({.calls_per_second = 10, .burst = 4, .lease_reserve = 0},
                      kStart);
  for (CallTicket ticket = 1; ticket <= 6; ++ticket) {
    limiter.Enqueue(ticket, CallPriority::kOrder, kNever);
  }
  for (CallTicket ticket = 1; ticket <= 4; ++ticket) {
    CHECK(limiter.Grant(kStart, false) == ticket);
  }

  SECTION("a call after the burst waits for a token") {
    CHECK(limiter.Grant(kStart, false) == std::nullopt);
    CHECK(limiter.NextEvent(kStart, false) == kStart + milliseconds(100));
    CHECK(limiter.Grant(kStart + milliseconds(99), false) == std::nullopt);
    CHECK(limiter.Grant(kStart + milliseconds(100), false) == 5);
  }

  SECTION("idle time does not accumulate more than one burst") {
    const TimePoint later = kStart + seconds(1000);
    for (CallTicket ticket = 7; ticket <= 20; ++ticket) {
      limiter.Enqueue(ticket, CallPriority::kOrder, kNever);
    }
    int granted = 0;
    while (limiter.Grant(later, false)) {
      ++granted;
    }
    CHECK(granted == 4);
  }

  SECTION("a clock that goes back grants no token") {
    CHECK(limiter.Grant(kStart - seconds(5), false) == std::nullopt);
  }
}

TEST_CASE("CallLimiter prioritizes lease calls") {
  CallLimiter limiter(
      {.calls_per_second = 1, .burst = 4, .lease_reserve = 2, .max_queued = 4},
      kStart);

  SECTION("calls are granted by priority, then by arrival") {
    limiter.Enqueue(1, CallPriority::kAudit, kNever);
    limiter.Enqueue(2, CallPriority::kOrder, kNever);
    limiter.Enqueue(3, CallPriority::kLease, kNever);
    limiter.Enqueue(4, CallPriority::kOrder, kNever);
    CHECK(limiter.Grant(kStart, false) == 3);
    CHECK(limiter.Grant(kStart, false) == 2);
  }

  SECTION("other calls do not use the lease reserve") {
    for (CallTicket ticket = 1; ticket <= 3; ++ticket) {
      limiter.Enqueue(ticket, CallPriority::kAudit, kNever);
    }
    CHECK(limiter.Grant(kStart, false) == 1);
    CHECK(limiter.Grant(kStart, false) == 2);
    CHECK(limiter.Grant(kStart, false) == std::nullopt);
    limiter.Enqueue(4, CallPriority::kLease, kNever);
    CHECK(limiter.Grant(kStart, false) == 4);
  }

  SECTION("a full queue evicts the call with the lowest priority") {
    for (CallTicket ticket = 1; ticket <= 4; ++ticket) {
      CHECK(limiter.Enqueue(ticket, CallPriority::kStatus, kNever) ==
            std::nullopt);
    }
    CHECK(limiter.Enqueue(5, CallPriority::kAudit, kNever) == 5);
    CHECK(limiter.Enqueue(6, CallPriority::kLease, kNever) == 4);
    CHECK(limiter.queued() == 4);
  }

  SECTION("lease_only grants lease calls only") {
    limiter.Enqueue(1, CallPriority::kOrder, kNever);
    CHECK(limiter.Grant(kStart, true) == std::nullopt);
    limiter.Enqueue(2, CallPriority::kLease, kNever);
    CHECK(limiter.Grant(kStart, true) == 2);
  }
}

TEST_CASE("CallLimiter expires calls at their deadline") {
  CallLimiter limiter({.calls_per_second = 1, .burst = 1, .lease_reserve = 0},
                      kStart);
  limiter.Enqueue(1, CallPriority::kOrder, kNever);
  limiter.Enqueue(2, CallPriority::kStatus, kStart + milliseconds(300));
  CHECK(limiter.Grant(kStart, false) == 1);
  CHECK(limiter.NextEvent(kStart, false) == kStart + milliseconds(300));
  CHECK(limiter.Expire(kStart + milliseconds(299)).empty());
  CHECK(limiter.Expire(kStart + milliseconds(300)) ==
        std::vector<CallTicket>{2});
  CHECK(limiter.NextEvent(kStart, false) == std::nullopt);
}

}  // namespace
}  // namespace indigolead
