#include "store/call_counter.h"

#include <utility>

#include "store/events.h"

namespace indigolead {

void CallCounter::Add(const std::string& step, const std::string& kind) {
  ++counts_[step + "." + kind];
}

void CallCounter::Tick(TimePoint now) {
  if (interval_start_ == TimePoint{}) {
    interval_start_ = now;
  }
  if (now - interval_start_ < kInterval) {
    return;
  }
  const std::chrono::duration<double> span =
      now - std::exchange(interval_start_, now);
  EventFields fields{{"seconds", std::to_string(span.count())}};
  for (const auto& [what, n] : std::exchange(counts_, {})) {
    fields.emplace_back(what, std::to_string(n));
  }
  log_(kStoreCalls, fields);
}

}  // namespace indigolead
