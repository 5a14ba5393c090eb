#ifndef INDIGOLEAD_CORE_MEMBERSHIP_ENTRY_ROSTER_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_ENTRY_ROSTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/membership/relay_choice.h"
#include "core/membership/roster_pace.h"

namespace indigolead {

/// Registration of one entry in the store.
struct RosterRecord {
  std::string name;
  std::uint64_t version = 0;  ///< Increases with each renewal.
  /// Its data as a relay; the address is empty if it does not relay.
  RelayCandidate relay = {};

  friend bool operator==(const RosterRecord&, const RosterRecord&) = default;
};

/// An entry's view of the fleet.
struct EntryView {
  std::string own_name;
  std::vector<std::string> names;      ///< All live entries, itself included.
  std::optional<TimePoint> listed_at;  ///< When the list was requested.
  /// When the store confirmed this process's registration; unset once the
  /// registration is withdrawn, as in a planned stop.
  std::optional<TimePoint> registered_at;

  friend bool operator==(const EntryView&, const EntryView&) = default;
};

/// Tracks the live entries by their registrations, which the store does not
/// expire.
///
/// An entry is alive while the version of its registration changes. The time
/// since the last change is measured on the local clock from when the version
/// was first seen, so clocks need not be synchronized. An entry seen for the
/// first time counts as alive.
class EntryRoster {
 public:
  struct Options {
    std::string own_name;
    RosterPace pace{};
  };

  explicit EntryRoster(Options options) : options_(std::move(options)) {}

  /// Replaces the known registrations by a complete list.
  void OnListed(const std::vector<RosterRecord>& listed, TimePoint now);

  /// Returns true once a list has been received.
  bool listed() const { return listed_; }

  /// Returns true if the last list named the same entries as the one before.
  bool unchanged() const { return unchanged_; }

  /// Returns the listed version of this entry's own registration; 0 if it is
  /// not listed.
  std::uint64_t own_version() const;

  /// Returns the longest time between two renewals of this entry.
  Duration RenewInterval() const {
    return options_.pace.RenewInterval(seen_.size());
  }

  /// Returns the time without a renewal after which this entry must regard
  /// itself as having left.
  Duration LeaveAfter() const { return options_.pace.LeaveAfter(seen_.size()); }

  /// Returns the number of live entries, this one included. May be too high,
  /// since an entry that is gone counts until its registration expires.
  std::size_t live(TimePoint now) const;

  /// Returns the sorted names of the live entries.
  std::vector<std::string> LiveNames(TimePoint now) const;

  /// Returns the live entries that can relay.
  std::vector<RelayCandidate> LiveRelays(TimePoint now) const;

  /// Returns the expired registrations if this entry is the one that deletes
  /// them, else none. Only the live entry with the smallest name deletes, so
  /// that a large fleet makes one call and not hundreds.
  std::vector<RosterRecord> ToDelete(TimePoint now) const;

 private:
  struct Seen {
    std::uint64_t version = 0;
    TimePoint since{};
    RelayCandidate relay;
  };

  bool IsLive(const std::string& name, const Seen& seen, TimePoint now) const;

  Options options_;
  std::map<std::string, Seen> seen_;
  bool listed_ = false;
  bool unchanged_ = false;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_ENTRY_ROSTER_H_
