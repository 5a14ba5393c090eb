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

/// An entry's registration, as listed.
struct RosterRecord {
  std::string name;
  std::uint64_t version = 0;  ///< Grows with each renewal.
  /// What it says of itself as one that relays; no address if nothing.
  RelayCandidate relay = {};

  friend bool operator==(const RosterRecord&, const RosterRecord&) = default;
};

/// What an entry knows of the fleet that it is part of.
struct EntryView {
  std::string own_name;
  std::vector<std::string> names;  ///< Of entries alive, its own among them.
  std::optional<TimePoint> listed_at;  ///< When the list was asked for.
  /// When the store confirmed this process's registration; nothing once it was
  /// taken back, as in a planned stop.
  std::optional<TimePoint> registered_at;

  friend bool operator==(const EntryView&, const EntryView&) = default;
};

/// Tells how many entries there are, from registrations that expire by
/// themselves nowhere.
///
/// An entry is alive while its registration's version changes. Its age is
/// measured on this entry's own clock from the moment a version was first seen,
/// so clocks need not agree; one that is new here is taken to be alive.
class EntryRoster {
 public:
  struct Options {
    std::string own_name;
    RosterPace pace{};
  };

  explicit EntryRoster(Options options) : options_(std::move(options)) {}

  /// Takes a whole list.
  void OnListed(const std::vector<RosterRecord>& listed, TimePoint now);

  /// Returns true once a list was taken.
  bool listed() const { return listed_; }

  /// Returns true if the last list named the same entries as the one before.
  bool unchanged() const { return unchanged_; }

  /// Returns the version of this entry's own registration as listed; 0 if it
  /// was not.
  std::uint64_t own_version() const;

  /// Returns the longest time between two renewals of this entry.
  Duration RenewInterval() const {
    return options_.pace.RenewInterval(seen_.size());
  }

  /// Returns the time without a renewal after which this entry has left.
  Duration LeaveAfter() const { return options_.pace.LeaveAfter(seen_.size()); }

  /// Returns the number of entries alive, this one among them. Errs on the high
  /// side: an entry that is gone counts until it expires.
  std::size_t live(TimePoint now) const;

  /// Returns the names of these entries, sorted.
  std::vector<std::string> LiveNames(TimePoint now) const;

  /// Returns these entries as ones that may relay, where they say so.
  std::vector<RelayCandidate> LiveRelays(TimePoint now) const;

  /// Returns the registrations to delete: those that have expired, if it is
  /// this entry's turn. The first by name does it, so that a large fleet makes
  /// one call and not hundreds.
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
