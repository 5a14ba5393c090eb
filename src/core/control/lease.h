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
  std::string holder;  ///< Instance name of an entry; empty if resigned.
  Incarnation incarnation;
  FencingNumber fencing_number = 0;
  Id128 nonce;  ///< Unique per write; identifies one whose answer was lost.
  Duration duration{};
  /// Fencing numbers of up to `kMaxEarlierNumbers` previous holders, oldest
  /// first. They show whether an order was written while its number was valid.
  std::vector<FencingNumber> earlier;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

/// Limits the size of the `control/lease` value.
inline constexpr std::size_t kMaxEarlierNumbers = 16;

/// Returns true if an object written under `number` at store version `version`
/// was written before the holder of `number` lost the lease to another holder,
/// judged by `newest`, the newest lease known.
///
/// A paused holder's write can land after another holder took the lease,
/// because the write is conditional on the version of the written object and
/// not on that of the lease. A fencing number is the store version of the write
/// that took the lease, so the two are comparable: the write is void if the
/// next holder's number is below the write's version.
bool WasInForce(FencingNumber number, std::uint64_t version,
                const LeaseRecord& newest);

/// Returns `record` as JSON. A fencing number of 0 stands for the version that
/// this write gets, which the writer cannot know in advance.
std::string EncodeLease(const LeaseRecord& record);

/// Decodes a lease that was read at store version `version`. A fencing number
/// of 0 is replaced by that version.
Result<LeaseRecord> DecodeLease(std::string_view json, std::uint64_t version);

/// Lease as read from the store; has no record if the object does not exist.
struct LeaseView {
  std::optional<LeaseRecord> record;
  std::uint64_t version = 0;

  friend bool operator==(const LeaseView&, const LeaseView&) = default;
};

/// Reason for which a holder's authority ended.
enum class LeaseLoss {
  kLapsed,   ///< Not renewed in time.
  kPaused,   ///< Expired while the process was paused.
  kTaken,    ///< The store shows no lease of this process.
  kResigned  ///< Given up on request.
};

/// Returns the lower-case name of `loss`.
std::string_view LeaseLossName(LeaseLoss loss);

/// Decides when to take, renew and give up the control lease.
///
/// Only one entry may give orders at a time. Clocks of two machines are never
/// compared: the holder counts the duration from *before* it sent its last
/// successful write, a contender from *after* it saw the last change. So the
/// holder's authority always ends first, with a margin of one guard on either
/// side, as long as the two clocks run at the same rate to within that guard.
///
/// The caller passes in events with the time at which they were observed and
/// carries out the returned actions. At most one read and one write are in
/// flight.
///
/// An entry that does not hold the lease is a standby, which replaces a lost
/// holder within seconds, or a reserve, which reads the lease seldom and takes
/// it only if all standbys have failed.
class Lease {
 public:
  struct Options {
    std::string holder;
    Incarnation incarnation;
    Duration duration = std::chrono::seconds(6);
    Duration renew_interval = std::chrono::seconds(2);
    /// Safety margin: subtracted from the duration by the holder and added to
    /// it by a contender.
    Duration guard = std::chrono::milliseconds(600);
    /// A longer gap between two events counts as a pause of the process.
    Duration pause_limit = std::chrono::seconds(2);
    /// Interval between reads of an entry that does not hold the lease. A watch
    /// usually reports changes earlier and a take is conditional, so these
    /// reads only make up for a broken watch.
    Duration read_interval = std::chrono::seconds(30);
    /// Read interval of a reserve, and the extra time for which a lease must
    /// stay unchanged before a reserve takes it. The extra time is longer than
    /// two read intervals: a single read may show an old renewal as new, and
    /// only a second read of the same version shows that the holder is gone.
    /// Without it, each reserve considers every lease lapsed between two reads
    /// and sends one conflicting write per second.
    Duration reserve_read_interval = std::chrono::seconds(15);
    Duration reserve_extra_wait = std::chrono::seconds(32);
    /// Contenders delay their attempts randomly within this time, so that one
    /// wins and the others see it before they try.
    Duration take_spread = std::chrono::seconds(1);
    /// Minimum time between two attempts to take the lease.
    Duration take_interval = std::chrono::seconds(1);
    /// A call without an answer for longer is treated as lost.
    Duration call_timeout = std::chrono::seconds(3);
  };

