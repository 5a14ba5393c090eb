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

/// Identifies one run of a target, which may restart under the same id.
///
/// Only compared for equality: the target's clock may jump, so a later run can
/// have a smaller number.
struct TargetRun {
  std::int64_t started_ms = 0;  ///< Unix time of the start, by its own clock.

  friend bool operator==(const TargetRun&, const TargetRun&) = default;
};

/// Registration of one target.
struct TargetRecord {
  std::string id;
  std::string service;
  std::string address;  ///< "IP:port"; reused by others once it is gone.
  std::string failure_domain;
  std::uint32_t slots = 1;
  bool leaving = false;
  EngineRole role = EngineRole::kMixed;
  /// Version of its software, not of the weights that it serves.
  std::string software_version = {};
  std::optional<TargetRun> run = std::nullopt;  ///< Unset if not reported.
  /// Requests per second that it accepts from all entries together, as reported
  /// by the entry that learned it from the target; unset if there is no limit.
  std::optional<double> shared_limit = std::nullopt;

  friend bool operator==(const TargetRecord&, const TargetRecord&) = default;
};

/// A change of one target.
struct TargetChange {
  enum class Kind {
    kAdded,      ///< May get work.
    kUpdated,    ///< Another field of its record changed.
    kRestarted,  ///< A new run, without the state of the previous one.
    kLeaving,    ///< Gets no new work; running requests continue.
    kReturned,   ///< May get work again.
    kRemoved,    ///< Forgotten; all state kept for it can be dropped.
  };
  Kind kind = Kind::kAdded;
  TargetRecord target;

  friend bool operator==(const TargetChange&, const TargetChange&) = default;
};

/// Decides which targets may get new work, from lists that may be late,
/// incomplete or missing.
///
/// A target that is not on the list is leaving: it may still serve for seconds,
/// and its running requests continue. After an outage, however, the store has
/// dropped the targets whose heartbeats it could not receive, and they register
/// again within moments. Acting on such a list at once would leave no target
/// for that time. A missing target is therefore treated as leaving only if a
/// list that is up to date as of `return_grace` after the store's return still
/// lacks it; the user of this class requests the list at that time, see
/// `AbsenceDue`. Until then an unlisted target may have left, and
/// listed targets are preferred. An outage too short for targets to be dropped,
/// such as a single unanswered call, has no effect.
///
/// A target's own notice is newer than any list: one that has announced that it
/// leaves gets no new work from this entry in this run, whatever later lists
/// say.
class TargetDirectory {
 public:
  struct Options {
    /// Time after the store's return by which all live targets are listed
    /// again.
    Duration return_grace = std::chrono::milliseconds(2000);
    /// A shorter outage of the store does not make it drop a live target.
    Duration min_outage{0};
    /// Time after which an unlisted target is removed. Longer than any request.
    Duration forget_after = std::chrono::seconds(60);
    std::size_t max_targets = 8192;
  };

  explicit TargetDirectory(Options options) : options_(options) {}

  /// Applies a complete list. Returns what changed.
  std::vector<TargetChange> OnListed(const std::vector<TargetRecord>& listed,
                                     TimePoint now);
  /// Records that the target has announced that it leaves. Returns what
  /// changed.
  std::vector<TargetChange> OnLeavingNotice(const std::string& id);
  /// Records that changes of the store can no longer be followed; its last
  /// answer came at `heard_at`.
  void OnStoreLost(TimePoint heard_at);
  /// Records that changes of the store can be followed again.
  void OnStoreFollowed(TimePoint now);
  /// Records that the last list contains every change up to `known_until`, as
  /// shown by an answer of the store. The watch of the store pauses between two
  /// calls, so a target that returned during a pause looks missing until the
  /// next one. If this is never called, lists count as up to date.
  void OnKnownUntil(TimePoint known_until) { known_until_ = known_until; }
  /// Returns the age of the last list; zero if its age is unknown.
  Duration Age(TimePoint now) const {
    return now - std::min(known_until_.value_or(now), now);
  }
  /// Returns when absence begins to count for targets that are missing now;
  /// unset if that does not depend on the store's return. Only the answer to a
  /// request sent at that time or later decides.
  std::optional<TimePoint> AbsenceDue() const;
  /// Returns true while an unlisted target may still get work.
  bool undecided() const { return !undecided_.empty(); }
  /// Returns true if the target is not listed but may still be alive.
  bool MayHaveLeft(const std::string& id) const {
    return undecided_.count(id) > 0;
  }
  /// Returns true if the target is known, but is not on the last list.
  bool IsMissing(const std::string& id) const;
  /// Returns true if `missing` out of `of` targets is few enough for them to
  /// have left at the same time: at most a quarter.
  ///
  /// After an outage the store may have dropped most targets although they are
  /// alive. If all work went to the few listed ones, these would refuse it.
  /// With at most a quarter missing, the others can take over their work.
  static bool MayHaveLeftTogether(std::size_t missing, std::size_t of) {
    return 4 * missing <= of;
  }
  /// Returns the changes that are due at `now`. Must be called several times a
  /// second.
  std::vector<TargetChange> Tick(TimePoint now);

  /// Returns the record of `id`, or null.
  const TargetRecord* Find(const std::string& id) const;
  std::size_t size() const { return targets_.size(); }

 private:
  struct Entry {
    TargetRecord record;
    bool reported_leaving = false;   ///< Last reported as leaving.
    bool announced_leaving = false;  ///< Announced by the target in this run.
    std::optional<TimePoint> missing_since;
  };

  bool IsAbsenceConclusive(TimePoint now) const;
  void ApplyRecord(const TargetRecord& record,
                   std::vector<TargetChange>* changes);
  static void MarkLeaving(Entry* entry, std::vector<TargetChange>* changes);

  Options options_;
  std::map<std::string, Entry> targets_;
  bool store_lost_ = true;
  TimePoint lost_at_{};
  /// When the store was first followed or, later, returned from its last outage
  /// of at least `Options::min_outage`; unset before.
  std::optional<TimePoint> followed_since_;
  std::optional<TimePoint> known_until_;
  bool had_outage_ = false;
  /// Unlisted targets that may still get work.
  std::unordered_set<std::string> undecided_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_MEMBERSHIP_TARGET_DIRECTORY_H_
