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
using testing::SentOnAfterCrashes;

constexpr Fingerprint kBad = 7;
constexpr TimePoint kStart{seconds(1000)};

TargetCrash Crash(int n) { return {"i-" + std::to_string(n), 5}; }

TEST_CASE("CrashLedger counts crashes of targets that ran a request") {
  CrashLedger ledger(CrashLedger::Options{});
  ledger.OnCrash(Crash(1), {kBad, 11}, kStart);
  ledger.OnCrash(Crash(2), {kBad, 12}, kStart + minutes(1));

  SECTION("the request may run after two crashes") {
    CHECK(ledger.CrashesUnder(kBad) == 2);
    CHECK_FALSE(ledger.StoppedFor(kBad, kStart + minutes(1)));
  }
  SECTION("the third crash blocks it until the first is an hour old") {
    ledger.OnCrash(Crash(3), {kBad}, kStart + minutes(2));
    CHECK(ledger.StoppedFor(kBad, kStart + minutes(2)) ==
          Duration(minutes(58)));
    CHECK_FALSE(ledger.StoppedFor(11, kStart + minutes(2)));

    SECTION("a fourth crash extends the block") {
      ledger.OnCrash(Crash(4), {kBad}, kStart + minutes(3));
      CHECK(ledger.StoppedFor(kBad, kStart + minutes(3)) ==
            Duration(minutes(58)));
    }
    SECTION("the block expires") {
      CHECK(ledger.Tick(kStart + minutes(60)));
      CHECK_FALSE(ledger.StoppedFor(kBad, kStart + minutes(60)));
      CHECK(ledger.own().crashes.size() == 2);
    }
  }
  SECTION("a crash reported by two entries counts once") {
    ledger.OnReports({{{{Crash(2), {kBad}}}, {}}}, kStart + minutes(1));
    CHECK(ledger.CrashesUnder(kBad) == 2);
  }
  SECTION("a crash in another run of the same target counts again") {
    ledger.OnCrash({"i-2", 6}, {kBad}, kStart + minutes(2));
    CHECK(ledger.StoppedFor(kBad, kStart + minutes(2)));
  }
  SECTION("reports of other entries block the request") {
    ledger.OnReports({{{{Crash(3), {kBad}}}, {}}}, kStart + minutes(2));
    CHECK(ledger.StoppedFor(kBad, kStart + minutes(2)));
    SECTION("reports that never expire do not extend the block") {
      ledger.OnReports({{{{Crash(3), {kBad}}}, {}}}, kStart + minutes(70));
      CHECK_FALSE(ledger.StoppedFor(kBad, kStart + minutes(70)));
      CHECK(ledger.CrashesUnder(kBad) == 0);
    }
  }
  SECTION("an answer clears the request and is reported at once") {
    CHECK(ledger.OnAnswered(kBad, kStart + minutes(2)) ==
          CrashLedger::Telling::kNow);
    CHECK(ledger.CrashesUnder(kBad) == 0);
    ledger.OnCrash(Crash(3), {kBad}, kStart + minutes(3));
    CHECK(ledger.CrashesUnder(kBad) == 1);

    CrashLedger other(CrashLedger::Options{});
    other.OnCrash(Crash(4), {kBad}, kStart + minutes(3));
    other.OnReports({ledger.own()}, kStart + minutes(3));
    CHECK(other.CrashesUnder(kBad) == 2);
  }
  SECTION("an answer is reported later if one more crash would not block") {
    CHECK(ledger.OnAnswered(11, kStart + minutes(2)) ==
          CrashLedger::Telling::kSoon);
    CHECK(ledger.CrashesUnder(11) == 0);
    CHECK(ledger.OnAnswered(99, kStart + minutes(2)) ==
          CrashLedger::Telling::kNot);
  }
  SECTION("the counts survive a restart of the process") {
    CrashLedger next(CrashLedger::Options{});
    next.OnCrash(Crash(3), {kBad}, kStart + minutes(2));
    next.OnEarlierReport(ledger.own(), kStart + minutes(2));
    CHECK(next.StoppedFor(kBad, kStart + minutes(2)));
    CHECK(next.own().crashes.size() == 3);
  }
}

