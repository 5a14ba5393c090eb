#include "core/admission/shared_rate_limits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/base/random.h"
#include "tests/support/limit_rule.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
/// A list that the store answers from an older state.
constexpr Duration kMostStale = seconds(3);
/// The rest between two calls of a watch, and the way.
constexpr Duration kMostWatchLag = milliseconds(1600);

/// Entries that share one target, each by its own list of entries, which is
/// late in its own way. None sees what another sends.
class Fleet {
 public:
  Fleet(std::uint64_t seed, double limit,
        Duration answer_time = milliseconds(60))
      : random_(MakeSeededRandom(seed)),
        limit_(limit),
        answer_time_(answer_time) {}

  /// Adds an entry; `settled` if everybody has known it for long.
  void Add(bool settled = false) {
    auto entry = std::make_unique<Entry>();
    entry->name = "front-" + std::to_string(next_name_++);
    entry->registered_at = settled ? now_ - seconds(60) : now_;
    entry->limits = std::make_unique<SharedRateLimits>(
        LimitShare::Options{}, MakeSeededRandom(random_()));
    entry->watch_lag = Below(kMostWatchLag / kStep) * kStep;
    registered_.insert(entry->name);
    entries_.push_back(std::move(entry));
  }
  /// An entry dies; its registration stays.
  void Kill() { entries_.erase(entries_.begin() + Below(entries_.size())); }
  /// An entry stops: its registration goes first.
  void Stop() {
    Entry& entry = *entries_[Below(entries_.size())];
    registered_.erase(entry.name);
    entry.registered_at.reset();
    Tell(&entry, {});
  }
  /// A process dies and another one of its name comes in its place.
  void Restart() {
    Entry& entry = *entries_[Below(entries_.size())];
    entry.limits = std::make_unique<SharedRateLimits>(
        LimitShare::Options{}, MakeSeededRandom(random_()));
    entry.registered_at = now_;
    entry.told_at.reset();
    entry.answers.clear();
  }
  void Freeze(Duration length) {
    entries_[Below(entries_.size())]->frozen_until = now_ + length;
  }
  /// An entry loses the store.
  void Cut(Duration length) {
    entries_[Below(entries_.size())]->cut_until = now_ + length;
  }
  void LoseStore(Duration length) { store_lost_until_ = now_ + length; }

  /// Plays `length`; each entry has `per_second` requests for the target.
  void Play(Duration length, double per_second) {
    for (const TimePoint end = now_ + length; now_ < end; now_ += kStep) {
      history_.push_back({now_, registered_});
      while (history_.front().at + kMostStale + kStep < now_) {
        history_.pop_front();
      }
      for (const auto& it : entries_) {
        if (now_ >= it->frozen_until) {
          Act(it.get(), per_second);
        }
      }
    }
  }

  /// Returns the most arrivals that the rule counts in any span.
  int Most() const {
    return named_at_ ? testing::MostInSpan(counted_,
                                           *named_at_ + testing::kLimitContact)
                     : 0;
  }
  /// The target is in need from now on, and was not before.
  void BeginNeed() { in_need_ = true; }
  void HaveNoNeed() { in_need_ = false; }

  /// Returns the most arrivals in any span that ends once the rule holds, from
  /// entries that had been told by then; also those from before.
  int MostFromTheStart() const {
    int most = 0;
    for (const Arrival& last : arrivals_) {
      if (!named_at_ || last.at < *named_at_ + testing::kLimitContact) {
        continue;
      }
      const auto n = std::count_if(
          arrivals_.begin(), arrivals_.end(), [&](const Arrival& it) {
            const auto told = told_.find(it.entry);
            return it.at <= last.at && last.at - it.at < testing::kLimitSpan &&
                   told != told_.end() &&
                   last.at - told->second >= testing::kLimitTold;
          });
      most = std::max(most, static_cast<int>(n));
    }
    return most;
  }

  /// Returns the arrivals of the last `length`, a second.
  double Rate(Duration length) const {
    const auto n = std::count_if(counted_.begin(), counted_.end(),
                                 [&](auto at) { return at >= now_ - length; });
    return static_cast<double>(n) /
           std::chrono::duration<double>(length).count();
  }
  std::uint64_t Below(std::uint64_t n) { return random_() % n; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::string name;
    std::optional<TimePoint> registered_at;
    std::unique_ptr<SharedRateLimits> limits;
    TimePoint list_at{};
    TimePoint frozen_until{};
    TimePoint cut_until{};
    Duration watch_lag{};
    std::size_t heard = 0;  ///< Of what was shared.
    std::optional<TimePoint> told_at;
    std::deque<TimePoint> answers;  ///< Of requests sent, when they come.
  };
  struct Arrival {
    TimePoint at;
    std::string entry;
  };
  struct SharedLimit {
    TimePoint at;
    std::optional<double> limit;
  };
  struct Listed {
    TimePoint at;
    std::set<std::string> names;
  };

