#include "core/request/crash_ledger.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "core/base/random.h"
#include "tests/support/crash_rule.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::CountForwardedAfterCrashes;

constexpr Fingerprint kCrashingRequest = 7;
constexpr TimePoint kStart{seconds(1000)};

TargetCrash Crash(int n) { return {"i-" + std::to_string(n), 5}; }

TEST_CASE("CrashLedger counts crashes of targets that ran a request") {
  CrashLedger ledger(CrashLedger::Options{});
  ledger.OnCrash(Crash(1), {kCrashingRequest, 11}, kStart);
  ledger.OnCrash(Crash(2), {kCrashingRequest, 12}, kStart + minutes(1));

  SECTION("the request may run after two crashes") {
    CHECK(ledger.CountCrashes(kCrashingRequest) == 2);
    CHECK_FALSE(ledger.BlockedFor(kCrashingRequest, kStart + minutes(1)));
  }
  SECTION("the third crash blocks it until the first is an hour old") {
    ledger.OnCrash(Crash(3), {kCrashingRequest}, kStart + minutes(2));
    CHECK(ledger.BlockedFor(kCrashingRequest, kStart + minutes(2)) ==
          Duration(minutes(58)));
    CHECK_FALSE(ledger.BlockedFor(11, kStart + minutes(2)));

    SECTION("a fourth crash extends the block") {
      ledger.OnCrash(Crash(4), {kCrashingRequest}, kStart + minutes(3));
      CHECK(ledger.BlockedFor(kCrashingRequest, kStart + minutes(3)) ==
            Duration(minutes(58)));
    }
    SECTION("the block expires") {
      CHECK(ledger.Tick(kStart + minutes(60)));
      CHECK_FALSE(ledger.BlockedFor(kCrashingRequest, kStart + minutes(60)));
      CHECK(ledger.own().crashes.size() == 2);
    }
  }
  SECTION("a crash reported by two entries counts once") {
    ledger.OnReports({{{{Crash(2), {kCrashingRequest}}}, {}}},
                     kStart + minutes(1));
    CHECK(ledger.CountCrashes(kCrashingRequest) == 2);
  }
  SECTION("a crash in another run of the same target counts again") {
    ledger.OnCrash({"i-2", 6}, {kCrashingRequest}, kStart + minutes(2));
    CHECK(ledger.BlockedFor(kCrashingRequest, kStart + minutes(2)));
  }
  SECTION("reports of other entries block the request") {
    ledger.OnReports({{{{Crash(3), {kCrashingRequest}}}, {}}},
                     kStart + minutes(2));
    CHECK(ledger.BlockedFor(kCrashingRequest, kStart + minutes(2)));
    SECTION("reports that never expire do not extend the block") {
      ledger.OnReports({{{{Crash(3), {kCrashingRequest}}}, {}}},
                       kStart + minutes(70));
      CHECK_FALSE(ledger.BlockedFor(kCrashingRequest, kStart + minutes(70)));
      CHECK(ledger.CountCrashes(kCrashingRequest) == 0);
    }
  }
  SECTION("an answer clears the request and is reported at once") {
    CHECK(ledger.OnAnswered(kCrashingRequest, kStart + minutes(2)) ==
          CrashLedger::ReportUrgency::kNow);
    CHECK(ledger.CountCrashes(kCrashingRequest) == 0);
    ledger.OnCrash(Crash(3), {kCrashingRequest}, kStart + minutes(3));
    CHECK(ledger.CountCrashes(kCrashingRequest) == 1);

    CrashLedger other(CrashLedger::Options{});
    other.OnCrash(Crash(4), {kCrashingRequest}, kStart + minutes(3));
    other.OnReports({ledger.own()}, kStart + minutes(3));
    CHECK(other.CountCrashes(kCrashingRequest) == 2);
  }
  SECTION("an answer is reported later if one more crash would not block") {
    CHECK(ledger.OnAnswered(11, kStart + minutes(2)) ==
          CrashLedger::ReportUrgency::kSoon);
    CHECK(ledger.CountCrashes(11) == 0);
    CHECK(ledger.OnAnswered(99, kStart + minutes(2)) ==
          CrashLedger::ReportUrgency::kNone);
  }
  SECTION("the counts survive a restart of the process") {
    CrashLedger next(CrashLedger::Options{});
    next.OnCrash(Crash(3), {kCrashingRequest}, kStart + minutes(2));
    next.RestoreOwnReport(ledger.own(), kStart + minutes(2));
    CHECK(next.BlockedFor(kCrashingRequest, kStart + minutes(2)));
    CHECK(next.own().crashes.size() == 3);
  }
}

