#include "core/usage/usage_meter.h"

#include <algorithm>

namespace indigolead {

void UsageMeter::Count(const std::string& account, WallMicros at) {
  Held& held = held_[WindowAt(at, options_.window)];
  ++held.requests[account];
  held.complete_since = TimePoint{};
  ++counted_;
  if (held_.size() > options_.max_windows) {
    for (const auto& [name, n] : held_.begin()->second.requests) {
      lost_ += n;
    }
    held_.erase(held_.begin());
  }
}

std::vector<WindowCounts> UsageMeter::windows() const {
  std::vector<WindowCounts> windows;
  windows.reserve(held_.size());
  for (const auto& [window, held] : held_) {
    windows.push_back({window, held.requests});
  }
  return windows;
}

void UsageMeter::OnWritten(std::uint64_t request_count,
                           WallMicros counted_until, TimePoint now) {
  written_ = std::max(written_, request_count);
  const UsageWindow open = WindowAt(counted_until, options_.window);
  for (auto it = held_.begin(); it != held_.end() && it->first < open;) {
    Held& held = it->second;
    // Requests counted after the write was prepared are not stored yet.
    if (held.complete_since == TimePoint{} && request_count == counted_) {
      held.complete_since = now;
    }
    const bool collected =
        held.complete_since != TimePoint{} &&
        now - held.complete_since >= options_.written_retention;
    it = collected ? held_.erase(it) : std::next(it);
  }
}

}  // namespace indigolead