  void Tell(Entry* entry, const std::set<std::string>& names) {
    EntryView view{
        entry->name, {names.begin(), names.end()}, now_, entry->registered_at};
    if (names.count(entry->name) == 0) {
      view.names.push_back(entry->name);
    }
    entry->limits->OnEntries(std::move(view), now_);
  }

  /// The entry's watch tells it what others have shared, some time later.
  void HearShared(Entry* entry, bool cut) {
    while (!cut && entry->heard < shared_.size() &&
           shared_[entry->heard].at + entry->watch_lag <= now_) {
      entry->limits->OnShared("target", shared_[entry->heard++].limit, now_);
    }
  }

  void Act(Entry* entry, double per_second) {
    const bool cut = now_ < entry->cut_until || now_ < store_lost_until_;
    if (now_ >= entry->list_at && !cut) {
      entry->list_at = now_ + milliseconds(1000 + Below(1000));
      Tell(entry, history_[Below(history_.size())].names);
    }
    entry->limits->Tick(now_);
    HearShared(entry, cut);
    while (!entry->answers.empty() && entry->answers.front() <= now_) {
      const LimitNotice notice{in_need_ ? std::optional(limit_) : std::nullopt,
                               true, entry->answers.front() - answer_time_};
      entry->answers.pop_front();
      entry->limits->OnAnswer("target", notice, now_);
      if (entry->limits->ShouldShare("target", now_) && !cut) {
        shared_.push_back({now_, notice.limit});
      }
      if (in_need_) {
        entry->told_at = entry->told_at.value_or(now_);
        told_.emplace(entry->name, now_);
        named_at_ = named_at_.value_or(now_);
      }
    }
    const double step_s = std::chrono::duration<double>(kStep).count();
    const bool asked = ToUnitInterval(random_()) < per_second * step_s;
    if (asked && entry->limits->MaySend("target", now_)) {
      entry->limits->OnSent("target", now_);
      arrivals_.push_back({now_, entry->name});
      entry->answers.push_back(now_ + answer_time_);
      if (entry->told_at && now_ - *entry->told_at >= testing::kLimitTold) {
        counted_.push_back(now_);
      }
    }
  }

  RandomSource random_;
  double limit_;
  Duration answer_time_;
  TimePoint now_{seconds(1000)};
  std::uint64_t next_name_ = 0;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::set<std::string> registered_;
  std::deque<Listed> history_;
  TimePoint store_lost_until_{};
  std::vector<SharedLimit> shared_;
  std::optional<TimePoint> named_at_;
  std::vector<TimePoint> counted_;
  std::vector<Arrival> arrivals_;
  std::map<std::string, TimePoint> told_;
  bool in_need_ = true;
};

/// Guards against a limit that holds on a fleet of one size only.
TEST_CASE("A target gets what its limit allows from 4 entries and from 400") {
  const std::size_t entries = GENERATE(1, 4, 26, 103, 400);
  const double limit = GENERATE(0.2, 1.0, 5.0, 40.0);
  INFO(entries << " entries, limit " << limit);
  Fleet fleet(entries, limit);
  for (std::size_t n = 0; n < entries; ++n) {
    fleet.Add(/*settled=*/true);
  }
  fleet.Play(seconds(40), /*per_second=*/50);
  CHECK(fleet.Most() <= testing::MostAllowed(limit));
  // What the target takes is used.
  CHECK(fleet.Rate(seconds(20)) >= 0.5 * limit);
}

/// Guards against a target that has had far more than its limit in the seconds
/// in which it names it, and goes on getting all of the limit.
TEST_CASE("What a target got just before it named a limit counts") {
  const std::size_t entries = GENERATE(1, 4, 5, 26, 103);
  const double limit = GENERATE(2.0, 5.0, 20.0);
  const double overload = GENERATE(1.0, 2.2);
  const Duration answer_time = GENERATE(milliseconds(60), milliseconds(800));
  INFO(entries << " entries, limit " << limit << ", load " << overload
               << ", answers after " << answer_time / milliseconds(1) << " ms");
  Fleet fleet(entries, limit, answer_time);
  fleet.HaveNoNeed();
  for (std::size_t n = 0; n < entries; ++n) {
    fleet.Add(/*settled=*/true);
  }
  const double load = overload * limit / static_cast<double>(entries);
  fleet.Play(seconds(10), load);
  fleet.BeginNeed();
  fleet.Play(seconds(20), load);
  CHECK(fleet.MostFromTheStart() <= testing::MostAllowed(limit));
}

