#ifndef INDIGOLEAD_CORE_REQUEST_CRASH_LEDGER_H_
#define INDIGOLEAD_CORE_REQUEST_CRASH_LEDGER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/time.h"
#include "core/request/fingerprint.h"

namespace indigolead {

/// Identifies the crash of one run of a target. All entries that observe the
/// crash use the same identifier.
struct TargetCrash {
  std::string target;
  std::int64_t run = 0;  ///< Start of that run; 0 if unknown.

  friend auto operator<=>(const TargetCrash&, const TargetCrash&) = default;
};

/// A crash and the requests of one entry that were running on the target.
struct CrashRecord {
  TargetCrash crash;
  std::vector<Fingerprint> running;

  friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
};

/// A request that was answered after these crashes and so did not cause them.
struct ClearedRequest {
  Fingerprint request = 0;
  std::vector<TargetCrash> crashes;

  friend bool operator==(const ClearedRequest&,
                         const ClearedRequest&) = default;
};

/// Everything that one entry reports to the others about crashes.
struct CrashReport {
  std::vector<CrashRecord> crashes;  ///< Oldest first.
  std::vector<ClearedRequest> cleared;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// Counts, over all entries, the target crashes during which each request was
/// running, and determines which requests must not run any more.
///
/// A crash does not show which of the running requests caused it, so it counts
/// against all of them. A complete answer clears a request. A harmless request
/// is blocked only if it was running in `crashes_to_block` crashes without an
/// answer in between.
///
/// Used for targets that entries reach without a side, with reports exchanged
/// through the store; `Quarantine` serves targets with a side.
class CrashLedger {
 public:
  struct Options {
    std::size_t crashes_to_block = 3;
    /// How long a crash counts after this entry learned of it.
    Duration keep = std::chrono::hours(1);
    /// Bound on the requests in this entry's own report. Crashes that block a
    /// request are dropped last.
    std::size_t max_requests = 4096;
  };

  explicit CrashLedger(const Options& options) : options_(options) {}

  /// Records a target crash while these requests of this entry were running.
  void OnCrash(const TargetCrash& crash,
               const std::vector<Fingerprint>& running, TimePoint now);
  /// How urgently the other entries must be informed of an answer.
  enum class ReportUrgency {
    kNone,
    kSoon,
    kNow,  ///< One more crash would block the request.
  };
  /// Clears the request after a complete answer.
  ReportUrgency OnAnswered(Fingerprint request, TimePoint now);
  /// Replaces the reports of all other entries.
  void OnReports(std::vector<CrashReport> reports, TimePoint now);
  /// Merges the report that this entry published before its process restarted.
  void RestoreOwnReport(const CrashReport& report, TimePoint now);
  /// Drops crashes that no longer count. Returns true if that changed `own`.
  bool Tick(TimePoint now);

  /// Returns the number of crashes that count against the request.
  std::size_t CountCrashes(Fingerprint request) const;
  /// Returns for how long the request is blocked; `nullopt` if it may run.
  std::optional<Duration> BlockedFor(Fingerprint request, TimePoint now) const;
  /// Returns the report of this entry for the others.
  const CrashReport& own() const { return own_; }
  /// Returns the number of requests with crashes counted against them.
  std::size_t suspects() const { return crashes_by_request_.size(); }

 private:
  using Crashes = std::set<TargetCrash>;

  void Rebuild(TimePoint now);
  void RecordCrashTimes(const CrashReport& report,
                        const std::map<TargetCrash, TimePoint>& before,
                        TimePoint now);
  void Add(const CrashReport& report, TimePoint now);
  void Clear(const ClearedRequest& cleared);
  bool Counts(const TargetCrash& crash, TimePoint now) const;
  /// Shortens this entry's own report to `max_requests`, oldest first.
  void LimitOwnReport(TimePoint now);
  std::size_t CountOwnRequests() const;

  Options options_;
  CrashReport own_;
  std::vector<CrashReport> other_reports_;
  /// When this entry learned of each reported crash.
  std::map<TargetCrash, TimePoint> known_since_;
  std::unordered_map<Fingerprint, Crashes> crashes_by_request_;
  TimePoint ticked_at_{};
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_CRASH_LEDGER_H_
