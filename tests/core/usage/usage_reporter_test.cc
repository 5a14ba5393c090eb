#include "core/usage/usage_reporter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/base/random.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ReadFinalized = UsageReporter::ReadFinalized;
using ListEntries = UsageReporter::ListEntries;
using WriteFinalized = UsageReporter::WriteFinalized;
using Send = UsageReporter::Send;

constexpr WallMicros kSecond = 1'000'000;
constexpr UsageWindow kWindow = 353'445'120;
constexpr WallMicros kBegin = kWindow * 5 * kSecond;

UsageReporter::Options FiveSeconds() {
  UsageReporter::Options options;
  options.window = seconds(5);
  options.due_after = seconds(10);
  options.collect_after = seconds(2);
  options.due_margin = milliseconds(2500);
  options.abandon_after = seconds(120);
  options.collector.window = seconds(5);
  options.collector.silent_after = seconds(10);
  return options;
}

EntryUsage Entry(const std::string& name, WallMicros until,
                 std::vector<WindowCounts> windows) {
  return {name,  Incarnation{{1, 1}}, kBegin - 60 * kSecond, until,
          false, std::move(windows)};
}

Error TimeoutError() {
  return {ErrorCode::kTimeout, "store.put", "store", "lost"};
}

/// A lease holder whose steps the test completes. `at` is in seconds after the
/// start of the window `kWindow`.
class Holder {
 public:
  std::optional<UsageReporter::Action> Tick(double at,
                                            FencingNumber number = 7) {
    auto step = reporter.Tick(number, Calendar(at), Boot(at));
    if (!step) {
      return std::nullopt;
    }
    ticket = step->ticket;
    return step->action;
  }

  void OnRead(double at, std::optional<UsageReporter::FinalizedView> view) {
    reporter.OnFinalizedRead(ticket, view, Boot(at));
  }
  void OnListed(double at, std::vector<EntryUsage> entries) {
    reporter.OnEntriesListed(ticket, std::move(entries), Boot(at));
  }

  static WallMicros Calendar(double at) {
    return kBegin + static_cast<WallMicros>(at * kSecond);
  }
  static TimePoint Boot(double at) {
    return TimePoint{seconds(1000)} + std::chrono::duration_cast<Duration>(
                                          std::chrono::duration<double>(at));
  }

  UsageReporter reporter{FiveSeconds()};
  std::uint64_t ticket = 0;
};

const WindowCounts kCounts{kWindow, {{"salon", 3}}};

TEST_CASE("A report is finalized before it is sent") {
  Holder holder;
  CHECK(holder.Tick(1) == UsageReporter::Action(ReadFinalized{}));
  holder.OnRead(1, std::nullopt);

  SECTION("the first holder lists the records once for each window") {
    REQUIRE(holder.Tick(1.9) == UsageReporter::Action(ListEntries{}));
    holder.OnListed(1.9, {});
    CHECK_FALSE(holder.Tick(1.95));
    REQUIRE(holder.Tick(2.1) == UsageReporter::Action(ListEntries{}));
    holder.OnListed(2.1, {});
    CHECK_FALSE(holder.Tick(2.2));
    CHECK_FALSE(holder.Tick(6.9));
    CHECK(holder.Tick(7.1) == UsageReporter::Action(ListEntries{}));
  }
  SECTION("no step is requested before the window can be collected") {
    REQUIRE(holder.Tick(1.9) == UsageReporter::Action(ListEntries{}));
    holder.OnListed(1.9, {Entry("front-1", Holder::Calendar(1), {kCounts})});
    CHECK_FALSE(holder.Tick(2));
    CHECK_FALSE(holder.Tick(6.9));
    CHECK(holder.Tick(7.1) == UsageReporter::Action(ListEntries{}));
  }
  SECTION("the report is made from the records of all entries") {
    REQUIRE(holder.Tick(7.1) == UsageReporter::Action(ListEntries{}));
    holder.OnListed(7.1, {Entry("front-1", Holder::Calendar(5.1), {kCounts})});
    const WriteFinalized write{{{kCounts}}, 0};
    REQUIRE(holder.Tick(7.2) == UsageReporter::Action(write));

    SECTION("it is sent once it is stored") {
      CHECK_FALSE(holder.Tick(7.3));
      holder.reporter.OnFinalizedWritten(holder.ticket, std::uint64_t{40},
                                         Holder::Boot(7.3));
      CHECK(holder.reporter.TakeFinalizedReport() ==
            UsageReporter::FinalizedReport{kWindow, true});
      REQUIRE(holder.Tick(7.4) == UsageReporter::Action(Send{kCounts, 7}));
      holder.reporter.OnReported(holder.ticket, ReportOutcome::kDelivered,
                                 Holder::Boot(7.4));
      CHECK_FALSE(holder.Tick(11.9));
      CHECK(holder.Tick(12.1) == UsageReporter::Action(ListEntries{}));
    }
    SECTION("a write without a reply is followed by a read before sending") {
      holder.reporter.OnFinalizedWritten(holder.ticket, TimeoutError(),
                                         Holder::Boot(8));
      CHECK_FALSE(holder.Tick(8.5));
      REQUIRE(holder.Tick(9.1) == UsageReporter::Action(ReadFinalized{}));
      holder.OnRead(9.1, UsageReporter::FinalizedView{{{kCounts}}, 40});
      CHECK(holder.Tick(9.2) == UsageReporter::Action(Send{kCounts, 7}));
    }
    SECTION("it is not sent after the lease was lost") {
      CHECK_FALSE(holder.reporter.Tick(std::nullopt, Holder::Calendar(7.3),
                                       Holder::Boot(7.3)));
      holder.reporter.OnFinalizedWritten(holder.ticket, std::uint64_t{40},
                                         Holder::Boot(7.4));
      CHECK_FALSE(holder.reporter.Tick(std::nullopt, Holder::Calendar(7.5),
                                       Holder::Boot(7.5)));
      // Under a new fencing number it reads the stored reports again.
      CHECK(holder.Tick(7.6, 9) == UsageReporter::Action(ReadFinalized{}));
    }
  }
}

