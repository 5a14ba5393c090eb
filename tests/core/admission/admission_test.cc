#include "core/admission/admission.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "core/base/random.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

ClientAccountSpec Account(const std::string& name, int priority = 0,
                          std::uint32_t weight = 1) {
  ClientAccountSpec spec;
  spec.name = name;
  spec.priority = priority;
  spec.weight = weight;
  return spec;
}

/// Returns the load of an idle fleet that processes 1000 tokens of work per
/// second and has `slots` slots.
FleetLoad Idle(double slots = 4) {
  FleetLoad fleet;
  fleet.serving = 1;
  fleet.slots = slots;
  fleet.prefill_tokens_per_s = 1000;
  fleet.decode_tokens_per_s = 1000;
  return fleet;
}

FleetLoad Busy() {
  FleetLoad fleet = Idle();
  fleet.requests = fleet.slots;
  return fleet;
}

/// Admission with client accounts, and a record of its decisions.
struct AdmissionHarness {
  explicit AdmissionHarness(std::vector<ClientAccountSpec> accounts,
                            AdmissionOptions options = {})
      : admission(options) {
    spec.client_accounts = std::move(accounts);
    admission.Configure(spec);
    admission.SetFleet(Busy());
  }

  AdmissionDecision Offer(const std::string& account, std::uint64_t tokens,
                          Duration deadline = std::chrono::hours(1),
                          TimePoint now = kStart) {
    AdmissionRequest request;
    request.id = RequestId{Id128{0, ++last_id}};
    request.account = account;
    request.prompt_tokens = tokens;
    request.deadline = now + deadline;
    request.service = milliseconds(100);
    owners[last_id] = account;
    return admission.Offer(request, now,
                           [this](const auto& it) { displaced.push_back(it); });
  }

  /// Dispatches up to `n` requests one by one, as if each ended at once.
  std::vector<std::string> Dispatch(int n, TimePoint now = kStart) {
    std::vector<std::string> order;
    for (int it = 0; it < n; ++it) {
      FleetLoad load = Idle();
      load.slots = 1;
      admission.Advance(
          now, [&load] { return load; },
          [&](const AdmissionDecision& decision) {
            if (decision.verdict == AdmissionVerdict::kAdmitted) {
              load.requests = 1;
              order.push_back(owners[decision.id.value.lo]);
              admission.OnEnded(decision.ticket, AdmissionEnd::kNeutral, now);
            } else {
              refused.push_back(decision);
            }
          });
    }
    return order;
  }

  DeploymentSpec spec;
  Admission admission;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, std::string> owners;
  std::vector<AdmissionDecision> displaced;
  std::vector<AdmissionDecision> refused;
};

TEST_CASE("Admission immediately refuses requests that cannot be served") {
  AdmissionHarness harness({Account("salon")});

  SECTION("unknown or removed account") {
    CHECK(harness.Offer("nobody", 1).cause == RefusalCause::kUnknownAccount);
    harness.admission.Configure(DeploymentSpec{});
    CHECK(harness.Offer("salon", 1).cause == RefusalCause::kUnknownAccount);
  }
  SECTION("a deadline that even an idle fleet would miss gets no retry delay") {
    harness.admission.SetFleet(Idle());
    const auto decision = harness.Offer("salon", 1, milliseconds(99));
    CHECK(decision.cause == RefusalCause::kDeadlineTooShort);
    CHECK_FALSE(decision.retry_after.has_value());
    CHECK(harness.Offer("salon", 1, milliseconds(100)).verdict ==
          AdmissionVerdict::kAdmitted);
  }
  SECTION(
      "a deadline missed because of the queue gets the delay after which it "
      "can be met") {
    REQUIRE(harness.Offer("salon", 10000).verdict == AdmissionVerdict::kQueued);
    // 10 s of queued work plus 0.1 s of service is 7.1 s past the 3 s deadline.
    const auto decision = harness.Offer("salon", 1, seconds(3));
    CHECK(decision.verdict == AdmissionVerdict::kRefused);
    CHECK(decision.cause == RefusalCause::kDeadline);
    REQUIRE(decision.retry_after.has_value());
    CHECK(*decision.retry_after > milliseconds(7000));
    CHECK(*decision.retry_after < milliseconds(7200));
  }
  SECTION(
      "a queued request is refused as soon as it cannot meet its deadline, "
      "not when the deadline passes") {
    REQUIRE(harness.Offer("salon", 1, seconds(1)).verdict ==
            AdmissionVerdict::kQueued);
    const auto advance = [&](TimePoint now) {
      harness.admission.Advance(
          now, Busy, [&](const auto& it) { harness.refused.push_back(it); });
    };
    advance(kStart + milliseconds(900));
    CHECK(harness.refused.empty());
    advance(kStart + milliseconds(911));
    REQUIRE(harness.refused.size() == 1);
    CHECK(harness.refused[0].cause == RefusalCause::kDeadline);
    CHECK(harness.admission.queued() == 0);
  }
}

