#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <queue>
#include <vector>

#include "core/placement/engine_placement.h"

namespace indigolead {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

Duration Ms(double ms) {
  return duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

/// A scheduled event of the simulation.
struct Event {
  TimePoint at;
  std::function<void()> action;

  bool operator>(const Event& other) const { return at > other.at; }
};

/// Simulates four independent entry processes that share five prefill and three
/// decode engines. The engine times are as measured on such engines.
class BurstSimulation {
 public:
  explicit BurstSimulation(double max_target_share)
      : random_(MakeSeededRandom(5)) {
    EnginePlacement::Options options;
    options.max_target_share = max_target_share;
    for (int n = 0; n < 4; ++n) {
      entries_.emplace_back(options, MakeSeededRandom(n));
    }
    for (int n = 0; n < 8; ++n) {
      engines_.push_back({"e" + std::to_string(n), "a",
                          n < 5 ? EngineRole::kPrefill : EngineRole::kDecode});
    }
  }

  /// Simulates ten seconds at `rate` requests a second in total and returns the
  /// share of requests whose answer begins within its target.
  double ShareInTime(double rate) {
    for (std::size_t n = 0; n < entries_.size(); ++n) {
      ScheduleArrival(n, rate / static_cast<double>(entries_.size()));
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    return static_cast<double>(in_time_) / static_cast<double>(arrived_);
  }

 private:
  static constexpr double kFixedMs = 8.8;
  static constexpr double kOccupiedFixedMs = 2.9;
  static constexpr double kTokensPerMs = 598;
  static constexpr double kAnswerMs = 5;
  static constexpr milliseconds kTarget{120};

  void Schedule(TimePoint at, std::function<void()> action) {
    events_.push({at, std::move(action)});
  }

  void ScheduleArrival(std::size_t entry, double rate) {
    const double gap_s = -std::log(1 - ToUnitInterval(random_())) / rate;
    const TimePoint at = now_ + Ms(gap_s * 1000);
    if (at < kStart + seconds(10)) {
      Schedule(at, [this, entry, rate] {
        Arrive(entry);
        ScheduleArrival(entry, rate);
      });
    }
  }

  void Arrive(std::size_t entry) {
    ++arrived_;
    const AttemptId id{{1, ++last_id_}};
    CallerRequest request;
    request.prompt_parts = {{random_() % 60, 6300}, {last_id_, 2900}};
    request.prompt_tokens = 9200;
    request.answer_target = kTarget;
    request.deadline = now_ + seconds(2);
    const auto decision = entries_[entry].Place(request, engines_, now_);
    const auto* assignment = std::get_if<EngineAssignment>(&decision);
    if (!assignment) {
      return;
    }
    entries_[entry].OnSent(id, request, *assignment, now_);
    TimePoint& free_at = free_at_[assignment->prefill];
    const TimePoint start = std::max(now_, free_at);
    const double tokens_ms = 2900 / kTokensPerMs;
    free_at = start + Ms(kOccupiedFixedMs + tokens_ms);
    const TimePoint arrived_at = now_;
    Schedule(start + Ms(kFixedMs + tokens_ms), [this, entry, id, arrived_at] {
      entries_[entry].OnPrefilled(id, now_);
      entries_[entry].PlaceDecode(id, engines_, now_);
      Schedule(now_ + Ms(kAnswerMs), [this, entry, id, arrived_at] {
        entries_[entry].OnAnswerStarted(id, now_);
        entries_[entry].OnEnded(id, false, now_);
        in_time_ += now_ - arrived_at <= kTarget ? 1 : 0;
      });
    });
  }

  static constexpr TimePoint kStart{seconds(100)};
  RandomSource random_;
  std::vector<EnginePlacement> entries_;
  std::vector<PlacementEngine> engines_;
  std::map<std::string, TimePoint> free_at_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  TimePoint now_ = kStart;
  std::uint64_t last_id_ = 0;
  int arrived_ = 0;
  int in_time_ = 0;
};

// Guards against admitting more than the engines can serve in time. Five
// engines prefill 646 prompts a second, but 800 a second arrive for ten seconds
// at four entry processes that do not see each other's requests. If all are
// admitted, the queueing time exceeds every target within a second and almost
// no request is served in time.
TEST_CASE(
    "Most requests are served in time when a burst exceeds prefill capacity") {
  const double before =
      BurstSimulation(/*max_target_share=*/1000).ShareInTime(800);
  const double after =
      BurstSimulation(EnginePlacement::Options{}.max_target_share)
          .ShareInTime(800);
  INFO("in time: " << before << " if all are admitted, with admission control "
                   << after);
  CHECK(before < 0.2);
  CHECK(after > 0.7);

  SECTION("load below capacity is not refused") {
    CHECK(BurstSimulation(EnginePlacement::Options{}.max_target_share)
              .ShareInTime(250) > 0.97);
  }
}

}  // namespace
}  // namespace indigolead