TEST_CASE("CrashLedger bounds the size of its own report") {
  CrashLedger::Options options;
  options.max_requests = 100;
  CrashLedger ledger(options);
  for (int n = 0; n < 3; ++n) {
    ledger.OnCrash(Crash(n), {kCrashingRequest}, kStart);
  }
  for (Fingerprint n = 0; n < 1000; n += 10) {
    std::vector<Fingerprint> running;
    for (Fingerprint k = 0; k < 10; ++k) {
      running.push_back(1000 + n + k);
    }
    ledger.OnCrash(Crash(100 + static_cast<int>(n)), running, kStart);
  }
  std::size_t requests = 0;
  for (const CrashRecord& it : ledger.own().crashes) {
    requests += it.running.size();
  }
  CHECK(requests <= 100);
  SECTION("crashes that block a request are kept") {
    CHECK(ledger.BlockedFor(kCrashingRequest, kStart));
  }
  SECTION("the newest crash is kept") { CHECK(ledger.CountCrashes(1995) == 1); }
}

/// Simulates entries whose callers repeat a request that crashes its targets,
/// together with harmless requests. Reports are delayed; entries are restarted
/// and frozen.
class CrashSimulation {
 public:
  CrashSimulation(std::uint64_t seed, int entries)
      : random_(MakeSeededRandom(seed)) {
    for (int n = 0; n < entries; ++n) {
      ledgers_.emplace_back(CrashLedger::Options{});
      disturbed_until_.push_back(now_);
      stored_.emplace_back();
    }
    targets_ = 3 + RandomBelow(20);
    next_run_ = 1;
  }

  void Run() {
    const TimePoint end = now_ + seconds(40);
    TimePoint next_crashing_request = now_;
    while (now_ < end) {
      now_ += milliseconds(20);
      Deliver();
      if (now_ >= next_crashing_request) {
        SendCrashingRequest();
        // One time in four, the next one follows at once.
        next_crashing_request +=
            milliseconds(RandomBelow(4) == 0 ? 0 : 30 + RandomBelow(900));
      }
      for (int n = 0; n < 3; ++n) {
        SendHarmlessRequest();
      }
      if (RandomBelow(100) == 0) {
        InjectFault();
      }
    }
  }

  int forwarded_after_crashes() const {
    return CountForwardedAfterCrashes(crashes_, undisturbed_sends_);
  }
  std::size_t crashes() const { return crashes_.size(); }
  /// Returns how often a request was blocked that had not been running in three
  /// crashes since its last answer.
  int wrongly_blocked() const { return wrongly_blocked_; }

 private:
  /// A report that an entry has not received yet.
  struct Due {
    TimePoint at;
    std::size_t entry;
  };
  struct HarmlessRequest {
    int crashes = 0;  ///< Since its last answer.
    TimePoint crashed_at{};
    TimePoint answered_at{};
  };

  std::uint64_t RandomBelow(std::uint64_t n) { return random_() % n; }

  void SendCrashingRequest() {
    const auto entry = static_cast<std::size_t>(RandomBelow(ledgers_.size()));
    if (now_ < frozen_until(entry) ||
        ledgers_[entry].BlockedFor(kCrashingRequest, now_)) {
      return;
    }
    if (now_ >= disturbed_until_[entry]) {
      undisturbed_sends_.push_back(now_);
    }
    crashes_.push_back(now_);
    const TargetCrash crash{"i-" + std::to_string(RandomBelow(targets_)),
                            next_run_++};
    // Each entry observes only its own requests that were running there.
    std::map<std::size_t, std::vector<Fingerprint>> seen;
    seen[entry].push_back(kCrashingRequest);
    for (std::uint64_t n = RandomBelow(30); n > 0; --n) {
      const Fingerprint harmless_request = 100 + RandomBelow(kHarmlessRequests);
      const std::size_t of = RandomBelow(ledgers_.size());
      HarmlessRequest& it = harmless_requests_[harmless_request];
      if (now_ >= frozen_until(of) && it.crashed_at != now_) {
        ++it.crashes;
        it.crashed_at = now_;
        seen[of].push_back(harmless_request);
      }
    }
    for (const auto& [of, running] : seen) {
      ledgers_[of].OnCrash(crash, running, now_);
      PublishReport(of);
    }
  }

