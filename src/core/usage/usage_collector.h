#ifndef INDIGOLEAD_CORE_USAGE_USAGE_COLLECTOR_H_
#define INDIGOLEAD_CORE_USAGE_USAGE_COLLECTOR_H_

#include <optional>
#include <vector>

#include "core/base/time.h"
#include "core/usage/usage_types.h"

namespace indigolead {

/// Adds up the request counts of all entry processes.
class UsageCollector {
 public:
  struct Options {
    Duration window = std::chrono::seconds(60);
    /// An entry process whose record ends this long before the end of a window
    /// is considered dead: a live one writes at least once in each window.
    Duration silent_after = std::chrono::seconds(120);
  };

  explicit UsageCollector(Options options) : options_(options) {}

  /// Replaces the records of all entry processes.
  void OnListed(std::vector<EntryUsage> entries);

  /// Returns the first window with counts.
  std::optional<UsageWindow> first() const;

  /// Returns true if no more counts for `window` are expected from any entry
  /// process.
  bool IsComplete(UsageWindow window) const;

  /// Returns the known total counts of `window`.
  WindowCounts Sum(UsageWindow window) const;

 private:
  bool IsReplaced(const EntryUsage& entry) const;

  Options options_;
  std::vector<EntryUsage> entries_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_USAGE_USAGE_COLLECTOR_H_