TEST_CASE("Admission enforces the limits of each account") {
  ClientAccountSpec limited = Account("salon");
  SECTION("concurrency counts running and queued requests") {
    limited.max_concurrent = 2;
    AdmissionHarness harness({limited});
    CHECK(harness.Offer("salon", 1).verdict == AdmissionVerdict::kQueued);
    CHECK(harness.Offer("salon", 1).verdict == AdmissionVerdict::kQueued);
    CHECK(harness.Offer("salon", 1).cause == RefusalCause::kConcurrency);
    CHECK(harness.admission.Cancel(RequestId{Id128{0, 1}}));
    CHECK_FALSE(harness.admission.Cancel(RequestId{Id128{0, 1}}));
    CHECK(harness.Offer("salon", 1).verdict == AdmissionVerdict::kQueued);
  }
  SECTION(
      "requests per second, with a retry delay after which a request is "
      "accepted") {
    limited.requests_per_second = 2;
    AdmissionHarness harness({limited});
    CHECK(harness.Offer("salon", 1).verdict == AdmissionVerdict::kQueued);
    CHECK(harness.Offer("salon", 1).verdict == AdmissionVerdict::kQueued);
    const auto refused = harness.Offer("salon", 1);
    CHECK(refused.cause == RefusalCause::kRequestRate);
    REQUIRE(refused.retry_after.has_value());
    CHECK(harness.Offer("salon", 1, seconds(9), kStart + *refused.retry_after)
              .verdict == AdmissionVerdict::kQueued);
  }
  SECTION(
      "tokens per second: a large request is accepted and delays the next "
      "one") {
    limited.tokens_per_second = 100;
    AdmissionHarness harness({limited});
    CHECK(harness.Offer("salon", 1000).verdict == AdmissionVerdict::kQueued);
    const auto refused = harness.Offer("salon", 1);
    CHECK(refused.cause == RefusalCause::kTokenRate);
    REQUIRE(refused.retry_after.has_value());
    CHECK(*refused.retry_after > seconds(8));
    SECTION("applying the same configuration again allows no new burst") {
      harness.admission.Configure(harness.spec);
      CHECK(harness.Offer("salon", 1).cause == RefusalCause::kTokenRate);
    }
    SECTION("a clock that jumps back does not stop the refill") {
      harness.Offer("salon", 1, seconds(9), kStart - std::chrono::hours(1));
      CHECK(harness
                .Offer("salon", 1, std::chrono::hours(1),
                       kStart - std::chrono::hours(1) + seconds(10))
                .verdict == AdmissionVerdict::kQueued);
    }
  }
}

TEST_CASE("Queued requests are ordered by priority, then by fair share") {
  SECTION("higher priority first") {
    AdmissionHarness harness({Account("menu", 0), Account("alert", 5)});
    harness.Offer("menu", 10);
    harness.Offer("menu", 10);
    harness.Offer("alert", 10);
    CHECK(harness.Dispatch(3) ==
          std::vector<std::string>{"alert", "menu", "menu"});
  }
  SECTION(
      "a lower priority keeps its minimum share under overload from a higher "
      "one") {
    AdmissionHarness harness({Account("menu", 0), Account("alert", 5)});
    for (int it = 0; it < 100; ++it) {
      harness.Offer("menu", 10);
      harness.Offer("alert", 10);
    }
    const auto order = harness.Dispatch(100);
    // 5% of the work of the higher priority is about 1 in 21 requests.
    const auto n = std::count(order.begin(), order.end(), "menu");
    CHECK(n >= 4);
    CHECK(n <= 6);
  }
  SECTION("shares count tokens, not requests") {
    AdmissionHarness harness({Account("short"), Account("long")});
    for (int it = 0; it < 110; ++it) {
      harness.Offer("short", 10);
      if (it % 10 == 0) {
        harness.Offer("long", 100);
      }
    }
    const auto order = harness.Dispatch(55);
    CHECK(std::count(order.begin(), order.end(), "long") == 5);
  }
  SECTION("an idle account earns no credit") {
    AdmissionHarness harness({Account("a"), Account("b")});
    for (int it = 0; it < 40; ++it) {
      harness.Offer("a", 10);
    }
    harness.Dispatch(20);
    for (int it = 0; it < 20; ++it) {
      harness.Offer("b", 10);
    }
    const auto order = harness.Dispatch(10);
    CHECK(std::count(order.begin(), order.end(), "b") == 5);
  }
}

