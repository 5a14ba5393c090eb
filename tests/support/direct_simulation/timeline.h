#ifndef INDIGOLEAD_TESTS_SUPPORT_DIRECT_SIMULATION_TIMELINE_H_
#define INDIGOLEAD_TESTS_SUPPORT_DIRECT_SIMULATION_TIMELINE_H_

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

#include "core/base/time.h"

namespace indigolead::testing::direct_simulation {

/// Event queue that runs functions in order of simulated time.
class Timeline {
 public:
  TimePoint now() const { return now_; }

  void After(Duration delay, std::function<void()> function) {
    events_.push({now_ + delay, next_++, std::move(function)});
  }

  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      event.function();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> function;

    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace indigolead::testing::direct_simulation

#endif  // INDIGOLEAD_TESTS_SUPPORT_DIRECT_SIMULATION_TIMELINE_H_
