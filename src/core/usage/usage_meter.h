#ifndef INDIGOLEAD_CORE_USAGE_USAGE_METER_H_
#define INDIGOLEAD_CORE_USAGE_USAGE_METER_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/usage/usage_types.h"

namespace indigolead {

/// Counts the requests of one entry by window and client account, and keeps
/// the counts until they have stood in the store for long enough.
class UsageMeter {
 public:
  struct Options {
    Duration window = std::chrono::seconds(60);
    /// A window that stood in the store whole for so long has been collected,
    /// also if the one who collects was lost and replaced meanwhile.
    Duration keep_written = std::chrono::seconds(20);
    /// Windows kept while the store cannot be written; the oldest go first.
    std::size_t most_windows = 64;
  };

  explicit UsageMeter(Options options) : options_(options) {}

  /// Counts a request of `account` that began to run at `at`.
  void Count(const std::string& account, WallMicros at);

  /// Returns the counts held, oldest first.
  std::vector<WindowCounts> windows() const;

  /// Returns true if anything was counted since the last `windows()` that
  /// `OnWritten` confirmed.
  bool has_news() const { return counted_ != written_; }
  /// Returns a mark for what has been counted so far, for `OnWritten`.
  std::uint64_t mark() const { return counted_; }

  /// Everything up to `mark` stands in the store, counted until
  /// `counted_until`. Drops what has stood there for long enough.
  void OnWritten(std::uint64_t mark, WallMicros counted_until, TimePoint now);

  /// Returns how many requests were dropped that never stood in the store
  /// whole.
  std::uint64_t lost() const { return lost_; }

 private:
  struct Held {
    std::map<std::string, std::uint64_t> requests;
    TimePoint whole_at{};  ///< Stands in the store whole since; 0: not yet.
  };

  Options options_;
  std::map<UsageWindow, Held> held_;
  std::uint64_t counted_ = 0;
  std::uint64_t written_ = 0;
  std::uint64_t lost_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_USAGE_USAGE_METER_H_