// A holder was killed, paused or cut off after it had finalized a report. The
// next holder cannot know whether it was sent, and sent reports cannot be read
// back.
TEST_CASE("A successor sends the finalized report unchanged") {
  Holder holder;
  REQUIRE(holder.Tick(8));
  holder.OnRead(8, UsageReporter::FinalizedView{{{kCounts}}, 40});
  REQUIRE(holder.Tick(8.1) == UsageReporter::Action(Send{kCounts, 7}));

  SECTION("it is repeated until its outcome is known") {
    holder.reporter.OnReported(holder.ticket, ReportOutcome::kUnknown,
                               Holder::Boot(8.2));
    CHECK_FALSE(holder.Tick(8.3));
    CHECK(holder.Tick(9.3) == UsageReporter::Action(Send{kCounts, 7}));
  }
  SECTION("the next window follows after delivery") {
    holder.reporter.OnReported(holder.ticket, ReportOutcome::kDelivered,
                               Holder::Boot(8.2));
    REQUIRE(holder.Tick(12.1) == UsageReporter::Action(ListEntries{}));
    // Later counts do not change a finalized report.
    const WindowCounts more{kWindow, {{"salon", 4}}};
    const WindowCounts next{kWindow + 1, {{"owner", 1}}};
    holder.OnListed(12.1,
                    {Entry("front-1", Holder::Calendar(11), {more, next})});
    CHECK(holder.Tick(12.2) ==
          UsageReporter::Action(WriteFinalized{{{next}}, 40}));
    holder.reporter.OnFinalizedWritten(holder.ticket, std::uint64_t{41},
                                       Holder::Boot(12.2));
    CHECK(holder.reporter.TakeLateRequests() == 1);
  }
  SECTION("a permanently refused report is abandoned") {
    holder.reporter.OnReported(holder.ticket, ReportOutcome::kRefused,
                               Holder::Boot(8.2));
    CHECK(holder.reporter.TakeAbandoned() == std::vector<UsageWindow>{kWindow});
    CHECK_FALSE(holder.Tick(8.3));
  }
}