  /// Requests a read of `control/lease`; answered by `OnRead`.
  struct Read {
    friend bool operator==(const Read&, const Read&) = default;
  };
  /// Requests a write of `record` if the object version is `expected`; answered
  /// by `OnWritten`.
  struct Write {
    LeaseRecord record;
    std::uint64_t expected = 0;
    friend bool operator==(const Write&, const Write&) = default;
  };
  /// Reports that authority under `number` began.
  struct Gained {
    FencingNumber number = 0;
    friend bool operator==(const Gained&, const Gained&) = default;
  };
  /// Reports that authority under `number` ended.
  struct Lost {
    FencingNumber number = 0;
    LeaseLoss reason = LeaseLoss::kLapsed;
    friend bool operator==(const Lost&, const Lost&) = default;
  };
  using Action = std::variant<Read, Write, Gained, Lost>;
  using Actions = std::vector<Action>;

  /// Returns a number in [0, 1) that spreads the attempts of several
  /// contenders.
  using Jitter = std::function<double()>;

  Lease(Options options, IdSource ids, Jitter jitter);

  /// Makes this process a reserve or a standby (the default).
  void SetReserve(bool reserve);

  /// Runs the timers; must be called several times per `pause_limit`.
  Actions Tick(TimePoint now);

  /// Handles the answer to a read.
  Actions OnRead(const Result<LeaseView>& answer, TimePoint now);

  /// Handles the answer to the write with `nonce`: the new version or an error.
  Actions OnWritten(const Id128& nonce, const Result<std::uint64_t>& answer,
                    TimePoint now);

  /// Handles a lease reported by a watch.
  Actions OnWatched(const LeaseView& view, TimePoint now);

  /// Gives up the lease, so that another entry need not wait until it lapses.
  /// Must be called again until `newest` no longer names this holder, because a
  /// renewal in flight completes first.
  Actions Resign(TimePoint now);

  /// Returns the fencing number under which orders may be given, or nothing.
  /// `now` must be read from the clock immediately before the action that needs
  /// the authority, so that a process that was paused between decision and
  /// action gets nothing.
  std::optional<FencingNumber> Authority(TimePoint now) const;

  /// Returns true if the next read must show the newest state: it settles a
  /// write, ends a pause, or is the first one of a standby. Other reads only
  /// observe another holder's lease. An outdated view then makes a contender
  /// wait longer, and a take is conditional anyway.
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
    /// Time at which the first copy was sent. Authority counts from here even
    /// after a repeat, because the first copy may be the one that took effect.
    TimePoint first_sent_at;
    TimePoint last_sent_at;
    bool effect_unknown = false;
    /// A read after the answer was lost showed no effect yet.
    bool may_repeat = false;
  };

  void Observe(const LeaseView& view, TimePoint now, Actions* actions);
  void DetectPause(TimePoint now, Actions* actions);
  void CheckExpiry(TimePoint now, Actions* actions);
  void EndAuthority(LeaseLoss reason, Actions* actions);
  bool ResolveByNonce(const LeaseView& view, TimePoint now, Actions* actions);
  void OnWriteSucceeded(const PendingWrite& write, std::uint64_t version,
                        TimePoint now, Actions* actions);
  void StartRead(TimePoint now, Actions* actions);
  void StartWrite(std::string holder, FencingNumber number, TimePoint now,
                  Actions* actions);
  std::vector<FencingNumber> EarlierNumbers(FencingNumber number) const;
  void MaybeWrite(TimePoint now, Actions* actions);
  void MaybeTake(TimePoint now, Actions* actions);
  bool IsOwnLapsed() const;
  void MaybeRenew(TimePoint now, Actions* actions);
  Duration ReadInterval() const;
  Duration WithJitter(Duration interval);
  bool IsOurs(const LeaseRecord& record) const;

  Options options_;
  IdSource ids_;
  Jitter jitter_;

  LeaseView seen_;
  std::optional<TimePoint> seen_at_;
  /// Time, by the local clock, at which `seen_` last changed its version.
  TimePoint changed_at_;

  std::optional<FencingNumber> held_;
  TimePoint held_until_;
  TimePoint next_renewal_;
  TimePoint next_read_;
  TimePoint next_take_;
  Duration take_delay_{};
  /// Set after a pause; the known state is not used until the store has been
  /// read again.
  bool suspended_ = false;
  bool resigned_ = false;
  bool reserve_ = false;

  std::optional<PendingWrite> write_;
  std::optional<TimePoint> read_sent_at_;
  std::optional<TimePoint> last_event_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_LEASE_H_
