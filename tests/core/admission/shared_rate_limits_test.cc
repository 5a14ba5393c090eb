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
/// Maximum age of the state from which the store returns a list of entries.
constexpr Duration kMaxListAge = seconds(3);
/// Maximum delay of a watch: the pause between two calls and the transfer.
constexpr Duration kMaxWatchLag = milliseconds(1600);

/// Simulates entries that share one target. Each entry has its own list of
/// entries with its own delay, and does not see the requests of the others.
class Fleet {
 public:
  Fleet(std::uint64_t seed, double limit,
        Duration answer_time = milliseconds(60))
      : random_(MakeSeededRandom(seed)),
        limit_(limit),
        answer_time_(answer_time) {}

  /// Adds an entry; `settled` if all others have known it for a long time.
  void Add(bool settled = false) {
    auto entry = std::make_unique<Entry>();
    entry->name = "front-" + std::to_string(next_name_++);
    entry->registered_at = settled ? now_ - seconds(60) : now_;
    entry->limits = std::make_unique<SharedRateLimits>(
        LimitShare::Options{}, MakeSeededRandom(random_()));
    entry->watch_lag = RandomBelow(kMaxWatchLag / kStep) * kStep;
    registered_.insert(entry->name);
    entries_.push_back(std::move(entry));
  }
  /// Kills an entry; its registration remains.
  void Kill() {
    entries_.erase(entries_.begin() + RandomBelow(entries_.size()));
  }
  /// Stops an entry gracefully, which first removes its registration.
  void Stop() {
    Entry& entry = *entries_[RandomBelow(entries_.size())];
    registered_.erase(entry.name);
    entry.registered_at.reset();
    DeliverList(&entry, {});
  }
  /// Replaces the process of an entry by a new one with the same name.
  void Restart() {
    Entry& entry = *entries_[RandomBelow(entries_.size())];
    entry.limits = std::make_unique<SharedRateLimits>(
        LimitShare::Options{}, MakeSeededRandom(random_()));
    entry.registered_at = now_;
    entry.learned_at.reset();
    entry.answers.clear();
  }
  void Freeze(Duration length) {
    entries_[RandomBelow(entries_.size())]->frozen_until = now_ + length;
  }
  /// Disconnects an entry from the store.
  void Disconnect(Duration length) {
    entries_[RandomBelow(entries_.size())]->disconnected_until = now_ + length;
  }
  void LoseStore(Duration length) { store_lost_until_ = now_ + length; }

  /// Simulates `length`; each entry has `per_second` requests per second for
  /// the target.
  void Run(Duration length, double per_second) {
    for (const TimePoint end = now_ + length; now_ < end; now_ += kStep) {
      history_.push_back({now_, registered_});
      while (history_.front().at + kMaxListAge + kStep < now_) {
        history_.pop_front();
      }
      for (const auto& it : entries_) {
        if (now_ >= it->frozen_until) {
          Step(it.get(), per_second);
        }
      }
    }
  }

  /// Returns the maximum number of arrivals that the limit rule counts in any
  /// span.
  int MaxArrivals() const {
    return advertised_at_
               ? testing::MaxInSpan(
                     counted_, *advertised_at_ + testing::kLimitGracePeriod)
               : 0;
  }
  /// From now on, the target is overloaded and its answers contain the limit.
  void BeginOverload() { overloaded_ = true; }
  void StartWithoutOverload() { overloaded_ = false; }

  /// Returns the maximum number of arrivals in any span that ends while the
  /// limit rule applies, from entries that know the limit by then. Counts
  /// arrivals from before they knew it as well.
  int MaxArrivalsFromStart() const {
    int most = 0;
    for (const Arrival& last : arrivals_) {
      if (!advertised_at_ ||
          last.at < *advertised_at_ + testing::kLimitGracePeriod) {
        continue;
      }
      const auto n = std::count_if(
          arrivals_.begin(), arrivals_.end(), [&](const Arrival& it) {
            const auto learned = learned_.find(it.entry);
            return it.at <= last.at && last.at - it.at < testing::kLimitSpan &&
                   learned != learned_.end() &&
                   last.at - learned->second >= testing::kLimitReaction;
          });
      most = std::max(most, static_cast<int>(n));
    }
    return most;
  }

