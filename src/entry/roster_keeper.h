#ifndef INDIGOLEAD_ENTRY_ROSTER_KEEPER_H_
#define INDIGOLEAD_ENTRY_ROSTER_KEEPER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/membership/entry_roster.h"
#include "observe/event_log.h"
#include "store/object_store.h"

namespace indigolead {

/// Registers this entry in the store, renews the registration, and counts the
/// live entries.
///
/// Every entry renews its registration after half to all of the roster's
/// renewal interval and lists the entries, with a read that may be stale, after
/// half to all of `list_interval`. After a start it lists more often, until the
/// list no longer changes. Runs on the thread of its store.
class RosterKeeper {
 public:
  struct Options {
    EntryRoster::Options roster;
    std::string prefix;  ///< Of the registrations' keys, with the final slash.
    std::string incarnation;  ///< Of this process; part of the registration.
    /// This entry as a relay of the store's changes; its name is that of the
    /// roster. Without an address it does not relay.
    RelayCandidate relay;
    Duration list_interval = std::chrono::seconds(20);
    /// Interval while `SetFrequentListing(true)` is in effect.
    Duration frequent_list_interval = std::chrono::seconds(2);
    /// The first interval after a start, when many entries may start at once.
    /// Each list without a new entry doubles it.
    Duration initial_list_interval = std::chrono::seconds(2);
    Duration retry_interval = std::chrono::seconds(2);
    Duration call_deadline = std::chrono::milliseconds(1500);
  };
  struct Hooks {
    /// Called when the number of entries becomes known or changes.
    std::function<void(std::size_t)> on_count;
    /// Called after each list, and when this entry's registration is confirmed
    /// or withdrawn.
    std::function<void(const EntryView&)> on_view;
    /// Called after each list with the entries that may relay, including this
    /// one.
    std::function<void(const std::vector<RelayCandidate>&)> on_relays;
    /// Returns a random number in [0, 1), which spreads the calls of many
    /// entries.
    std::function<double()> jitter;
  };

  /// `store` must outlive this object.
  RosterKeeper(ObjectStore* store, Options options, Hooks hooks, Clock clock,
               EventLog log);
  ~RosterKeeper();
  RosterKeeper(const RosterKeeper&) = delete;
  RosterKeeper& operator=(const RosterKeeper&) = delete;

  /// Drives the timers; must be called several times a second.
  void Tick();
  /// Lists the entries every `frequent_list_interval` while `frequently`,
  /// starting at once. Used while the entries divide a resource by the current
  /// list.
  void SetFrequentListing(bool frequently);
  /// Withdraws the registration, so that the others need not wait until it
  /// expires.
  void Stop();

 private:
  void Renew();
  void OnRenewed(const Result<std::uint64_t>& result);
  void List();
  void OnListed(const ObjectStore::Listing& listing);
  /// Treats this entry as gone shortly before the others do.
  void LeaveIfNotRenewed(TimePoint now);
  void DeleteExpired();
  void ReportCount();
  void ReportRelays();
  void ReportView();
  bool RenewalIsDue(TimePoint now) const;
  void LengthenListInterval();
  TimePoint RandomDeadline(Duration interval) const;
  /// Returns a random number in [0.5, 1), so that the calls of entries that
  /// started together drift apart.
  double RandomFraction() const { return 0.5 + 0.5 * hooks_.jitter(); }

  ObjectStore* store_;
  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  EntryRoster roster_;
  /// When the registration was last written; unset before the first write and
  /// after a failure.
  std::optional<TimePoint> renewed_at_;
  /// Random part of the renewal interval; drawn anew for each renewal.
  double renew_fraction_ = 1;
  TimePoint retry_at_;  ///< When a failed write is retried.
  TimePoint list_at_;
  Duration list_interval_;  ///< At most `Options::list_interval`.
  bool renewing_ = false;
  bool listing_ = false;
  bool stopped_ = false;
  bool list_frequently_ = false;
  std::optional<TimePoint> listed_at_;
  std::optional<TimePoint> registered_at_;
  TimePoint renewal_sent_at_;  ///< When the last renewal was sent.
  TimePoint confirmed_at_;  ///< When the last renewal that succeeded was sent.
  std::uint64_t renewals_ = 0;
  std::uint64_t own_version_ = 0;  ///< Zero if not known to be registered.
  std::optional<std::size_t> reported_count_;
  /// False once this object is destroyed; store callbacks may run after that.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_ROSTER_KEEPER_H_
