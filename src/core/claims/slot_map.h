#ifndef INDIGOLEAD_CORE_CLAIMS_SLOT_MAP_H_
#define INDIGOLEAD_CORE_CLAIMS_SLOT_MAP_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/claims/claim_journal.h"

namespace indigolead {

/// Location of the claims of one slot.
struct SlotAssignment {
  JournalRef owner;
  /// Journals that the owner must seal and read before it decides, oldest
  /// first. Cleared once the owner has copied their claims to its own journal.
  std::vector<JournalRef> sources;
  std::uint64_t since_epoch = 0;  ///< Epoch in which `owner` was assigned.

  friend bool operator==(const SlotAssignment&,
                         const SlotAssignment&) = default;
};

/// Assigns every slot of a deployment's keys to a home.
///
/// An instance is "lost" while it is unreachable for too long and "removed"
/// once the platform no longer lists it. A journal is "gone" once its writer
/// has certainly stopped and "retired" once it has lost a slot.
struct SlotMap {
  std::uint64_t epoch = 0;  ///< Increases by one with each change.
  std::vector<SlotAssignment> slots;
  /// Source journals whose writers have certainly stopped.
  std::set<JournalRef> gone;
  /// Journals that lost a slot. They are or will be sealed, so no slot may be
  /// assigned to them. Kept until the home opens another journal or is removed.
  std::set<JournalRef> retired;
  FencingNumber fencing_number =
      0;  ///< Of the lease holder that wrote the map.

  friend bool operator==(const SlotMap&, const SlotMap&) = default;
};

/// A process that can be a home.
struct HomeState {
  JournalRef ref;
  std::string failure_domain;
  bool leaving = false;
  /// Newest epoch whose slots it has taken over completely.
  std::uint64_t absorbed_epoch = 0;

  friend bool operator==(const HomeState&, const HomeState&) = default;
};

/// Assigns slots to homes. Used by the holder of the control lease.
///
/// At-most-once execution does not depend on a single planner: a successor
/// seals the journals it takes over, so two processes that both act as home
/// cannot both grant. The planner determines how soon a dead home is replaced
/// and how evenly the keys are distributed.
class SlotPlanner {
 public:
  struct Options {
    std::uint32_t slot_count = 256;
    /// Limits the write load on the store, as each home writes one journal.
    std::size_t max_homes = 8;
    std::size_t max_sources = 8;
    /// Slots are rebalanced only if a home has more than this multiple of the
    /// mean.
    double imbalance = 1.5;
  };

  /// Current state of the processes.
  struct Input {
    std::vector<HomeState> homes;  ///< Reachable homes.
    /// Instances unreachable for longer than the limit set by the user of this
    /// class.
    std::set<std::string> lost;
    /// Instances that the platform no longer lists.
    std::set<std::string> removed;
    FencingNumber fencing_number = 0;
  };

  explicit SlotPlanner(Options options) : options_(options) {}

  /// Returns the map that replaces `current`, or nothing if no change is
  /// needed.
  std::optional<SlotMap> Plan(const std::optional<SlotMap>& current,
                              const Input& input) const;

 private:
  std::vector<JournalRef> PickHomes(const SlotMap& map,
                                    const Input& input) const;
  void Rebalance(const std::vector<JournalRef>& homes, SlotMap* map) const;

  Options options_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CLAIMS_SLOT_MAP_H_
