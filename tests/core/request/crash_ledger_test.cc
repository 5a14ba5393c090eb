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

TEST_CASE("A request that ran in targets which crashed") {
  CrashLedger ledger(CrashLedger::Options{});
  ledger.OnCrash(Crash(1), {kBad, 11}, kStart);
  ledger.OnCrash(Crash(2), {kBad, 12}, kStart + minutes(1));

  SECTION("may run after two crashes") {
    CHECK(ledger.CrashesUnder(kBad) == 2);
    CHECK_FALSE(ledger.StoppedFor(kBad, kStart + minutes(1)));
  }
  SECTION("may not after the third, until the first is an hour old") {
    ledger.OnCrash(Crash(3), {kBad}, kStart + minutes(2));
    CHECK(ledger.StoppedFor(kBad, kStart + minutes(2)) ==
          Duration(minutes(58)));
    CHECK_FALSE(ledger.StoppedFor(11, kStart + minutes(2)));

    SECTION("or longer, if there were more") {
      ledger.OnCrash(Crash(4), {kBad}, kStart + minutes(3));
      CHECK(ledger.StoppedFor(kBad, kStart + minutes(3)) ==
            Duration(minutes(58)));
    }
    SECTION("and no longer") {
      CHECK(ledger.Tick(kStart + minutes(60)));
      CHECK_FALSE(ledger.StoppedFor(kBad, kStart + minutes(60)));
      CHECK(ledger.own().crashes.size() == 2);
    }
  }
  SECTION("is not counted twice for one crash that two entries saw") {
    ledger.OnReports({{{{Crash(2), {kBad}}}, {}}}, kStart + minutes(1));
    CHECK(ledger.CrashesUnder(kBad) == 2);
  }
  SECTION("is counted again where a target crashes in another run") {
    ledger.OnCrash({"i-2", 6}, {kBad}, kStart + minutes(2));
    CHECK(ledger.StoppedFor(kBad, kStart + minutes(2)));
  }
  SECTION("is stopped by what other entries saw") {
    ledger.OnReports({{{{Crash(3), {kBad}}}, {}}}, kStart + minutes(2));
    CHECK(ledger.StoppedFor(kBad, kStart + minutes(2)));
    SECTION("for no longer if they never forget") {
      ledger.OnReports({{{{Crash(3), {kBad}}}, {}}}, kStart + minutes(70));
      CHECK_FALSE(ledger.StoppedFor(kBad, kStart + minutes(70)));
      CHECK(ledger.CrashesUnder(kBad) == 0);
    }
  }
  SECTION("is cleared by an answer, of which others hear at once") {
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
  SECTION("is cleared soon if one crash more would not stop it") {
    CHECK(ledger.OnAnswered(11, kStart + minutes(2)) ==
          CrashLedger::Telling::kSoon);
    CHECK(ledger.CrashesUnder(11) == 0);
    CHECK(ledger.OnAnswered(99, kStart + minutes(2)) ==
          CrashLedger::Telling::kNot);
  }
  SECTION("is known to the process that follows") {
    CrashLedger next(CrashLedger::Options{});
    next.OnCrash(Crash(3), {kBad}, kStart + minutes(2));
    next.OnEarlierReport(ledger.own(), kStart + minutes(2));
    CHECK(next.StoppedFor(kBad, kStart + minutes(2)));
    CHECK(next.own().crashes.size() == 3);
  }
}

TEST_CASE("What an entry tells of crashes is bounded") {
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
  SECTION("what has stopped a request is kept") {
    CHECK(ledger.StoppedFor(kBad, kStart));
  }
  SECTION("the newest is kept") { CHECK(ledger.CrashesUnder(1995) == 1); }
}

/// Entries whose callers repeat one request that crashes its targets, among
/// others that run beside it. Reports are late; entries are killed and frozen.
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
        // Sometimes two at once, at two entries.
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
  /// Returns how often a request was stopped that had not run in three targets
  /// which crashed since its last answer.
  int wrongly_stopped() const { return wrongly_stopped_; }

 private:
  /// A report that an entry has not taken yet.
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
    // Each entry sees those of its own requests that ran there.
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
    // A call of the store, and the rest of another entry's watch.
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
  /// Answers are known to all entries by then, unless theirs were killed.
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

/// Guards against entries that each count alone, or lose the count with a
/// process.
TEST_CASE("A crashing request is stopped by all entries in random worlds") {
  const auto [entries, worlds] =
      GENERATE(table<int, int>({{1, 60}, {4, 60}, {20, 20}, {400, 1}}));
  INFO(entries << " entries");
  for (int seed = 1; seed <= worlds; ++seed) {
    CrashWorld world(static_cast<std::uint64_t>(seed), entries);
    world.Play();
    INFO("world " << seed);
    CHECK(world.crashes() >= testing::kCrashesToStop);
    CHECK(world.sent_on() <= testing::kSentOnAllowed);
    CHECK(world.wrongly_stopped() == 0);
  }
}

}  // namespace
}  // namespace indigolead
