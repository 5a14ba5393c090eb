#include "core/usage/usage_collector.h"

#include <algorithm>
#include <utility>

namespace indigolead {

void UsageCollector::OnListed(std::vector<EntryUsage> entries) {
  entries_ = std::move(entries);
}

std::optional<UsageWindow> UsageCollector::first() const {
  std::optional<UsageWindow> first;
  for (const EntryUsage& it : entries_) {
    if (!it.windows.empty()) {
      const UsageWindow window = it.windows.front().window;
      first = std::min(first.value_or(window), window);
    }
  }
  return first;
}

bool UsageCollector::IsReplaced(const EntryUsage& entry) const {
  return std::any_of(entries_.begin(), entries_.end(),
                     [&](const EntryUsage& it) {
                       return it.instance == entry.instance &&
                              it.started_at > entry.started_at;
                     });
}

bool UsageCollector::IsComplete(UsageWindow window) const {
  const WallMicros end = StartOf(window + 1, options_.window);
  const WallMicros silent =
      end - std::chrono::duration_cast<std::chrono::microseconds>(
                options_.silent_after)
                .count();
  return std::all_of(
      entries_.begin(), entries_.end(), [&](const EntryUsage& it) {
        // A record without counts has had none for a long time, and its process
        // writes again only after new requests, so it most likely has nothing
        // to report.
        const bool has_reported =
            it.ended || it.counted_until >= end || it.windows.empty();
        return has_reported || it.counted_until < silent || IsReplaced(it);
      });
}

WindowCounts UsageCollector::Sum(UsageWindow window) const {
  WindowCounts sum{window, {}};
  for (const EntryUsage& entry : entries_) {
    for (const WindowCounts& it : entry.windows) {
      if (it.window != window) {
        continue;
      }
      for (const auto& [account, n] : it.requests) {
        sum.requests[account] += n;
      }
    }
  }
  return sum;
}

}  // namespace indigolead
