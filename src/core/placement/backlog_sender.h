#ifndef INDIGOLEAD_CORE_PLACEMENT_BACKLOG_SENDER_H_
#define INDIGOLEAD_CORE_PLACEMENT_BACKLOG_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "core/base/time.h"
#include "core/placement/backlog_digest.h"

namespace indigolead {

/// Decides when an entry sends its figures of the engines' queues to the other
/// entries, and which.
///
/// New prompts at an engine are sent at once, since they make other entries'
/// predictions too short. Anything else waits for the next digest or for
/// `lazy_after`: receivers expect queues to shrink. All digests together are
/// bounded in bytes per second, so that the interval grows with the number of
/// entries.
///
/// Performs no I/O. Not thread-safe.
class BacklogSender {
 public:
  struct Options {
    std::uint64_t incarnation = 0;
    /// Bytes in any one second that this entry sends to all others together.
    /// One digest to all of them may exceed it.
    double max_bytes_per_s = 12000;
    /// Time for which the bytes may be saved up, which lets a burst of prompts
    /// be sent at once. At least one digest can always be saved up for.
    Duration saved = std::chrono::milliseconds(250);
    Duration lazy_after = std::chrono::milliseconds(150);
    /// Interval of unchanged figures, by which a receiver knows that they are
    /// still true.
    Duration refresh = std::chrono::milliseconds(400);
    /// Bytes of a datagram beside its engines, with the headers of the network.
    double fixed_bytes = 60;
    double bytes_per_engine = 9;
  };

  explicit BacklogSender(Options options) : options_(options) {}

  /// Sets the number of other entries.
  void SetPeers(std::size_t peers) { peers_ = peers; }

  /// Returns the digest to send to each other entry now, if one is due.
  /// `queues` is all that this entry has outstanding; engines without anything
  /// may be absent. Call every 5 to 50 ms, and after each change.
  std::optional<BacklogDigest> Next(
      const std::map<EngineKey, EngineQueue>& queues, TimePoint now);

  /// Returns the bytes of all digests so far, to all entries.
  double bytes_sent() const { return bytes_sent_; }

 private:
  bool IsDue(const std::map<EngineKey, EngineQueue>& queues,
             TimePoint now) const;
  void EarnBytes(double cost, TimePoint now);

  Options options_;
  std::size_t peers_ = 0;
  std::uint64_t sequence_ = 0;
  std::map<EngineKey, EngineQueue> sent_;  ///< Figures in the latest digest.
  TimePoint sent_at_{};
  double bytes_ = 0;  ///< Bytes that may be sent now.
  std::optional<TimePoint> earned_at_;
  /// Digests of the last second, with their bytes.
  std::deque<std::pair<TimePoint, double>> recent_;
  double recent_bytes_ = 0;
  double bytes_sent_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_BACKLOG_SENDER_H_