// Guards against an account that fills the queue, so that another account is
// refused with "queue full" although it sent a single request. That request
// must evict the newest request of the first account, which is refused at once.
TEST_CASE("One account cannot keep the whole queue from others") {
  AdmissionOptions options;
  options.queue.max_requests = 10;
  AdmissionHarness harness(
      {Account("flood"), Account("quiet"), Account("urgent", 5)}, options);
  for (int it = 0; it < 30; ++it) {
    harness.Offer("flood", 10);
  }
  REQUIRE(harness.admission.queued() == 10);
  CHECK(harness.displaced.empty());

  SECTION(
      "an account of equal priority with less queued work evicts a request") {
    CHECK(harness.Offer("quiet", 10).verdict == AdmissionVerdict::kQueued);
    REQUIRE(harness.displaced.size() == 1);
    CHECK(harness.displaced[0].cause == RefusalCause::kDisplaced);
    CHECK(harness.displaced[0].retry_after.has_value());
    CHECK(harness.admission.queued() == 10);
  }
  SECTION("the queue ends up shared evenly") {
    int queued = 0;
    for (int it = 0; it < 30; ++it) {
      queued += harness.Offer("quiet", 10).verdict == AdmissionVerdict::kQueued;
    }
    CHECK(queued >= 4);
    CHECK(queued <= 5);
  }
  SECTION("an account of higher priority evicts requests of lower ones") {
    for (int it = 0; it < 10; ++it) {
      CHECK(harness.Offer("urgent", 10).verdict == AdmissionVerdict::kQueued);
    }
    CHECK(harness.Offer("flood", 10).cause == RefusalCause::kQueueFull);
  }
}

TEST_CASE("Targets get just enough to stay busy") {
  AdmissionHarness harness({Account("salon")});
  for (int it = 0; it < 10; ++it) {
    harness.Offer("salon", 10);
  }
  FleetLoad load = Idle(3);
  const auto admitted = [&] {
    int n = 0;
    harness.admission.Advance(
        kStart, [&load] { return load; },
        [&](const AdmissionDecision& it) {
          ++load.requests;
          n += it.verdict == AdmissionVerdict::kAdmitted;
        });
    return n;
  };
  SECTION("at most as many requests as there are slots") {
    CHECK(admitted() == 3);
  }
  SECTION("none while too much prefill is queued at the targets") {
    load.queued_prefill_tokens = 501;
    CHECK(admitted() == 0);
  }
  SECTION("none without a target, and no refusal while deadlines can be met") {
    load = FleetLoad{};
    CHECK(admitted() == 0);
    CHECK(harness.admission.queued() == 10);
  }
}

TEST_CASE("The concurrency limit adapts to the capacity of the targets") {
  ConcurrencyLimit::Options options;
  options.initial = 10;
  ConcurrencyLimit limit(options);
  const auto run = [&](int n, bool overloaded, TimePoint now) {
    for (int it = 0; it < n; ++it) {
      limit.OnStarted();
    }
    for (int it = 0; it < n; ++it) {
      limit.OnEnded(overloaded, now);
    }
  };
  SECTION("it grows only while it is reached") {
    run(5, false, kStart);
    CHECK(limit.limit() == 10);
    for (int it = 0; it < 20; ++it) {
      run(static_cast<int>(limit.limit()), false, kStart);
    }
    CHECK(limit.limit() > 10.9);
  }
  SECTION("one overload seen by many requests decreases it once") {
    run(10, true, kStart);
    CHECK(limit.limit() == 8);
    run(10, true, kStart + seconds(1));
    CHECK(limit.limit() == Approx(6.4));
  }
  SECTION("it does not fall below its minimum") {
    for (int it = 0; it < 100; ++it) {
      run(1, true, kStart + seconds(it));
    }
    CHECK(limit.limit() == options.minimum);
    CHECK(limit.HasRoom());
  }
}

