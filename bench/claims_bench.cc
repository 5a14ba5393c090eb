// Measures the core of a claim home: decisions per second on one core, and the
// journal writes needed at several claim rates. The store is a fake with a
// fixed latency in simulated time, so only the first result depends on the
// machine.

#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/claims/claim_home.h"
#include "wire/claim_codec.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStoreLatency = milliseconds(3);
constexpr Duration kStep = milliseconds(1);

/// Drives one claim home with a simulated store and generated requests.
class Bench {
 public:
  explicit Bench(ClaimHome::Options options)
      : home_(options, "side-0", [this] {
          return Id128{random_(), random_()};
        }) {
    home_.OnEntryUp(entry_);
    home_.Tick(now_);
    AdvanceTime(seconds(1));
    SlotMap map;
    map.epoch = 1;
    map.slots.assign(256, SlotAssignment{home_.ref(), {}, 1});
    home_.OnSlotMap(map, now_);
    AdvanceTime(seconds(1));
  }

  /// Requests a claim on a new key, and finishes the run if `finish` is set.
  void RequestClaim(bool finish) {
    const ClaimKey key{{random_(), random_()}};
    const RequestId request{{random_(), random_()}};
    const std::uint32_t slot = SlotOf(key, 256);
    home_.OnClaimQuery({request, key, 7, slot, entry_, seconds(1)}, now_);
    if (finish) {
      home_.OnEndReport({request, key, slot, 7, ClaimState::kFinished,
                         ClaimAnswer{200, {}, std::string(500, 'x')}, entry_},
                        now_);
    }
    RunActions();
  }

  void AdvanceTime(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      while (!pending_writes_.empty() &&
             pending_writes_.begin()->first <= now_) {
        pending_writes_.erase(pending_writes_.begin());
        home_.OnWritten(home_.ref(), ++version_, now_);
        RunActions();
      }
      home_.Tick(now_);
      RunActions();
    }
  }

  std::uint64_t writes = 0;
  std::uint64_t bytes = 0;
  std::uint64_t grants = 0;

 private:
  void RunActions() {
    for (const HomeAction& it : home_.TakeActions()) {
      if (const auto* write = std::get_if<WriteSegment>(&it)) {
        ++writes;
        bytes += EncodeSegment(write->segment).size();
        pending_writes_.emplace(now_ + kStoreLatency, true);
      } else if (const auto* decision = std::get_if<SendDecision>(&it)) {
        grants += decision->decision.verdict == ClaimVerdict::kGranted;
      }
    }
  }

  std::mt19937_64 random_{1};
  TimePoint now_{seconds(1)};
  Incarnation entry_{{1, 1}};
  std::multimap<TimePoint, bool> pending_writes_;
  std::uint64_t version_ = 0;
  ClaimHome home_;
};

void MeasureDecisions() {
  Bench bench({});
  constexpr int kRequests = 100000;
  const auto start = std::chrono::steady_clock::now();
  for (int it = 0; it < kRequests; ++it) {
    bench.RequestClaim(false);
    if (it % 100 == 0) {
      bench.AdvanceTime(milliseconds(10));
    }
  }
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - start;
  std::printf("decisions on one core: %.0f/s (journal included, %llu grants)\n",
              kRequests / took.count(),
              static_cast<unsigned long long>(bench.grants));
}

void MeasureWrites(Duration interval) {
  std::printf("write interval %lld ms\n%10s %12s %16s %14s\n",
              static_cast<long long>(interval / milliseconds(1)), "claims/s",
              "writes/s", "claims per write", "KB per write");
  for (const int rate : {1, 10, 50, 100, 200, 500, 1000}) {
    ClaimHome::Options options;
    options.journal.write_interval = interval;
    Bench bench(options);
    const std::uint64_t writes = bench.writes;
    const std::uint64_t bytes = bench.bytes;
    constexpr int kSeconds = 20;
    double due = 0;
    for (int ms = 0; ms < kSeconds * 1000; ++ms) {
      for (due += rate / 1000.0; due >= 1; due -= 1) {
        bench.RequestClaim(true);
      }
      bench.AdvanceTime(kStep);
    }
    const double n = static_cast<double>(bench.writes - writes);
    std::printf("%10d %12.1f %16.1f %14.1f\n", rate, n / kSeconds,
                rate * kSeconds / n,
                static_cast<double>(bench.bytes - bytes) / n / 1024);
  }
}

}  // namespace
}  // namespace indigolead

int main() {
  indigolead::MeasureDecisions();
  for (const int it : {5, 20, 100}) {
    indigolead::MeasureWrites(std::chrono::milliseconds(it));
  }
  return 0;
}