  void SendHarmlessRequest() {
    const Fingerprint harmless_request = 100 + RandomBelow(kHarmlessRequests);
    const std::size_t entry = RandomBelow(ledgers_.size());
    if (now_ < frozen_until(entry)) {
      return;
    }
    HarmlessRequest& it = harmless_requests_[harmless_request];
    if (ledgers_[entry].BlockedFor(harmless_request, now_)) {
      const bool answer_known = now_ - it.answered_at > kAnswerKnown;
      const bool ran = it.crashes >= static_cast<int>(testing::kCrashesToBlock);
      wrongly_blocked_ += answer_known && !ran ? 1 : 0;
      return;
    }
    it.crashes = 0;
    it.answered_at = now_;
    switch (ledgers_[entry].OnAnswered(harmless_request, now_)) {
      case CrashLedger::ReportUrgency::kNow:
        PublishReport(entry);
        break;
      case CrashLedger::ReportUrgency::kSoon:
        publish_at_.emplace(entry, now_ + seconds(2));
        break;
      case CrashLedger::ReportUrgency::kNone:
        break;
    }
  }

  void InjectFault() {
    const auto entry = static_cast<std::size_t>(RandomBelow(ledgers_.size()));
    if (RandomBelow(2) == 0) {
      frozen_[entry] = now_ + milliseconds(RandomBelow(3000));
      disturbed_until_[entry] = frozen_[entry] + testing::kCrashReaction;
      return;
    }
    ledgers_[entry] = CrashLedger(CrashLedger::Options{});
    ledgers_[entry].RestoreOwnReport(stored_[entry], now_);
    TakeReports(entry);
    disturbed_until_[entry] = now_ + testing::kCrashReaction;
  }

  TimePoint frozen_until(std::size_t entry) {
    const auto it = frozen_.find(entry);
    return it == frozen_.end() ? kStart : it->second;
  }

  void PublishReport(std::size_t entry) {
    // The delay models a store call and the remaining watch interval of the
    // other entry.
    stored_[entry] = ledgers_[entry].own();
    for (std::size_t n = 0; n < ledgers_.size(); ++n) {
      if (n != entry) {
        due_.push_back({now_ + milliseconds(5 + RandomBelow(1200)), n});
      }
    }
  }

  void TakeReports(std::size_t entry) {
    std::vector<CrashReport> others;
    for (std::size_t n = 0; n < ledgers_.size(); ++n) {
      if (n != entry) {
        others.push_back(stored_[n]);
      }
    }
    ledgers_[entry].OnReports(std::move(others), now_);
  }

  void Deliver() {
    for (auto it = publish_at_.begin(); it != publish_at_.end();) {
      const bool due = it->second <= now_;
      if (due) {
        PublishReport(it->first);
      }
      it = due ? publish_at_.erase(it) : std::next(it);
    }
    std::vector<Due> later;
    std::vector<bool> taken(ledgers_.size());
    for (const Due& it : due_) {
      if (it.at > now_ || now_ < frozen_until(it.entry)) {
        later.push_back(it);
      } else if (!taken[it.entry]) {
        taken[it.entry] = true;
        TakeReports(it.entry);
      }
    }
    due_ = std::move(later);
  }

  static constexpr std::uint64_t kHarmlessRequests = 400;
  /// Time after which an answer is known to all entries, unless the entry that
  /// received it was restarted.
  static constexpr seconds kAnswerKnown{4};

  RandomSource random_;
  TimePoint now_ = kStart;
  std::uint64_t targets_ = 0;
  std::int64_t next_run_ = 0;
  std::vector<CrashLedger> ledgers_;
  std::vector<CrashReport> stored_;
  std::vector<TimePoint> disturbed_until_;
  std::map<std::size_t, TimePoint> frozen_;
  std::vector<Due> due_;
  std::vector<TimePoint> crashes_;
  std::vector<TimePoint> undisturbed_sends_;
  std::map<Fingerprint, HarmlessRequest> harmless_requests_;
  std::map<std::size_t, TimePoint> publish_at_;
  int wrongly_blocked_ = 0;
};

/// Guards against entries that count only their own crashes or lose their
/// counts in a restart.
TEST_CASE("CrashLedger blocks a crashing request in randomized fleets") {
  const auto [entries, seeds] =
      GENERATE(table<int, int>({{1, 60}, {4, 60}, {20, 20}, {400, 1}}));
  INFO(entries << " entries");
  for (int seed = 1; seed <= seeds; ++seed) {
    CrashSimulation simulation(static_cast<std::uint64_t>(seed), entries);
    simulation.Run();
    INFO("seed " << seed);
    CHECK(simulation.crashes() >= testing::kCrashesToBlock);
    CHECK(simulation.forwarded_after_crashes() <=
          testing::kMaxForwardedAfterCrashes);
    CHECK(simulation.wrongly_blocked() == 0);
  }
}

}  // namespace
}  // namespace indigolead