TEST_CASE("CrashLedger bounds the size of its own report") {
  CrashLedger::Options options;
  options.max_requests = 100;
  CrashLedger ledger(options);
  for (int n = 0; n < 3; ++n) {
    ledger.OnCrash(Crash(n), {kBad}, kStart);
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
    CHECK(ledger.StoppedFor(kBad, kStart));
  }
  SECTION("the newest crash is kept") { CHECK(ledger.CrashesUnder(1995) == 1); }
}

/// Simulates entries whose callers repeat a request that crashes its targets,
/// together with harmless requests. Reports are delayed; entries are restarted
/// and frozen.
class CrashWorld {
 public:
  CrashWorld(std::uint64_t seed, int entries)
      : random_(MakeSeededRandom(seed)) {
    for (int n = 0; n < entries; ++n) {
      held_.emplace_back(CrashLedger::Options{});
      disturbed_until_.push_back(now_);
      stored_.emplace_back();
    }
    targets_ = 3 + Below(20);
    next_run_ = 1;
  }

  void Play() {
    const TimePoint end = now_ + seconds(40);
    TimePoint next_bad = now_;
    while (now_ < end) {
      now_ += milliseconds(20);
      Deliver();
      if (now_ >= next_bad) {
        SendBad();
        // One time in four, the next one follows at once.
        next_bad += milliseconds(Below(4) == 0 ? 0 : 30 + Below(900));
      }
      for (int n = 0; n < 3; ++n) {
        SendInnocent();
      }
      if (Below(100) == 0) {
        Trouble();
      }
    }
  }

  int sent_on() const { return SentOnAfterCrashes(crashes_, in_touch_sends_); }
  std::size_t crashes() const { return crashes_.size(); }
  /// Returns how often a request was blocked that had not been running in three
  /// crashes since its last answer.
  int wrongly_stopped() const { return wrongly_stopped_; }

 private:
  /// A report that an entry has not received yet.
  struct Due {
    TimePoint at;
    std::size_t entry;
  };
  struct Innocent {
    int crashes = 0;  ///< Since its last answer.
    TimePoint crashed_at{};
    TimePoint answered_at{};
  };

  std::uint64_t Below(std::uint64_t n) { return random_() % n; }

  void SendBad() {
    const auto entry = static_cast<std::size_t>(Below(held_.size()));
    if (now_ < frozen_until(entry) || held_[entry].StoppedFor(kBad, now_)) {
      return;
    }
    if (now_ >= disturbed_until_[entry]) {
      in_touch_sends_.push_back(now_);
    }
    crashes_.push_back(now_);
    const TargetCrash crash{"i-" + std::to_string(Below(targets_)),
                            next_run_++};
    // Each entry observes only its own requests that were running there.
    std::map<std::size_t, std::vector<Fingerprint>> seen;
    seen[entry].push_back(kBad);
    for (std::uint64_t n = Below(30); n > 0; --n) {
      const Fingerprint innocent = 100 + Below(kInnocents);
      const std::size_t of = Below(held_.size());
      Innocent& it = innocents_[innocent];
      if (now_ >= frozen_until(of) && it.crashed_at != now_) {
        ++it.crashes;
        it.crashed_at = now_;
        seen[of].push_back(innocent);
      }
    }
    for (const auto& [of, running] : seen) {
      held_[of].OnCrash(crash, running, now_);
      Tell(of);
    }
  }

