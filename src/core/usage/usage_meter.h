#ifndef INDIGOLEAD_CORE_USAGE_USAGE_METER_H_
#define INDIGOLEAD_CORE_USAGE_USAGE_METER_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/usage/usage_types.h"

namespace indigolead {

/// Counts the requests of one entry process by window and client account, and
/// keeps the counts until they have been in the store long enough to be
/// collected.
class UsageMeter {
 public:
  struct Options {
    Duration window = std::chrono::seconds(60);
    /// A window that has been completely in the store for this long counts as
    /// collected. The time must cover the replacement of a lost collecting
    /// process.
    Duration written_retention = std::chrono::seconds(20);
    /// Maximum number of windows kept while the store is not writable. The
    /// oldest are dropped first.
    std::size_t max_windows = 64;
  };

  explicit UsageMeter(Options options) : options_(options) {}

  /// Counts a request of `account` that started at `at`.
  void Count(const std::string& account, WallMicros at);

  /// Returns the counts by window, oldest first.
  std::vector<WindowCounts> windows() const;

  /// Returns true if requests were counted after the last write confirmed by
  /// `OnWritten`.
  bool has_unwritten_counts() const { return counted_ != written_; }
  /// Returns the number of requests counted so far, to be passed to
  /// `OnWritten` once they are stored.
  std::uint64_t request_count() const { return counted_; }

  /// Records that the first `request_count` requests, which include all before
  /// `counted_until`, are in the store. Drops windows that have been there for
  /// `written_retention`.
  void OnWritten(std::uint64_t request_count, WallMicros counted_until,
                 TimePoint now);

  /// Returns the number of requests in windows dropped at the `max_windows`
  /// limit.
  std::uint64_t lost() const { return lost_; }

 private:
  struct Held {
    std::map<std::string, std::uint64_t> requests;
    TimePoint complete_since{};  ///< Completely stored since; 0 if not yet.
  };

  Options options_;
  std::map<UsageWindow, Held> held_;
  std::uint64_t counted_ = 0;
  std::uint64_t written_ = 0;
  std::uint64_t lost_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_USAGE_USAGE_METER_H_