// An entry process that was killed in the window reports nothing more. The
// holder cannot distinguish it from a slow one.
TEST_CASE("A report waits for a silent entry only until it must be sent") {
  Holder holder;
  REQUIRE(holder.Tick(6));
  holder.OnRead(6, std::nullopt);
  const std::vector<EntryUsage> entries{
      Entry("front-1", Holder::Calendar(5.1), {kCounts}),
      Entry("front-2", Holder::Calendar(2.5), {{kWindow, {{"salon", 1}}}})};
  REQUIRE(holder.Tick(7.1) == UsageReporter::Action(ListEntries{}));
  holder.OnListed(7.1, entries);
  CHECK_FALSE(holder.Tick(7.2));
  REQUIRE(holder.Tick(8.3) == UsageReporter::Action(ListEntries{}));

  SECTION("it is finalized at once when the entry has reported") {
    auto told = entries;
    told[1].counted_until = Holder::Calendar(5.2);
    told[1].windows = {{kWindow, {{"salon", 2}}}};
    holder.OnListed(8.3, told);
    CHECK(holder.Tick(8.4) == UsageReporter::Action(WriteFinalized{
                                  {{{kWindow, {{"salon", 5}}}}}, 0}));
  }
  SECTION("it is finalized without the entry in time to be sent") {
    holder.OnListed(8.3, entries);
    REQUIRE_FALSE(holder.Tick(8.4));
    REQUIRE(holder.Tick(12.5) == UsageReporter::Action(ListEntries{}));
    holder.OnListed(12.5, entries);
    CHECK(holder.Tick(12.6) == UsageReporter::Action(WriteFinalized{
                                   {{{kWindow, {{"salon", 4}}}}}, 0}));
    holder.reporter.OnFinalizedWritten(holder.ticket, std::uint64_t{40},
                                       Holder::Boot(12.6));
    CHECK(holder.reporter.TakeFinalizedReport() ==
          UsageReporter::FinalizedReport{kWindow, false});
  }
}

// Windows may be shorter than the time needed to collect their counts. The next
// window is then always over before a window can be collected.
TEST_CASE("Windows shorter than the collection time are reported") {
  UsageReporter::Options options = FiveSeconds();
  options.window = seconds(1);
  options.collector.window = seconds(1);
  UsageReporter reporter(options);
  const WindowCounts counts{kWindow * 5, {{"salon", 3}}};
  auto step = reporter.Tick(7, Holder::Calendar(4.5), Holder::Boot(4.5));
  REQUIRE(step);
  reporter.OnFinalizedRead(step->ticket,
                           std::optional<UsageReporter::FinalizedView>(),
                           Holder::Boot(4.5));
  step = reporter.Tick(7, Holder::Calendar(4.6), Holder::Boot(4.6));
  REQUIRE(step);
  REQUIRE(step->action == UsageReporter::Action(ListEntries{}));
  reporter.OnEntriesListed(
      step->ticket,
      std::vector<EntryUsage>{Entry("front-1", Holder::Calendar(4), {counts})},
      Holder::Boot(4.6));
  step = reporter.Tick(7, Holder::Calendar(4.7), Holder::Boot(4.7));
  REQUIRE(step);
  CHECK(step->action == UsageReporter::Action(WriteFinalized{{{counts}}, 0}));
}

/// Simulates entry processes, lease holders, a store and a receiver with random
/// faults.
///
/// Time advances in steps of 100 ms. Entry processes count requests and write
/// records; some are killed before their counts are written. The lease moves
/// between holders, some of which are paused with steps in flight. The store
/// loses replies and applies some writes seconds late if their condition still
/// holds. The receiver loses replies and is unavailable at times.
class World {
 public:
  explicit World(std::uint64_t seed) : random_(MakeSeededRandom(seed)) {
    for (int n = 0; n < 3; ++n) {
      holders_.push_back(std::make_unique<LeaseHolder>());
    }
    for (int n = 0; n < 4; ++n) {
      entries_.push_back({"front-" + std::to_string(n), 0, {}, {}, 0});
    }
  }

  void Run(bool kills) {
    for (now_ = 0; now_ < 1200; ++now_) {
      InjectFaults();
      for (std::size_t it = 0; it < entries_.size(); ++it) {
        Count(&entries_[it], kills);
      }
      ApplyPendingWrites();
      for (auto& it : holders_) {
        StepHolder(it.get());
      }
    }
    // Runs without faults for long enough to catch up.
    receiver_down_until_ = 0;
    store_down_until_ = 0;
    for (; now_ < 1500; ++now_) {
      for (auto& it : entries_) {
        Count(&it, false);
      }
      ApplyPendingWrites();
      for (auto& it : holders_) {
        it->paused_until = 0;
        StepHolder(it.get());
      }
    }
  }

  const std::map<UsageWindow, std::map<std::string, std::uint64_t>>& reported()
      const {
    return reported_;
  }
  const std::map<UsageWindow, std::map<std::string, std::uint64_t>>& truth()
      const {
    return truth_;
  }
  const std::vector<std::string>& violations() const { return violations_; }
  int late_writes() const { return late_writes_; }