  void SendInnocent() {
    const Fingerprint innocent = 100 + Below(kInnocents);
    const std::size_t entry = Below(held_.size());
    if (now_ < frozen_until(entry)) {
      return;
    }
    Innocent& it = innocents_[innocent];
    if (held_[entry].StoppedFor(innocent, now_)) {
      const bool told = now_ - it.answered_at > kAnswerTold;
      const bool ran = it.crashes >= static_cast<int>(testing::kCrashesToStop);
      wrongly_stopped_ += told && !ran ? 1 : 0;
      return;
    }
    it.crashes = 0;
    it.answered_at = now_;
    switch (held_[entry].OnAnswered(innocent, now_)) {
      case CrashLedger::Telling::kNow:
        Tell(entry);
        break;
      case CrashLedger::Telling::kSoon:
        tell_at_.emplace(entry, now_ + seconds(2));
        break;
      case CrashLedger::Telling::kNot:
        break;
    }
  }

  void Trouble() {
    const auto entry = static_cast<std::size_t>(Below(held_.size()));
    if (Below(2) == 0) {
      frozen_[entry] = now_ + milliseconds(Below(3000));
      disturbed_until_[entry] = frozen_[entry] + testing::kCrashKnown;
      return;
    }
    held_[entry] = CrashLedger(CrashLedger::Options{});
    held_[entry].OnEarlierReport(stored_[entry], now_);
    TakeReports(entry);
    disturbed_until_[entry] = now_ + testing::kCrashKnown;
  }

  TimePoint frozen_until(std::size_t entry) {
    const auto it = frozen_.find(entry);
    return it == frozen_.end() ? kStart : it->second;
  }

  void Tell(std::size_t entry) {
    // The delay models a store call and the remaining watch interval of the
    // other entry.
    stored_[entry] = held_[entry].own();
    for (std::size_t n = 0; n < held_.size(); ++n) {
      if (n != entry) {
        due_.push_back({now_ + milliseconds(5 + Below(1200)), n});
      }
    }
  }

  void TakeReports(std::size_t entry) {
    std::vector<CrashReport> others;
    for (std::size_t n = 0; n < held_.size(); ++n) {
      if (n != entry) {
        others.push_back(stored_[n]);
      }
    }
    held_[entry].OnReports(std::move(others), now_);
  }

  void Deliver() {
    for (auto it = tell_at_.begin(); it != tell_at_.end();) {
      const bool due = it->second <= now_;
      if (due) {
        Tell(it->first);
      }
      it = due ? tell_at_.erase(it) : std::next(it);
    }
    std::vector<Due> later;
    std::vector<bool> taken(held_.size());
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

  static constexpr std::uint64_t kInnocents = 400;
  /// Time after which an answer is known to all entries, unless the entry that
  /// received it was restarted.
  static constexpr seconds kAnswerTold{4};

  RandomSource random_;
  TimePoint now_ = kStart;
  std::uint64_t targets_ = 0;
  std::int64_t next_run_ = 0;
  std::vector<CrashLedger> held_;
  std::vector<CrashReport> stored_;
  std::vector<TimePoint> disturbed_until_;
  std::map<std::size_t, TimePoint> frozen_;
  std::vector<Due> due_;
  std::vector<TimePoint> crashes_;
  std::vector<TimePoint> in_touch_sends_;
  std::map<Fingerprint, Innocent> innocents_;
  std::map<std::size_t, TimePoint> tell_at_;
  int wrongly_stopped_ = 0;
};

/// Guards against entries that count only their own crashes or lose their
/// counts in a restart.
TEST_CASE("CrashLedger blocks a crashing request in randomized fleets") {
  const auto [entries, worlds] =
      GENERATE(table<int, int>({{1, 60}, {4, 60}, {20, 20}, {400, 1}}));
  INFO(entries << " entries");
  for (int seed = 1; seed <= worlds; ++seed) {
    CrashWorld world(static_cast<std::uint64_t>(seed), entries);
    world.Play();
    INFO("seed " << seed);
    CHECK(world.crashes() >= testing::kCrashesToStop);
    CHECK(world.sent_on() <= testing::kSentOnAllowed);
    CHECK(world.wrongly_stopped() == 0);
  }
}

}  // namespace
}  // namespace indigolead
