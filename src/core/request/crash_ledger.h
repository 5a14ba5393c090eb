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

/// Names the crash of one run of a target. Whoever sees it names it the same.
struct TargetCrash {
  std::string target;
  std::int64_t run = 0;  ///< Start of that run; 0 if the target does not say.

  friend auto operator<=>(const TargetCrash&, const TargetCrash&) = default;
};

/// A crash and the requests of one entry that ran in the target.
struct CrashRecord {
  TargetCrash crash;
  std::vector<Fingerprint> running;

  friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
};

/// A request that was answered since, so these crashes were not its doing.
struct ClearedRequest {
  Fingerprint request = 0;
  std::vector<TargetCrash> crashes;

  friend bool operator==(const ClearedRequest&,
                         const ClearedRequest&) = default;
};

/// All that one entry tells the others of crashes.
struct CrashReport {
  std::vector<CrashRecord> crashes;  ///< The oldest first.
  std::vector<ClearedRequest> cleared;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// Counts the crashes of targets under each request, as seen by all entries,
/// and says which requests are to run no more.
///
/// A crash alone does not tell which of the requests that ran was its cause, so
/// all of them are counted. An innocent one is cleared when it is answered; it
/// is stopped only if it ran in `crashes_to_stop` targets that crashed and was
/// never answered in between.
class CrashLedger {
 public:
  struct Options {
    std::size_t crashes_to_stop = 3;
    /// A crash counts for so long after this entry has learned of it.
    Duration keep = std::chrono::hours(1);
    /// Bound on the requests in this entry's own report. What has stopped a
    /// request is dropped last.
    std::size_t max_requests = 4096;
  };

  explicit CrashLedger(const Options& options) : options_(options) {}

  /// A target crashed while it ran these requests of this entry.
  void OnCrash(const TargetCrash& crash,
               const std::vector<Fingerprint>& running, TimePoint now);
  /// Whether the other entries must be told of an answer.
  enum class Telling {
    kNot,
    kSoon,
    kNow,  ///< One crash more would stop the request.
  };
  /// The request has a whole answer.
  Telling OnAnswered(Fingerprint request, TimePoint now);
  /// Takes the reports of all other entries.
  void OnReports(std::vector<CrashReport> reports, TimePoint now);
  /// Takes what this entry had reported before its process started anew.
  void OnEarlierReport(const CrashReport& report, TimePoint now);
  /// Drops what does not count any more. Returns true if that changed `own`.
  bool Tick(TimePoint now);

  /// Returns the crashes that count against the request.
  std::size_t CrashesUnder(Fingerprint request) const;
  /// Returns for how long the request is not to run; nothing if it may.
  std::optional<Duration> StoppedFor(Fingerprint request, TimePoint now) const;
  /// Returns what this entry tells the others.
  const CrashReport& own() const { return own_; }
  /// Returns the number of requests that ran in a target which crashed.
  std::size_t suspects() const { return crashes_under_.size(); }

 private:
  using Crashes = std::set<TargetCrash>;

  void Rebuild(TimePoint now);
  void Learn(const CrashReport& report,
             const std::map<TargetCrash, TimePoint>& before, TimePoint now);
  void Add(const CrashReport& report, TimePoint now);
  void Clear(const ClearedRequest& cleared);
  bool Counts(const TargetCrash& crash, TimePoint now) const;
  /// Drops the oldest of this entry's own report if it has become too long.
  void BoundOwn(TimePoint now);
  std::size_t OwnRequests() const;

  Options options_;
  CrashReport own_;
  std::vector<CrashReport> others_;
  /// When this entry learned of each crash that is in a report.
  std::map<TargetCrash, TimePoint> known_since_;
  std::unordered_map<Fingerprint, Crashes> crashes_under_;
  TimePoint ticked_at_{};
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_CRASH_LEDGER_H_
