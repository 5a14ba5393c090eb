#ifndef INDIGOLEAD_CORE_MEMBERSHIP_LINK_MONITOR_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_LINK_MONITOR_H_

#include <cstdint>
#include <optional>
#include <random>

#include "core/base/time.h"

namespace indigolead {

/// Times that govern one connection between two processes.
struct LinkTiming {
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  Duration silence_timeout = std::chrono::milliseconds(1500);
  /// Longest wait for the peer's hello before a dial is given up.
  Duration dial_timeout = std::chrono::milliseconds(1500);
  /// Time without work after which a link is idle: its heartbeats and its
  /// silence timeout are then stretched by `idle_factor`.
  Duration idle_after = std::chrono::seconds(60);
  int idle_factor = 6;
  Duration backoff_min = std::chrono::milliseconds(50);
  Duration backoff_max = std::chrono::seconds(5);

  friend bool operator==(const LinkTiming&, const LinkTiming&) = default;
};

/// What the owner of a connection does next.
enum class LinkAction { kNone, kSendHeartbeat, kCloseSilent };

/// Watches one open connection: when a heartbeat is due and when the peer has
/// been silent for too long.
///
/// A connection can go silent for good while new ones work, because something
/// between the two ends lost track of it; the transport then reports nothing.
/// Silence at this level is the only sign, so both ends send at least once per
/// heartbeat interval and judge by what they received.
///
/// A fast verdict matters only to work in flight, and heartbeats to a hundred
/// idle peers would cost more than all other control traffic. So a link without
/// work slows down, by the same rule at both ends; the first message of work
/// makes it fast again, and the peer has one silence timeout to answer.
class LinkMonitor {
 public:
  LinkMonitor(const LinkTiming& timing, TimePoint now)
      : timing_(timing),
        last_sent_(now),
        last_heartbeat_(now),
        last_received_(now),
        last_work_(now) {}

  /// Records that a message of work was sent: anything but a heartbeat.
  void OnWorkSent(TimePoint now);
  /// Records that a heartbeat was sent.
  void OnHeartbeatSent(TimePoint now) { last_sent_ = last_heartbeat_ = now; }
  /// Records that a heartbeat came.
  void OnHeartbeatReceived(TimePoint now) { last_received_ = now; }
  /// Records that any other message came.
  void OnWorkReceived(TimePoint now);

  /// Records that this process itself did not run until `now`. What the peer
  /// sent meanwhile may still wait to be read, so the peer gets one heartbeat
  /// interval more before it counts as silent.
  void OnOwnPause(TimePoint now);

  /// Returns what is due at `now`.
  LinkAction Poll(TimePoint now) const;

 private:
  // A busy link still carries heartbeats, though fewer, because some changes
  // (a target's role, revisions) are told in heartbeats only.
  static constexpr int kBusyHeartbeatIntervals = 4;

  bool IsIdle(TimePoint now) const {
    return now - last_work_ >= timing_.idle_after;
  }

  LinkTiming timing_;
  TimePoint last_sent_;
  TimePoint last_heartbeat_;
  TimePoint last_received_;
  TimePoint last_work_;
};

/// Tells that this process was paused, from the gap between two polls.
class PauseDetector {
 public:
  explicit PauseDetector(Duration longest_gap) : longest_gap_(longest_gap) {}

  /// Returns true if the previous call lies further back than the longest gap.
  bool Observe(TimePoint now);

 private:
  Duration longest_gap_;
  std::optional<TimePoint> previous_;
};

/// Draws the waits between attempts to reach a peer: doubling from a minimum
/// to a maximum, each spread over [half, whole] by a seeded generator. Without
/// the spread, all peers of a restarted process would come back at the same
/// moment, again and again.
class ReconnectBackoff {
 public:
  ReconnectBackoff(Duration min, Duration max, std::uint64_t seed)
      : min_(min), max_(max), next_(min), random_(seed) {}

  /// Returns the next wait.
  Duration Next();
  /// Starts again from the minimum.
  void Reset() { next_ = min_; }
  /// Makes the next wait the maximum.
  void Exhaust() { next_ = max_; }

 private:
  Duration min_;
  Duration max_;
  Duration next_;
  std::mt19937_64 random_;
};

/// What the owner of a dialled address does next.
enum class DialAction { kNone, kOpen, kGiveUp };

/// Decides when to open, give up and open again the connection to one address.
class DialMonitor {
 public:
  DialMonitor(const LinkTiming& timing, std::uint64_t seed, TimePoint now)
      : timing_(timing),
        backoff_(timing.backoff_min, timing.backoff_max, seed),
        due_(now) {}

  /// Returns what is due at `now`.
  DialAction Poll(TimePoint now) const;

  /// Records that a socket was opened; the peer's hello is awaited.
  void OnOpened(TimePoint now);
  /// Records that the peer said hello.
  void OnUp(TimePoint now);
  /// Records that the connection ended, for whatever reason.
  void OnLost(TimePoint now);
  /// Records that the peer refused this process; asks again at the slowest
  /// pace, since the reason rarely passes by itself.
  void OnRefused(TimePoint now);

  bool is_up() const { return phase_ == Phase::kUp; }
  bool is_waiting() const { return phase_ == Phase::kWaiting; }

 private:
  enum class Phase { kWaiting, kOpening, kUp };

  LinkTiming timing_;
  ReconnectBackoff backoff_;
  Phase phase_ = Phase::kWaiting;
  TimePoint due_;
  TimePoint up_since_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_LINK_MONITOR_H_
