#ifndef INDIGOLEAD_CORE_CLAIMS_SLOT_MAP_H_
#define INDIGOLEAD_CORE_CLAIMS_SLOT_MAP_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/claims/claim_journal.h"

namespace indigolead {

/// Where the claims of one slot are.
struct SlotAssignment {
  JournalRef owner;
  /// Journals that the owner must read and seal before it decides, oldest
  /// first. Emptied once the owner has written their claims to its own.
  std::vector<JournalRef> sources;
  std::uint64_t since_epoch = 0;  ///< Epoch that made `owner` the owner.

  friend bool operator==(const SlotAssignment&,
                         const SlotAssignment&) = default;
};

/// Assigns every slot of a deployment's keys to a home.
struct SlotMap {
  std::uint64_t epoch = 0;  ///< Grows by one with each change.
  std::vector<SlotAssignment> slots;
  /// Journals whose writers provably no longer run.
  std::set<JournalRef> gone;
  /// Journals that lost a slot and so are sealed, or will be: no slot may be
  /// given to them. Kept until their home names another journal.
  std::set<JournalRef> retired;
  FencingNumber fencing_number = 0;  ///< Of the lease holder that wrote it.

  friend bool operator==(const SlotMap&, const SlotMap&) = default;
};

/// A process that offers itself as a home.
struct HomeState {
  JournalRef ref;
  std::string failure_domain;
  bool leaving = false;
  /// Newest epoch whose slots it has taken over entirely.
  std::uint64_t absorbed_epoch = 0;

  friend bool operator==(const HomeState&, const HomeState&) = default;
};

/// Decides who is home of which slot. Used by the holder of the control lease.
///
/// Correctness does not depend on it: a successor seals the journal it takes
/// over, so two processes that believe to be home cannot both grant. It only
/// decides how soon a dead home is replaced and how evenly keys are spread.
class SlotPlanner {
 public:
  struct Options {
    std::uint32_t slot_count = 256;
    /// Bounds the store's writes: each home writes one journal.
    std::size_t max_homes = 8;
    std::size_t max_sources = 8;
    /// Slots move to spread the load only above this share of the mean.
    double imbalance = 1.5;
  };

  /// What is known of the processes now.
  struct Input {
    std::vector<HomeState> homes;  ///< Reachable ones.
    /// Instances out of reach for longer than the caller's bound.
    std::set<std::string> lost;
    /// Instances that the platform has removed from its list.
    std::set<std::string> removed;
    FencingNumber fencing_number = 0;
  };

  explicit SlotPlanner(Options options) : options_(options) {}

  /// Returns the map to write after `current`, or nothing if it may stay.
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