/// Guards against an entry that goes on at its share though it has just sent
/// more than that.
TEST_CASE("An entry that is told of a limit waits for what it has just sent") {
  SharedRateLimits limits({}, MakeSeededRandom(1));
  const TimePoint now{seconds(1000)};
  limits.OnEntries({"front-1", {"front-1"}, now, now - seconds(60)}, now);
  for (int n = 0; n < 20; ++n) {
    limits.OnSent("e1", now - milliseconds(1000 - 50 * n));
  }
  // Its share is 4 a second, 16 in 4 s: five of 20 must be past first.
  limits.OnAnswer("e1", {5, true, now}, now);
  CHECK(limits.WaitFor("e1", now) >= milliseconds(3200));
  CHECK(limits.WaitFor("e1", now) <= seconds(4));
}

/// Guards against a limit that each entry must find out for itself, and against
/// one that is believed for ever since nobody tells of its end.
TEST_CASE("Entries tell each other of a limit and of its end") {
  SharedRateLimits limits({}, MakeSeededRandom(1));
  const TimePoint now{seconds(1000)};
  CHECK_FALSE(limits.ShouldShare("e1", now));
  limits.OnAnswer("e1", {5, true, now}, now);
  CHECK(limits.ShouldShare("e1", now));
  CHECK_FALSE(limits.ShouldShare("e1", now + seconds(1)));

  SECTION("again, while the others do not show it") {
    CHECK(limits.ShouldShare("e1", now + seconds(2)));
  }
  SECTION("not while they show about the same") {
    limits.OnShared("e1", 5.2, now);
    CHECK_FALSE(limits.ShouldShare("e1", now + seconds(2)));
    limits.OnAnswer("e1", {3, true, now}, now);
    CHECK(limits.ShouldShare("e1", now + seconds(2)));
  }
  SECTION("and of its end, which the others then believe") {
    limits.OnShared("e1", 5, now);
    limits.OnAnswer("e1", {std::nullopt, true, now}, now);
    limits.OnAnswer("e1", {std::nullopt, true, now}, now);
    CHECK(limits.ShouldShare("e1", now + seconds(2)));
    CHECK(limits.OnShared("e1", std::nullopt, now) == std::nullopt);
    CHECK(limits.OnShared("e1", 5, now) == LimitChange{std::nullopt, 5});
    CHECK(limits.OnShared("e1", std::nullopt, now) ==
          LimitChange{5, std::nullopt});
  }
}

/// Guards against requests that entries save up in silence and send together.
TEST_CASE("Entries that fall silent and are all asked at once send no burst") {
  const std::size_t entries = GENERATE(4, 26, 400);
  const double limit = GENERATE(0.2, 1.0, 5.0);
  INFO(entries << " entries, limit " << limit);
  Fleet fleet(entries, limit);
  for (std::size_t n = 0; n < entries; ++n) {
    fleet.Add(/*settled=*/true);
  }
  fleet.Play(seconds(5), 20);
  for (int n = 0; n < 4; ++n) {
    fleet.Play(seconds(60), 0);
    fleet.Play(seconds(3), 50);
  }
  CHECK(fleet.Most() <= testing::MostAllowed(limit));
}

/// Guards against shares by lists of entries that differ, while entries come,
/// go, freeze, start anew and lose the store.
TEST_CASE("A limit holds while the fleet changes, in random worlds") {
  int broken = 0;
  for (std::uint64_t seed = 1; seed <= 60 && broken < 5; ++seed) {
    const RandomSource random = MakeSeededRandom(seed);
    const double limits[] = {0.2, 1, 5, 20};
    const double limit = limits[random() % 4];
    Fleet fleet(seed, limit);
    const std::size_t entries = seed % 6 == 0 ? 200 : 2 + random() % 30;
    for (std::size_t n = 0; n < entries; ++n) {
      fleet.Add(/*settled=*/true);
    }
    for (int n = 0; n < 40; ++n) {
      fleet.Play(milliseconds(500 + random() % 1500),
                 random() % 3 == 0 ? 0 : 20);
      switch (random() % 7) {
        case 0:
          for (std::size_t add = 1 + random() % entries; add > 0; --add) {
            fleet.Add();
          }
          break;
        case 1:
          if (fleet.size() > 1) {
            fleet.Kill();
          }
          break;
        case 2:
          fleet.Stop();
          break;
        case 3:
          fleet.Freeze(milliseconds(random() % 8000));
          break;
        case 4:
          fleet.Restart();
          break;
        case 5:
          fleet.Cut(milliseconds(random() % 15000));
          break;
        default:
          fleet.LoseStore(milliseconds(random() % 8000));
      }
    }
    INFO("world " << seed << ": " << entries << " entries at first, "
                  << fleet.size() << " at last, limit " << limit);
    CHECK(fleet.Most() <= testing::MostAllowed(limit));
    broken += fleet.Most() <= testing::MostAllowed(limit) ? 0 : 1;
  }
}

}  // namespace
}  // namespace indigolead