 private:
  struct LeaseHolder {
    UsageReporter reporter{FiveSeconds()};
    int paused_until = 0;
  };
  struct EntryState {
    std::string name;
    int starts = 0;
    std::map<UsageWindow, std::map<std::string, std::uint64_t>> counted;
    EntryUsage written;
    int store_cut_until = 0;  ///< Writes no record until then.
  };
  /// A write that is not yet applied.
  struct Pending {
    int at = 0;
    FinalizedUsage value;
    std::uint64_t expected = 0;
  };

  bool Chance(double p) { return ToUnitInterval(random_()) < p; }
  int Below(std::uint32_t n) {
    return static_cast<int>(ToBoundedInteger(random_(), n));
  }
  WallMicros Calendar() const { return kBegin + now_ * kSecond / 10; }
  TimePoint Boot() const {
    return TimePoint{seconds(1000)} + now_ * milliseconds(100);
  }

  void InjectFaults() {
    // The lease moves to another holder, possibly after a time without one.
    if (Chance(0.008)) {
      holder_ = Below(3);
      number_ += 1 + Below(5);
      held_from_ = now_ + Below(60);
    }
    if (Chance(0.01)) {
      holders_[Below(3)]->paused_until = now_ + Below(60);
    }
    if (Chance(0.01)) {
      store_down_until_ = now_ + Below(40);
    }
    if (Chance(0.01)) {
      receiver_down_until_ = now_ + Below(40);
    }
  }

  void Count(EntryState* entry, bool kills) {
    const UsageWindow window = WindowAt(Calendar(), seconds(5));
    if (Chance(0.5)) {
      const std::string account = "account-" + std::to_string(Below(6));
      ++entry->counted[window][account];
      ++truth_[window][account];
    }
    if (kills && Chance(0.01)) {
      entry->store_cut_until = now_ + Below(200);
    }
    const int phase = now_ % 50;
    if ((phase == 5 || phase == 30) && now_ >= entry->store_cut_until) {
      entry->written = {entry->name, Incarnation{{1, 1}}, 0, Calendar(), false,
                        {}};
      for (const auto& [k, requests] : entry->counted) {
        entry->written.windows.push_back({k, requests});
      }
      entry->written.started_at = entry->starts;
    }
    if (kills && Chance(0.004)) {
      killed_records_.push_back(entry->written);
      entry->counted.clear();
      entry->written = {entry->name,     Incarnation{{1, 1}},
                        ++entry->starts, Calendar(),
                        false,           {}};
    }
  }

