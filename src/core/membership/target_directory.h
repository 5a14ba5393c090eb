#ifndef INDIGOLEAD_CORE_MEMBERSHIP_TARGET_DIRECTORY_H_
#define INDIGOLEAD_CORE_MEMBERSHIP_TARGET_DIRECTORY_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/base/time.h"
#include "core/config/deployment.h"

namespace indigolead {

/// Names one run of a target that may start again under the id that it had.
///
/// Only compared for equality: the clock it was read from may jump, so a later
/// run can bear a smaller number.
struct TargetRun {
  std::int64_t started_ms = 0;  ///< Unix time of the start, by its own clock.

  friend bool operator==(const TargetRun&, const TargetRun&) = default;
};

/// One target, as it registers itself.
struct TargetRecord {
  std::string id;
  std::string service;
  std::string address;  ///< "IP:port"; used again by others once it is gone.
  std::string failure_domain;
  std::uint32_t slots = 1;
  bool leaving = false;
  EngineRole role = EngineRole::kMixed;
  std::optional<TargetRun> run = std::nullopt;  ///< Unset if it does not say.
  /// Requests a second that it takes from all entries together, as the entry
  /// that heard it has told the others; unset if there is no limit.
  std::optional<double> shared_limit = std::nullopt;

  friend bool operator==(const TargetRecord&, const TargetRecord&) = default;
};

/// What changed for one target.
struct TargetChange {
  enum class Kind {
    kAdded,      ///< May get work.
    kUpdated,    ///< Other facts of it changed.
    kRestarted,  ///< A new run, which knows nothing of the one before.
    kLeaving,    ///< Gets no new work; what runs there goes on.
    kReturned,   ///< May get work again.
    kRemoved,    ///< Nothing of it is of use any more.
  };
  Kind kind = Kind::kAdded;
  TargetRecord target;

  friend bool operator==(const TargetChange&, const TargetChange&) = default;
};

/// Decides which targets may get new work, from lists that come late, in
/// pieces, or not at all.
///
/// A target that is off the list is leaving: it may serve for seconds yet, and
/// its running requests go on. But a store that was away drops the targets
/// whose heartbeats it could not take, and they register again within moments.
/// To believe such a list at once would leave no target for that time; so
/// absence counts only once the list is known as it was `return_grace` after
/// the store's return; whoever owns this asks for the list then, see
/// `AbsenceDue`. Until then a target off the list may have left, and others go
/// first. A loss that is over sooner than targets can be dropped, such as a
/// single call without an answer, changes nothing.
///
/// What a target says itself is newer than any list: one that has said that it
/// leaves gets no new work of this entry in this run, whatever lists say later.
class TargetDirectory {
 public:
  struct Options {
    /// Within this time of the store's return live targets are listed again.
    Duration return_grace = std::chrono::milliseconds(2000);
    /// A store that was away for less drops no live target.
    Duration least_outage{0};
    /// A target off the list is forgotten after this: longer than any request.
    Duration forget_after = std::chrono::seconds(60);
    std::size_t max_targets = 8192;
  };

  explicit TargetDirectory(Options options) : options_(options) {}

  /// Takes a whole list. Returns what changed.
  std::vector<TargetChange> OnListed(const std::vector<TargetRecord>& listed,
                                     TimePoint now);
  /// The target has said that it leaves. Returns what changed.
  std::vector<TargetChange> OnLeavingTold(const std::string& id);
  /// The store cannot be followed; it was last heard at `heard_at`.
  void OnStoreLost(TimePoint heard_at);
  /// The store can be followed again.
  void OnStoreFollowed(TimePoint now);
  /// Every change until `known_until` is in the list taken last, as an answer
  /// of the store proves it. The store's watch rests between two calls; a
  /// target that came back during a rest looks missing until the next. Unless
  /// this is called, changes come at once.
  void OnKnownUntil(TimePoint known_until) { known_until_ = known_until; }
  /// Returns how old the list taken last is; zero where its age is not told.
  Duration Age(TimePoint now) const {
    return now - std::min(known_until_.value_or(now), now);
  }
  /// Returns when absence begins to count for targets that are missing now;
  /// nothing if that does not hang on the store's return. An answer to a
  /// question that was asked then decides, and none before.
  std::optional<TimePoint> AbsenceDue() const;
  /// Returns true while a target that may get work is off the list.
  bool undecided() const { return !undecided_.empty(); }
  /// Returns true if the target is off the list and may be alive all the same.
  bool MayHaveLeft(const std::string& id) const {
    return undecided_.count(id) > 0;
  }
  /// Returns true if so many of the targets in question may have left at once.
  ///
  /// The failure: the store was away and dropped most targets, which are alive.
  /// The symptom: all work goes to the few that are listed, which refuse it.
  /// With no more than a quarter missing the others can carry their work.
  static bool MayHaveLeftTogether(std::size_t missing, std::size_t of) {
    return 4 * missing <= of;
  }
  /// Returns the changes that time alone brings. Call several times a second.
  std::vector<TargetChange> Tick(TimePoint now);

  /// Returns the record of `id`, or null.
  const TargetRecord* Find(const std::string& id) const;
  std::size_t size() const { return targets_.size(); }

 private:
  struct Entry {
    TargetRecord record;
    bool told_leaving = false;  ///< The changes returned last say so.
    bool says_leaving = false;  ///< The target itself does, in this run.
    std::optional<TimePoint> missing_since;
  };

  bool AbsenceCounts(TimePoint now) const;
  void Take(const TargetRecord& record, std::vector<TargetChange>* changes);
  static void Leave(Entry* entry, std::vector<TargetChange>* changes);

  Options options_;
  std::map<std::string, Entry> targets_;
  bool store_lost_ = true;
  TimePoint lost_at_{};
  /// When the store came back last; unset before the first time.
  std::optional<TimePoint> followed_since_;
  std::optional<TimePoint> known_until_;
  bool ever_lost_ = false;
  /// Targets that are off the list and may get work.
  std::unordered_set<std::string> undecided_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_TARGET_DIRECTORY_H_
