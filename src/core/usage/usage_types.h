#ifndef INDIGOLEAD_CORE_USAGE_USAGE_TYPES_H_
#define INDIGOLEAD_CORE_USAGE_USAGE_TYPES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace indigolead {

/// Number of a span of calendar time for which usage is reported: window k
/// begins k times its length after the start of 1970.
using UsageWindow = std::int64_t;

/// Returns the window that `at` lies in.
UsageWindow WindowAt(WallMicros at, Duration length);

/// Returns when `window` begins; it ends where the next one begins.
WallMicros StartOf(UsageWindow window, Duration length);

/// The requests that began to run in one window.
struct WindowCounts {
  UsageWindow window = 0;
  std::map<std::string, std::uint64_t> requests;  ///< By client account.

  friend bool operator==(const WindowCounts&, const WindowCounts&) = default;
};

/// What one run of an entry's process has counted, as it stands in the store.
struct EntryUsage {
  std::string instance;
  Incarnation incarnation;
  WallMicros started_at = 0;          ///< Nothing was counted before.
  WallMicros counted_until = 0;       ///< Everything before is counted here.
  bool ended = false;                 ///< Nothing more will be counted.
  std::vector<WindowCounts> windows;  ///< Oldest first.

  friend bool operator==(const EntryUsage&, const EntryUsage&) = default;
};

/// The reports whose content is settled: what is told of a window is one of
/// these, whoever tells it.
struct FixedUsage {
  /// Oldest first, without gaps. The newest is the last window settled; older
  /// ones are kept while they are not known to be delivered.
  std::vector<WindowCounts> windows;

  friend bool operator==(const FixedUsage&, const FixedUsage&) = default;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_USAGE_USAGE_TYPES_H_
