#ifndef INDIGOLEAD_CORE_REQUEST_PROMPT_PART_LEDGER_H_
#define INDIGOLEAD_CORE_REQUEST_PROMPT_PART_LEDGER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/request/crash_ledger.h"
#include "core/request/fingerprint.h"
#include "core/request/request_types.h"

namespace indigolead {

/// A crash and the shared prompt parts of the requests of one entry that were
/// running on the target.
struct PartCrashRecord {
  TargetCrash crash;
  std::vector<PromptPartId> parts;  ///< Never seen answered by that entry.
  std::vector<PromptPartId> answered_before;  ///< The other parts.

  friend bool operator==(const PartCrashRecord&,
                         const PartCrashRecord&) = default;
};

/// A prompt part that was answered when the entry knew the first
/// `known_crashes` crashes of its report, and so did not cause them.
struct AnsweredPart {
  PromptPartId part = 0;
  std::size_t known_crashes = 0;

  friend auto operator<=>(const AnsweredPart&, const AnsweredPart&) = default;
};

/// Everything that one entry reports to the others about prompt parts.
struct PartCrashReport {
  std::vector<PartCrashRecord> crashes;  ///< Seen by this entry, oldest first.
  /// Crashes that this entry knows of, its own or not, in the order in which it
  /// learned of them.
  std::vector<TargetCrash> known;
  std::vector<AnsweredPart> answered;

  friend bool operator==(const PartCrashReport&,
                         const PartCrashReport&) = default;
};

/// Why a request is blocked.
struct PromptPartBlock {
  PromptPartId part = 0;
  std::size_t crashes = 0;
  Duration left{0};  ///< Remaining time of the block.

  friend bool operator==(const PromptPartBlock&,
                         const PromptPartBlock&) = default;
};

/// Finds prompt parts that crash the targets, whatever request they occur in.
///
/// A crash counts against every shared part of the requests that were running,
/// until an answer to any request with that part is complete. Parts that occur
/// in most requests are answered all the time, so their counts stay low.
///
/// A request is blocked by a part that has enough crashes, unless parts that
/// the request does not have explain them, so that too few are left:
/// - parts that were running in more crashes, taken together;
/// - one part that alone explains as many as block a request: either may be the
///   cause, and the requests that have only one of them show which;
/// - for a part that was answered before, one that never was.
/// So requests that share only other parts with the crashing ones keep being
/// served.
///
/// Reports of all entries are exchanged through the store, as for
/// `CrashLedger`. Performs no I/O. Not thread-safe.
class PromptPartLedger {
 public:
  struct Options {
    std::size_t crashes_to_block = 3;
    /// How long a crash counts after this entry learned of it.
    Duration keep = std::chrono::hours(1);
    /// How long a part that was answered before must stay suspect until it is
    /// blocked: when many targets fail at once, the answers of the others clear
    /// it in that time.
    Duration settle = std::chrono::seconds(1);
    /// Time after its start in which an entry does not know which parts are
    /// answered, and so takes any part for one that was.
    Duration learning_time = std::chrono::seconds(10);
    /// Least and average time, over all entries, after the last crash until a
    /// request is let through to find out whether a blocked part still crashes
    /// targets. Both double with each that does.
    Duration min_trial_delay = std::chrono::minutes(2);
    Duration mean_trial_delay = std::chrono::minutes(4);
    /// How long such a request may take.
    Duration trial_length = std::chrono::seconds(30);
    /// Bound on the parts in this entry's own report; the oldest are dropped.
    std::size_t max_parts = 4096;
    /// Bound on the answered parts that are remembered.
    std::size_t max_answered = 8192;
  };

  /// `random` returns numbers from 0 to 1.
  PromptPartLedger(const Options& options, std::function<double()> random)
      : options_(options), random_(std::move(random)) {}

