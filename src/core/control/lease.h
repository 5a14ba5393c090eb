#ifndef INDIGOLEAD_CORE_CONTROL_LEASE_H_
#define INDIGOLEAD_CORE_CONTROL_LEASE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/base/ids.h"
#include "core/base/result.h"
#include "core/base/time.h"

namespace indigolead {

/// Value of the `control/lease` object.
struct LeaseRecord {
  std::string holder;  ///< Instance name of an entry; empty after a resign.
  Incarnation incarnation;
  FencingNumber fencing_number = 0;
  Id128 nonce;  ///< New with each write; recognises one whose answer was lost.
  Duration duration{};
  /// Numbers of the last `kMaxEarlierNumbers` holders before, oldest first.
  /// They tell whether an order was written while its number was in force.
  std::vector<FencingNumber> earlier;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

/// Bounds the value of `control/lease`.
inline constexpr std::size_t kMaxEarlierNumbers = 16;

/// Returns true if something written under `number` at store version `version`
/// was written before the holder of `number` lost the lease to another, as far
/// as `newest`, the newest lease known, tells.
///
/// A paused holder's write can land after another took the lease, because its
/// condition names the written object's version and not the lease's. A lease's
/// number is the store version that won it, so the two can be compared: the
/// write is void if the next holder's number is below the write's version.
bool WasInForce(FencingNumber number, std::uint64_t version,
                const LeaseRecord& newest);

/// Returns `record` as JSON. A fencing number of 0 stands for "the version
/// that this very write gets": a winner cannot know it beforehand.
std::string EncodeLease(const LeaseRecord& record);

/// Returns the lease in `json`, read at store version `version`; a number of 0
/// is filled in with that version.
Result<LeaseRecord> DecodeLease(std::string_view json, std::uint64_t version);

/// Lease as read from the store; no record if the object does not exist.
struct LeaseView {
  std::optional<LeaseRecord> record;
  std::uint64_t version = 0;

  friend bool operator==(const LeaseView&, const LeaseView&) = default;
};

/// Says why a holder's authority ended.
enum class LeaseLoss { kLapsed, kPaused, kTaken, kResigned };

/// Returns the lower-case name of `loss`.
std::string_view LeaseLossName(LeaseLoss loss);

/// Decides when to take, renew and give up the control lease.
///
/// Exactly one entry may give orders. Clocks of two machines are never
/// compared: the holder counts the duration from *before* it sent its last
/// successful write, a taker from *after* it saw the last change. So the
/// holder's authority always ends first, by at least the guard on both sides,
/// as long as the two clocks run at the same rate to within that guard.
///
/// Events go in with the time at which they were observed; actions come out.
/// At most one read and one write are in flight.
class Lease {
 public:
  struct Options {
    std::string holder;
    Incarnation incarnation;
    Duration duration = std::chrono::seconds(6);
    Duration renew_interval = std::chrono::seconds(2);
    /// Taken off the duration by the holder and added to it by a taker.
    Duration guard = std::chrono::milliseconds(600);
    /// A gap between two events longer than this is a pause of the process.
    Duration pause_limit = std::chrono::seconds(2);
    /// Time between reads by one that does not hold the lease. A watch tells
    /// earlier, and a take is conditional, so this only heals a broken watch.
    Duration read_interval = std::chrono::seconds(30);
    /// The same, and how much longer a lease must stay unchanged before it is
    /// taken, for one that is a reserve. Longer than two of its reads: one read
    /// shows a renewal of long ago as new, and only a second one of the same
    /// version shows that its holder is gone. Without that, each reserve takes
    /// every lease for lapsed between two reads and makes a write a second
    /// that conflicts.
    Duration reserve_read_interval = std::chrono::seconds(15);
    Duration reserve_patience = std::chrono::seconds(32);
    /// Takers spread their tries over this time, so that one of them wins and
    /// the others hear of it before they try.
    Duration take_spread = std::chrono::seconds(1);
    /// Least time between two tries to take the lease.
    Duration take_interval = std::chrono::seconds(1);
    /// A call unanswered for longer is taken for lost.
    Duration call_timeout = std::chrono::seconds(3);
  };

