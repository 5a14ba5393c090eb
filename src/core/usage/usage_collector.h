#ifndef INDIGOLEAD_CORE_USAGE_USAGE_COLLECTOR_H_
#define INDIGOLEAD_CORE_USAGE_USAGE_COLLECTOR_H_

#include <optional>
#include <vector>

#include "core/base/time.h"
#include "core/usage/usage_types.h"

namespace indigolead {

/// Adds up what all entries have counted.
class UsageCollector {
 public:
  struct Options {
    Duration window = std::chrono::seconds(60);
    /// An entry whose record ends so long before a window's end is taken to be
    /// gone: it writes at least once in each window.
    Duration silent_after = std::chrono::seconds(120);
  };

  explicit UsageCollector(Options options) : options_(options) {}

  /// Takes the records of all entries, in place of those before.
  void OnListed(std::vector<EntryUsage> entries);

  /// Returns the first window in which anything was counted.
  std::optional<UsageWindow> first() const;

  /// Returns true if every entry that may have counted requests in `window` has
  /// said all that it did.
  bool IsWhole(UsageWindow window) const;

  /// Returns what is known of `window`.
  WindowCounts Sum(UsageWindow window) const;

 private:
  bool IsReplaced(const EntryUsage& entry) const;

  Options options_;
  std::vector<EntryUsage> entries_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_USAGE_USAGE_COLLECTOR_H_