  /// Records a target crash while requests of this entry with these shared
  /// parts were running.
  void OnCrash(const TargetCrash& crash, const std::vector<PromptPartId>& parts,
               TimePoint now);
  /// Clears the parts after a complete answer. Returns true if the others must
  /// be informed, because they may block one of the parts.
  bool OnAnswered(const std::vector<PromptPartId>& parts);
  /// Returns true if the reports of the others do not clear all parts that this
  /// entry has cleared and that they may block.
  bool HasUnsharedAnswers() const;
  /// Replaces the reports of all other entries.
  void OnReports(std::vector<PartCrashReport> reports, TimePoint now);
  /// Merges the report that this entry published before its process restarted.
  void RestoreOwnReport(const PartCrashReport& report, TimePoint now);
  /// Sets the number of entries.
  void SetEntries(std::size_t entries) { entries_ = entries; }
  /// Drops crashes that no longer count. Returns true if that changed `own`.
  bool Tick(TimePoint now);

  /// Returns why the request must not run, or nothing if it may. A request for
  /// which this is nothing stays allowed for `trial_length` if it is a trial.
  std::optional<PromptPartBlock> BlockOf(Fingerprint request,
                                         const std::vector<PromptPartId>& parts,
                                         TimePoint now);

  /// Returns the number of crashes that count against the part.
  std::size_t CountCrashes(PromptPartId part) const;
  /// Returns the number of parts with enough crashes to block requests.
  std::size_t suspects() const;
  /// Returns the report of this entry for the others.
  const PartCrashReport& own() const { return own_; }

 private:
  /// Numbers of crashes in `numbers_`.
  using Crashes = std::set<std::size_t>;

  /// A request that finds out whether a part still crashes targets.
  struct Trial {
    std::size_t crashes = 0;  ///< Of the part, when the trial was planned.
    int failed = 0;           ///< Earlier trials that crashed a target.
    TimePoint at;
    std::optional<Fingerprint> request;  ///< Set once the trial has begun.
  };

  void Rebuild(TimePoint now);
  void Learn(const PartCrashReport& report,
             const std::map<TargetCrash, TimePoint>& before, TimePoint now);
  void Add(const PartCrashReport& report);
  void Clear(const PartCrashReport& report);
  void DropExpired(TimePoint now);
  void LimitOwnReport();
  void RememberAnswered(PromptPartId part);
  /// Returns true if this entry has seen the part answered, at any time.
  bool SawAnswered(PromptPartId part) const;
  /// Returns true if any entry has, as far as reports tell.
  bool WasAnswered(PromptPartId part) const;
  /// Returns when the part got the last of the crashes that block it.
  TimePoint SuspectSince(const Crashes& crashes) const;
  /// Returns true if parts that are not in `parts` explain these crashes.
  bool IsExplainedByOthers(PromptPartId part, const Crashes& crashes,
                           const std::vector<PromptPartId>& parts) const;
  std::optional<PromptPartBlock> BlockBy(PromptPartId part,
                                         const std::vector<PromptPartId>& parts,
                                         TimePoint now) const;
  /// Returns true if the request may run although its part is blocked.
  bool TakeTrial(const PromptPartBlock& block, Fingerprint request,
                 TimePoint now);
  Duration TrialDelay(int failed) const;

  Options options_;
  std::function<double()> random_;
  std::size_t entries_ = 1;
  PartCrashReport own_;
  std::vector<PartCrashReport> other_reports_;
  /// When this entry learned of each reported crash.
  std::map<TargetCrash, TimePoint> known_since_;
  std::map<TargetCrash, std::size_t> numbers_;
  std::vector<TimePoint> since_;  ///< By the numbers in `numbers_`.
  std::unordered_map<PromptPartId, Crashes> crashes_by_part_;
  /// Parts that other entries have seen answered before they ran in a crash.
  std::unordered_set<PromptPartId> answered_elsewhere_;
  /// Parts seen answered: two generations, of which the older is dropped when
  /// the newer is full.
  std::unordered_set<PromptPartId> answered_;
  std::unordered_set<PromptPartId> answered_before_;
  std::map<PromptPartId, Trial> trials_;
  std::optional<TimePoint> started_at_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_PROMPT_PART_LEDGER_H_
