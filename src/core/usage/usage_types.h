#ifndef INDIGOLEAD_CORE_USAGE_USAGE_TYPES_H_
#define INDIGOLEAD_CORE_USAGE_USAGE_TYPES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace indigolead {

/// Number of a reporting window. Window k starts k window lengths after the
/// Unix epoch (the start of 1970).
using UsageWindow = std::int64_t;

/// Returns the window that contains `at`.
UsageWindow WindowAt(WallMicros at, Duration length);

/// Returns the start time of `window`, which is the end of the previous one.
WallMicros StartOf(UsageWindow window, Duration length);

/// Number of requests that started in one window.
struct WindowCounts {
  UsageWindow window = 0;
  std::map<std::string, std::uint64_t> requests;  ///< By client account.

  friend bool operator==(const WindowCounts&, const WindowCounts&) = default;
};

/// Stored record of the requests counted by one incarnation of an entry
/// process.
struct EntryUsage {
  std::string instance;
  Incarnation incarnation;
  WallMicros started_at = 0;          ///< No request before this is counted.
  WallMicros counted_until = 0;       ///< Every request before this is counted.
  bool ended = false;                 ///< No more requests will be counted.
  std::vector<WindowCounts> windows;  ///< Oldest first.

  friend bool operator==(const EntryUsage&, const EntryUsage&) = default;
};

/// Reports with final content. Only these may be sent, by any holder of the
/// control lease.
struct FinalizedUsage {
  /// Oldest first, without gaps. The newest is the last finalized window. Older
  /// ones are kept until they are delivered or abandoned.
  std::vector<WindowCounts> windows;

  friend bool operator==(const FinalizedUsage&,
                         const FinalizedUsage&) = default;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_USAGE_USAGE_TYPES_H_
