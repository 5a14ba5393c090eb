#ifndef INDIGOLEAD_CORE_MEMBERSHIP_LINK_MONITOR_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_LINK_MONITOR_H_

#include <cstdint>
#include <optional>
#include <random>

#include "core/base/time.h"

namespace indigolead {

/// Timing of one connection between two processes.
struct LinkTiming {
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  Duration silence_timeout = std::chrono::milliseconds(1500);
  /// Longest wait for the peer's hello before a dial is abandoned.
  Duration dial_timeout = std::chrono::milliseconds(1500);
  /// Time without work after which a link is idle. The heartbeat interval and
  /// the silence timeout of an idle link are multiplied by `idle_factor`.
  Duration idle_after = std::chrono::seconds(60);
  int idle_factor = 6;
  Duration backoff_min = std::chrono::milliseconds(50);
  Duration backoff_max = std::chrono::seconds(5);

  friend bool operator==(const LinkTiming&, const LinkTiming&) = default;
};

/// Next action for the owner of a connection.
enum class LinkAction { kNone, kSendHeartbeat, kCloseSilent };

/// Decides when a heartbeat is due on an open connection and when the peer has
/// been silent for too long.
///
/// A connection can become half-open when a device between the two ends loses
/// its state. New connections still work and the transport reports no error, so
/// silence is the only sign. Both ends therefore send at least once per
/// heartbeat interval and judge the link by what they receive.
///
/// Fast detection matters only for work in flight, and heartbeats to a hundred
/// idle peers would cost more than all other control traffic. Both ends of an
/// idle link therefore use longer intervals. The first work message restores
/// the short ones and gives the peer one silence timeout to answer.
class LinkMonitor {
 public:
  LinkMonitor(const LinkTiming& timing, TimePoint now)
      : timing_(timing),
        last_sent_(now),
        last_heartbeat_(now),
        last_received_(now),
        last_work_(now) {}

  /// Records that a work message, which is any but a heartbeat, was sent.
  void OnWorkSent(TimePoint now);
  /// Records that a heartbeat was sent.
  void OnHeartbeatSent(TimePoint now) { last_sent_ = last_heartbeat_ = now; }
  /// Records that a heartbeat was received.
  void OnHeartbeatReceived(TimePoint now) { last_received_ = now; }
  /// Records that a work message was received.
  void OnWorkReceived(TimePoint now);

  /// Records that this process was paused until `now`. Messages from the peer
  /// may still be unread, so the peer gets at least one more heartbeat interval
  /// before it counts as silent.
  void OnProcessPaused(TimePoint now);

  /// Returns the action due at `now`.
  LinkAction Poll(TimePoint now) const;

 private:
  // Longest time between heartbeats on a busy link, in heartbeat intervals. A
  // busy link needs some, since a change of a target's role or of a revision
  // is sent in heartbeats only.
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

/// Detects a pause of this process by the time between two polls.
class PauseDetector {
 public:
  explicit PauseDetector(Duration longest_gap) : longest_gap_(longest_gap) {}

  /// Returns true if more than the longest gap has passed since the last call.
  bool Observe(TimePoint now);

 private:
  Duration longest_gap_;
  std::optional<TimePoint> previous_;
};

/// Exponential backoff with jitter between attempts to reach a peer. The delay
/// doubles from a minimum to a maximum, and each is drawn from [half, whole] by
/// a seeded generator. Without jitter, all peers of a restarted process would
/// reconnect at the same moment, again and again.
class ReconnectBackoff {
 public:
  ReconnectBackoff(Duration min, Duration max, std::uint64_t seed)
      : min_(min), max_(max), next_(min), random_(seed) {}

  /// Returns the next delay.
  Duration Next();
  /// Resets the delay to the minimum.
  void Reset() { next_ = min_; }
  /// Sets the delay to the maximum.
  void SetToMaximum() { next_ = max_; }

 private:
  Duration min_;
  Duration max_;
  Duration next_;
  std::mt19937_64 random_;
};

/// Next action for the owner of a dialed address.
enum class DialAction { kNone, kOpen, kGiveUp };

/// Decides when to open the connection to an address, when to abandon the
/// attempt and when to retry.
class DialMonitor {
 public:
  DialMonitor(const LinkTiming& timing, std::uint64_t seed, TimePoint now)
      : timing_(timing),
        backoff_(timing.backoff_min, timing.backoff_max, seed),
        due_(now) {}

  /// Returns the action due at `now`.
  DialAction Poll(TimePoint now) const;

  /// Records that a socket was opened and starts the wait for the peer's hello.
  void OnOpened(TimePoint now);
  /// Records that the peer's hello was received.
  void OnUp(TimePoint now);
  /// Records that the connection ended for any reason.
  void OnLost(TimePoint now);
  /// Records that the peer refused this process. Retries with the maximum
  /// delay, since the cause rarely goes away by itself.
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