  /// Returns the arrivals per second during the last `length`.
  double Rate(Duration length) const {
    const auto n = std::count_if(counted_.begin(), counted_.end(),
                                 [&](auto at) { return at >= now_ - length; });
    return static_cast<double>(n) /
           std::chrono::duration<double>(length).count();
  }
  std::uint64_t RandomBelow(std::uint64_t n) { return random_() % n; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::string name;
    std::optional<TimePoint> registered_at;
    std::unique_ptr<SharedRateLimits> limits;
    TimePoint list_at{};
    TimePoint frozen_until{};
    TimePoint disconnected_until{};
    Duration watch_lag{};
    std::size_t num_received = 0;  ///< Number of shared limits received.
    std::optional<TimePoint> learned_at;
    std::deque<TimePoint> answers;  ///< Times at which the answers arrive.
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

  void DeliverList(Entry* entry, const std::set<std::string>& names) {
    EntryView view{
        entry->name, {names.begin(), names.end()}, now_, entry->registered_at};
    if (names.count(entry->name) == 0) {
      view.names.push_back(entry->name);
    }
    entry->limits->OnEntries(std::move(view), now_);
  }

  /// Delivers the limits shared by others after the delay of the entry's watch.
  void DeliverSharedLimits(Entry* entry, bool disconnected) {
    while (!disconnected && entry->num_received < shared_.size() &&
           shared_[entry->num_received].at + entry->watch_lag <= now_) {
      entry->limits->OnShared("target", shared_[entry->num_received++].limit,
                              now_);
    }
  }

  void Step(Entry* entry, double per_second) {
    const bool disconnected =
        now_ < entry->disconnected_until || now_ < store_lost_until_;
    if (now_ >= entry->list_at && !disconnected) {
      entry->list_at = now_ + milliseconds(1000 + RandomBelow(1000));
      DeliverList(entry, history_[RandomBelow(history_.size())].names);
    }
    entry->limits->Tick(now_);
    DeliverSharedLimits(entry, disconnected);
    while (!entry->answers.empty() && entry->answers.front() <= now_) {
      const LimitNotice notice{
          overloaded_ ? std::optional(limit_) : std::nullopt, true,
          entry->answers.front() - answer_time_};
      entry->answers.pop_front();
      entry->limits->OnAnswer("target", notice, now_);
      if (entry->limits->ShouldShare("target", now_) && !disconnected) {
        shared_.push_back({now_, notice.limit});
      }
      if (overloaded_) {
        entry->learned_at = entry->learned_at.value_or(now_);
        learned_.emplace(entry->name, now_);
        advertised_at_ = advertised_at_.value_or(now_);
      }
    }
    const double step_s = std::chrono::duration<double>(kStep).count();
    const bool asked = ToUnitInterval(random_()) < per_second * step_s;
    if (asked && entry->limits->MaySend("target", now_)) {
      entry->limits->OnSent("target", now_);
      arrivals_.push_back({now_, entry->name});
      entry->answers.push_back(now_ + answer_time_);
      if (entry->learned_at &&
          now_ - *entry->learned_at >= testing::kLimitReaction) {
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
  std::optional<TimePoint> advertised_at_;
  std::vector<TimePoint> counted_;
  std::vector<Arrival> arrivals_;
  std::map<std::string, TimePoint> learned_;
  bool overloaded_ = true;
};

/// Guards against a limit that is kept on fleets of one size only.
TEST_CASE(
    "A target receives what its limit allows from fleets of 1 to 400 entries") {
  const std::size_t entries = GENERATE(1, 4, 26, 103, 400);
  const double limit = GENERATE(0.2, 1.0, 5.0, 40.0);
  INFO(entries << " entries, limit " << limit);
  Fleet fleet(entries, limit);
  for (std::size_t n = 0; n < entries; ++n) {
    fleet.Add(/*settled=*/true);
  }
  fleet.Run(seconds(40), /*per_second=*/50);
  CHECK(fleet.MaxArrivals() <= testing::MaxAllowedInSpan(limit));
  // The limit is used, not only kept.
  CHECK(fleet.Rate(seconds(20)) >= 0.5 * limit);
}

/// Guards against sending at the full limit to a target that received far more
/// than the limit in the seconds before it advertised it.
TEST_CASE("Requests sent just before a target advertises a limit count") {
  const std::size_t entries = GENERATE(1, 4, 5, 26, 103);
  const double limit = GENERATE(2.0, 5.0, 20.0);
  const double overload = GENERATE(1.0, 2.2);
  const Duration answer_time = GENERATE(milliseconds(60), milliseconds(800));
  INFO(entries << " entries, limit " << limit << ", load " << overload
               << ", answers after " << answer_time / milliseconds(1) << " ms");
  Fleet fleet(entries, limit, answer_time);
  fleet.StartWithoutOverload();
  for (std::size_t n = 0; n < entries; ++n) {
    fleet.Add(/*settled=*/true);
  }
  const double load = overload * limit / static_cast<double>(entries);
  fleet.Run(seconds(10), load);
  fleet.BeginOverload();
  fleet.Run(seconds(20), load);
  CHECK(fleet.MaxArrivalsFromStart() <= testing::MaxAllowedInSpan(limit));
}

/// Guards against an entry that continues at its share although it has just
/// sent more.
TEST_CASE("An entry that learns of a limit waits if it has sent too much") {
  SharedRateLimits limits({}, MakeSeededRandom(1));
  const TimePoint now{seconds(1000)};
  limits.OnEntries({"front-1", {"front-1"}, now, now - seconds(60)}, now);
  for (int n = 0; n < 20; ++n) {
    limits.OnSent("e1", now - milliseconds(1000 - 50 * n));
  }
  // Its share is 4 per second, or 16 in 4 s: 5 of the 20 requests must leave
  // the window first.
  limits.OnAnswer("e1", {5, true, now}, now);
  CHECK(limits.WaitFor("e1", now) >= milliseconds(3200));
  CHECK(limits.WaitFor("e1", now) <= seconds(4));
}

/// Guards against entries that learn of a limit only through requests of their
/// own, and against a limit that never ends because its end is not shared.
TEST_CASE("Entries share a limit and its end with each other") {
  SharedRateLimits limits({}, MakeSeededRandom(1));
  const TimePoint now{seconds(1000)};
  CHECK_FALSE(limits.ShouldShare("e1", now));
  limits.OnAnswer("e1", {5, true, now}, now);
  CHECK(limits.ShouldShare("e1", now));
  CHECK_FALSE(limits.ShouldShare("e1", now + seconds(1)));

  SECTION("again, until the shared limit is reported back") {
    CHECK(limits.ShouldShare("e1", now + seconds(2)));
  }
  SECTION("not while the shared limit is about the same") {
    limits.OnShared("e1", 5.2, now);
    CHECK_FALSE(limits.ShouldShare("e1", now + seconds(2)));
    limits.OnAnswer("e1", {3, true, now}, now);
    CHECK(limits.ShouldShare("e1", now + seconds(2)));
  }
  SECTION("the end of a limit is shared, and ends it for others") {
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

/// Guards against requests that accumulate while entries are idle and are then
/// sent together.
TEST_CASE("Idle entries that all receive requests at once send no burst") {
  const std::size_t entries = GENERATE(4, 26, 400);
  const double limit = GENERATE(0.2, 1.0, 5.0);
  INFO(entries << " entries, limit " << limit);
  Fleet fleet(entries, limit);
  for (std::size_t n = 0; n < entries; ++n) {
    fleet.Add(/*settled=*/true);
  }
  fleet.Run(seconds(5), 20);
  for (int n = 0; n < 4; ++n) {
    fleet.Run(seconds(60), 0);
    fleet.Run(seconds(3), 50);
  }
  CHECK(fleet.MaxArrivals() <= testing::MaxAllowedInSpan(limit));
}

/// Guards against exceeding a limit because the lists of entries differ, while
/// entries start, stop, freeze, restart and lose the store.
TEST_CASE("A limit is kept while the fleet changes at random") {
  int failures = 0;
  for (std::uint64_t seed = 1; seed <= 60 && failures < 5; ++seed) {
    const RandomSource random = MakeSeededRandom(seed);
    const double limits[] = {0.2, 1, 5, 20};
    const double limit = limits[random() % 4];
    Fleet fleet(seed, limit);
    const std::size_t entries = seed % 6 == 0 ? 200 : 2 + random() % 30;
    for (std::size_t n = 0; n < entries; ++n) {
      fleet.Add(/*settled=*/true);
    }
    for (int n = 0; n < 40; ++n) {
      fleet.Run(milliseconds(500 + random() % 1500),
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
          fleet.Disconnect(milliseconds(random() % 15000));
          break;
        default:
          fleet.LoseStore(milliseconds(random() % 8000));
      }
    }
    INFO("seed " << seed << ": " << entries << " entries at first, "
                 << fleet.size() << " at last, limit " << limit);
    CHECK(fleet.MaxArrivals() <= testing::MaxAllowedInSpan(limit));
    failures += fleet.MaxArrivals() <= testing::MaxAllowedInSpan(limit) ? 0 : 1;
  }
}

}  // namespace
}  // namespace indigolead