TEST_CASE("Admission keeps its invariants for random requests") {
  const bool held = rc::check(
      "bounds, limits, and one final decision for each request",
      [](std::uint64_t seed) {
        RandomSource random = MakeSeededRandom(seed);
        AdmissionOptions options;
        options.queue.max_requests = 8;
        options.queue.max_work = 400;
        ClientAccountSpec a =
            Account("a", 0, 1 + ToBoundedInteger(random(), 4));
        a.max_concurrent = 5;
        AdmissionHarness harness(
            {a, Account("b", static_cast<int>(ToBoundedInteger(random(), 2)))},
            options);
        std::map<std::uint64_t, int> answers;
        std::vector<AdmissionTicket> running;
        std::map<std::uint32_t, std::uint32_t> held_by;
        TimePoint now = kStart;
        const auto take = [&](const AdmissionDecision& it) {
          if (it.verdict != AdmissionVerdict::kQueued) {
            ++answers[it.id.value.lo];
          }
          if (it.verdict == AdmissionVerdict::kAdmitted) {
            running.push_back(it.ticket);
            ++held_by[it.ticket.account];
          }
        };
        for (int step = 0; step < 300; ++step) {
          now += milliseconds(ToBoundedInteger(random(), 50));
          if (ToBoundedInteger(random(), 2) == 0) {
            take(harness.Offer(ToBoundedInteger(random(), 2) == 0 ? "a" : "b",
                               ToBoundedInteger(random(), 100),
                               milliseconds(ToBoundedInteger(random(), 2000)),
                               now));
          } else if (!running.empty()) {
            harness.admission.OnEnded(running.back(), AdmissionEnd::kInTime,
                                      now);
            --held_by[running.back().account];
            running.pop_back();
          }
          FleetLoad load = Idle();
          load.requests = static_cast<double>(running.size());
          harness.admission.Advance(
              now,
              [&] {
                load.requests = static_cast<double>(running.size());
                return load;
              },
              take);
          RC_ASSERT(harness.admission.queued() <= 8U);
          RC_ASSERT(running.size() <= 4U);
          RC_ASSERT(held_by[0] <= 5U);
        }
        harness.admission.Advance(
            now + std::chrono::hours(2), [] { return FleetLoad{}; }, take);
        for (const auto& it : harness.displaced) {
          ++answers[it.id.value.lo];
        }
        RC_ASSERT(answers.size() == harness.last_id);
        for (const auto& [id, n] : answers) {
          RC_ASSERT(n == 1);
        }
      });
  CHECK(held);
}

TEST_CASE("Shares converge to the weights for random request sizes") {
  const bool held = rc::check("weighted fair shares", [](std::uint64_t seed) {
    RandomSource random = MakeSeededRandom(seed);
    FairQueue::Options options;
    options.max_work = 1e9;
    FairQueue queue(options);
    const std::uint32_t weights[] = {1, 2, 5};
    double done[3] = {0, 0, 0};
    for (std::uint32_t it = 0; it < 3; ++it) {
      queue.SetAccount(it, 0, weights[it]);
    }
    std::uint64_t id = 0;
    const auto push = [&](std::uint32_t account) {
      QueuedRequest request;
      request.id = RequestId{Id128{0, ++id}};
      request.account = account;
      request.work = 1 + ToBoundedInteger(random(), 1000);
      queue.Push(request);
    };
    for (std::uint32_t it = 0; it < 30; ++it) {
      push(it % 3);
    }
    for (int it = 0; it < 4000; ++it) {
      const QueuedRequest next = *queue.Pop();
      done[next.account] += next.work;
      push(next.account);
    }
    const double total = done[0] + done[1] + done[2];
    for (std::uint32_t it = 0; it < 3; ++it) {
      const double share = done[it] / total;
      RC_ASSERT(share > 0.97 * weights[it] / 8);
      RC_ASSERT(share < 1.03 * weights[it] / 8);
    }
  });
  CHECK(held);
}

}  // namespace
}  // namespace indigolead
