#include "store/call_tally.h"

#include <utility>

#include "store/events.h"

namespace indigolead {

void CallTally::Add(const std::string& step, const std::string& kind) {
  ++counts_[step + "." + kind];
}

void CallTally::Tick(TimePoint now) {
  if (since_ == TimePoint{}) {
    since_ = now;
  }
  if (now - since_ < kInterval) {
    return;
  }
  const std::chrono::duration<double> span = now - std::exchange(since_, now);
  EventFields fields{{"seconds", std::to_string(span.count())}};
  for (const auto& [what, n] : std::exchange(counts_, {})) {
    fields.emplace_back(what, std::to_string(n));
  }
  log_(kStoreCalls, fields);
}

}  // namespace indigolead