  /// Read `control/lease`, answer with `OnRead`.
  struct Read {
    friend bool operator==(const Read&, const Read&) = default;
  };
  /// Write `record` if the object's version is `expected`; answer with
  /// `OnWritten`.
  struct Write {
    LeaseRecord record;
    std::uint64_t expected = 0;
    friend bool operator==(const Write&, const Write&) = default;
  };
  /// Authority under `number` began.
  struct Gained {
    FencingNumber number = 0;
    friend bool operator==(const Gained&, const Gained&) = default;
  };
  /// Authority under `number` ended.
  struct Lost {
    FencingNumber number = 0;
    LeaseLoss reason = LeaseLoss::kLapsed;
    friend bool operator==(const Lost&, const Lost&) = default;
  };
  using Action = std::variant<Read, Write, Gained, Lost>;
  using Actions = std::vector<Action>;

  /// Returns a number in [0, 1); spreads the tries of several takers.
  using Jitter = std::function<double()>;

  Lease(Options options, IdSource ids, Jitter jitter);

  /// Makes this process one of many reserves, which look at the lease seldom
  /// and take it only if the standbys have all failed, or a standby, which
  /// replaces a lost holder within seconds. A standby at first.
  void SetReserve(bool reserve);

  /// Drives timers; call several times per `pause_limit`.
  Actions Tick(TimePoint now);

  /// A read was answered.
  Actions OnRead(const Result<LeaseView>& answer, TimePoint now);

  /// The write with `nonce` was answered: the new version, or an error.
  Actions OnWritten(const Id128& nonce, const Result<std::uint64_t>& answer,
                    TimePoint now);

  /// A watch reported the lease.
  Actions OnWatched(const LeaseView& view, TimePoint now);

  /// Gives the lease up so that another entry need not wait for its end. Call
  /// again until `newest` no longer names this holder: a renewal in flight goes
  /// first.
  Actions Resign(TimePoint now);

  /// Returns the number to give orders under, or nothing. `now` must be read
  /// from the clock immediately before the act that needs the authority: a
  /// process that slept between the decision and the act gets nothing.
  std::optional<FencingNumber> Authority(TimePoint now) const;

  /// Returns true if the next read must show the newest state: it settles a
  /// write, ends a pause, or is the first of a standby. Otherwise it only
  /// watches another holder; a late view makes a taker wait longer, and taking
  /// is conditional.
  bool needs_newest() const {
    return write_.has_value() || suspended_ || (!seen_at_ && !reserve_);
  }

  /// Returns the newest lease seen.
  const LeaseView& newest() const { return seen_; }
  /// Returns when the newest lease was seen, if one was.
  std::optional<TimePoint> seen_at() const { return seen_at_; }

 private:
  struct PendingWrite {
    LeaseRecord record;
    std::uint64_t expected = 0;
    /// When the first copy was sent. Authority counts from here even after a
    /// repeat, because it may be the first copy that took effect.
    TimePoint first_sent_at;
    TimePoint last_sent_at;
    bool effect_unknown = false;
    /// A read after the loss of the answer showed no effect as yet.
    bool may_repeat = false;
  };

  void Observe(const LeaseView& view, TimePoint now, Actions* actions);
  void NoticePause(TimePoint now, Actions* actions);
  void NoticeEnd(TimePoint now, Actions* actions);
  void Drop(LeaseLoss reason, Actions* actions);
  bool SettledByNonce(const LeaseView& view, TimePoint now, Actions* actions);
  void Won(const PendingWrite& write, std::uint64_t version, TimePoint now,
           Actions* actions);
  void StartRead(TimePoint now, Actions* actions);
  void StartWrite(std::string holder, FencingNumber number, TimePoint now,
                  Actions* actions);
  std::vector<FencingNumber> EarlierNumbers(FencingNumber number) const;
  void MaybeWrite(TimePoint now, Actions* actions);
  void MaybeTake(TimePoint now, Actions* actions);
  bool IsOwnLapsed() const;
  void MaybeRenew(TimePoint now, Actions* actions);
  Duration ReadInterval() const;
  Duration Spread(Duration interval);
  bool IsOurs(const LeaseRecord& record) const;

  Options options_;
  IdSource ids_;
  Jitter jitter_;

  LeaseView seen_;
  std::optional<TimePoint> seen_at_;
  /// When `seen_` last became another version, in this process's clock.
  TimePoint changed_at_;

  std::optional<FencingNumber> held_;
  TimePoint held_until_;
  TimePoint next_renewal_;
  TimePoint next_read_;
  TimePoint next_take_;
  Duration take_delay_{};
  /// Set after a pause: nothing is believed until the store was read again.
  bool suspended_ = false;
  bool resigned_ = false;
  bool reserve_ = false;

  std::optional<PendingWrite> write_;
  std::optional<TimePoint> read_sent_at_;
  std::optional<TimePoint> last_event_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_LEASE_H_
