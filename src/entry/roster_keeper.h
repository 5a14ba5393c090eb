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

/// Registers this entry in the store, renews the registration, and reads how
/// many others there are.
///
/// Every entry makes one write in the time that the pace of its roster allows,
/// and one read that may be stale in `list_interval`; after its start more, at
/// first, until the list is settled. Lives on the thread of its store.
class RosterKeeper {
 public:
  struct Options {
    EntryRoster::Options roster;
    std::string prefix;       ///< Of the registrations' keys, with the slash.
    std::string incarnation;  ///< Of this process; part of the registration.
    /// This entry as one that relays the store's changes to others; its name is
    /// that of the roster. No address: it does not.
    RelayCandidate relay;
    Duration list_interval = std::chrono::seconds(20);
    /// While something is parted by the list of entries at every moment.
    Duration close_interval = std::chrono::seconds(2);
    /// The first interval after a start, when many entries come at once. Each
    /// list that shows nobody new doubles it.
    Duration first_interval = std::chrono::seconds(2);
    Duration retry_interval = std::chrono::seconds(2);
    Duration call_deadline = std::chrono::milliseconds(1500);
  };
  struct Hooks {
    /// The number of entries is another one than before, or known at last.
    std::function<void(std::size_t)> on_count;
    /// A list was taken, or the own registration was confirmed or taken back.
    std::function<void(const EntryView&)> on_view;
    /// A list was taken: the entries that may relay, this one among them.
    std::function<void(const std::vector<RelayCandidate>&)> on_relays;
    /// Returns a draw from [0, 1), which spreads the calls of many entries.
    std::function<double()> jitter;
  };

  /// `store` must outlive this object.
  RosterKeeper(ObjectStore* store, Options options, Hooks hooks, Clock clock,
               EventLog log);
  ~RosterKeeper();
  RosterKeeper(const RosterKeeper&) = delete;
  RosterKeeper& operator=(const RosterKeeper&) = delete;

  /// Drives the timers; call several times a second.
  void Tick();
  /// Lists the entries often while `closely`, and at once when that begins.
  void ListClosely(bool closely);
  /// Takes the registration back; a planned stop need not be waited out.
  void Stop();

 private:
  void Renew();
  void OnRenewed(const Result<std::uint64_t>& result);
  void List();
  void OnListed(const ObjectStore::Listing& listing);
  /// Takes this entry for gone where the others are about to.
  void LeaveIfNotRenewed(TimePoint now);
  void DeleteExpired();
  void Tell();
  void TellRelays();
  void TellView();
  bool RenewalIsDue(TimePoint now) const;
  void Settle();
  TimePoint Later(Duration interval) const;
  /// Returns a draw from [0.5, 1): entries that started together part.
  double DrawShare() const { return 0.5 + 0.5 * hooks_.jitter(); }

  ObjectStore* store_;
  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  EntryRoster roster_;
  /// When the registration was written; nothing before, or after a failure.
  std::optional<TimePoint> renewed_at_;
  double renew_share_ = 1;  ///< Of the interval, drawn anew for each renewal.
  TimePoint retry_at_;      ///< Of a write that failed.
  TimePoint list_at_;
  Duration settled_interval_;  ///< Grows to `list_interval`.
  bool renewing_ = false;
  bool listing_ = false;
  bool stopped_ = false;
  bool closely_ = false;
  std::optional<TimePoint> listed_at_;
  std::optional<TimePoint> registered_at_;
  TimePoint renewal_sent_at_;  ///< Of the last call.
  TimePoint confirmed_at_;  ///< When the last renewal that succeeded was sent.
  std::uint64_t renewals_ = 0;
  std::uint64_t own_version_ = 0;  ///< Zero: not known to be registered.
  std::optional<std::size_t> told_;
  /// Callbacks of the store may come after this object is gone.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_ROSTER_KEEPER_H_