  /// Applies the pending writes that are due.
  void ApplyPendingWrites() {
    for (std::size_t it = 0; it < pending_.size();) {
      if (pending_[it].at > now_) {
        ++it;
        continue;
      }
      if (pending_[it].expected == version_) {
        stored_ = pending_[it].value;
        version_ += 1;
        ++late_writes_;
      }
      pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(it));
    }
  }

  void StepHolder(LeaseHolder* lease_holder) {
    if (now_ < lease_holder->paused_until) {
      return;
    }
    const bool holds =
        holders_[holder_].get() == lease_holder && now_ >= held_from_;
    const auto number =
        holds ? std::optional<FencingNumber>(number_) : std::nullopt;
    const auto step = lease_holder->reporter.Tick(number, Calendar(), Boot());
    if (!step) {
      return;
    }
    if (std::holds_alternative<ReadFinalized>(step->action)) {
      Read(lease_holder, step->ticket);
    } else if (std::holds_alternative<ListEntries>(step->action)) {
      List(lease_holder, step->ticket);
    } else if (const auto* write = std::get_if<WriteFinalized>(&step->action)) {
      Write(lease_holder, step->ticket, *write);
    } else {
      Receive(lease_holder, step->ticket, std::get<Send>(step->action));
    }
  }

  bool StoreFails() { return now_ < store_down_until_ && Chance(0.8); }

  void Read(LeaseHolder* lease_holder, std::uint64_t ticket) {
    Result<std::optional<UsageReporter::FinalizedView>> answer =
        std::optional<UsageReporter::FinalizedView>();
    if (StoreFails()) {
      answer = TimeoutError();
    } else if (version_ > 0) {
      answer = std::optional(UsageReporter::FinalizedView{stored_, version_});
    }
    lease_holder->reporter.OnFinalizedRead(ticket, answer, Boot());
  }

  void List(LeaseHolder* lease_holder, std::uint64_t ticket) {
    if (StoreFails()) {
      lease_holder->reporter.OnEntriesListed(ticket, TimeoutError(), Boot());
      return;
    }
    std::vector<EntryUsage> entries = killed_records_;
    for (const EntryState& it : entries_) {
      entries.push_back(it.written);
    }
    lease_holder->reporter.OnEntriesListed(ticket, entries, Boot());
  }

  void Write(LeaseHolder* lease_holder, std::uint64_t ticket,
             const WriteFinalized& write) {
    if (StoreFails()) {
      // Applied without a reply, applied late, or never applied.
      const int outcome = Below(3);
      if (outcome < 2) {
        pending_.push_back(
            {now_ + outcome * (10 + Below(50)), write.value, write.expected});
      }
      lease_holder->reporter.OnFinalizedWritten(ticket, TimeoutError(), Boot());
      return;
    }
    if (write.expected != version_) {
      lease_holder->reporter.OnFinalizedWritten(
          ticket, Error{ErrorCode::kConflict, "store.put", "store", "0"},
          Boot());
      return;
    }
    stored_ = write.value;
    lease_holder->reporter.OnFinalizedWritten(ticket, ++version_, Boot());
  }

  void Receive(LeaseHolder* lease_holder, std::uint64_t ticket,
               const Send& send) {
    const bool away = now_ < receiver_down_until_;
    if (away && Chance(0.5)) {
      lease_holder->reporter.OnReported(ticket, ReportOutcome::kUnknown,
                                        Boot());
      return;
    }
    if (send.number < highest_) {
      violations_.push_back("a fencing number decreased");
    }
    highest_ = std::max(highest_, send.number);
    const auto [it, first] =
        reported_.emplace(send.report.window, send.report.requests);
    if (!first && it->second != send.report.requests) {
      violations_.push_back("two different reports for a window");
    }
    if (Calendar() < StartOf(send.report.window + 1, seconds(5))) {
      violations_.push_back("a report before the end of its window");
    }
    lease_holder->reporter.OnReported(
        ticket, away ? ReportOutcome::kUnknown : ReportOutcome::kDelivered,
        Boot());
  }

  RandomSource random_;
  int now_ = 0;  ///< In tenths of a second.
  std::vector<std::unique_ptr<LeaseHolder>> holders_;
  std::vector<EntryState> entries_;
  std::vector<EntryUsage> killed_records_;  ///< Records of killed incarnations.
  std::size_t holder_ = 0;
  FencingNumber number_ = 1;
  int held_from_ = 0;
  int store_down_until_ = 0;
  int receiver_down_until_ = 0;
  FinalizedUsage stored_;
  std::uint64_t version_ = 0;
  std::vector<Pending> pending_;
  int late_writes_ = 0;
  FencingNumber highest_ = 0;
  std::map<UsageWindow, std::map<std::string, std::uint64_t>> reported_;
  std::map<UsageWindow, std::map<std::string, std::uint64_t>> truth_;
  std::vector<std::string> violations_;
};

std::uint64_t Sum(const std::map<std::string, std::uint64_t>& requests) {
  std::uint64_t sum = 0;
  for (const auto& [account, n] : requests) {
    sum += n;
  }
  return sum;
}

TEST_CASE("Each window has one report content under random faults") {
  int total_late_writes = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    World world(seed);
    world.Run(/*kills=*/true);
    CHECK(world.violations() == std::vector<std::string>{});
    total_late_writes += world.late_writes();
    // All windows except the last ones, which are not over yet.
    REQUIRE(world.reported().size() + 2 >= world.truth().size());
    for (const auto& [window, requests] : world.reported()) {
      // A kill loses counts that were not written; no counts are added.
      for (const auto& [account, n] : requests) {
        CHECK(n <= world.truth().at(window).at(account));
      }
    }
  }
  CHECK(total_late_writes > 100);
}

TEST_CASE("Reports are exact if no entry is killed") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    World world(seed);
    world.Run(/*kills=*/false);
    CHECK(world.violations() == std::vector<std::string>{});
    for (const auto& [window, requests] : world.reported()) {
      CHECK(Sum(requests) == Sum(world.truth().at(window)));
      CHECK(requests == world.truth().at(window));
    }
  }
}

}  // namespace
}  // namespace indigolead
