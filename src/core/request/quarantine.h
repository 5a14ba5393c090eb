#ifndef INDIGOLEAD_CORE_REQUEST_QUARANTINE_H_
#define INDIGOLEAD_CORE_REQUEST_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/request/fingerprint.h"

namespace indigolead {

/// Crash of one target.
struct TargetDeath {
  std::string instance;
  Duration age{0};  ///< Time since it was detected.

  friend bool operator==(const TargetDeath&, const TargetDeath&) = default;
};

/// Message between entries about a request that was in flight when a target
/// crashed. Idempotent.
struct SuspicionNotice {
  Fingerprint fingerprint = 0;
  std::string client_account;
  std::string deployment;
  std::vector<TargetDeath> deaths;  ///< The request was in flight in each.
  bool quarantined = false;
  bool lifted = false;     ///< The request finished or an operator cleared it.
  bool in_flight = false;  ///< The sender has an attempt running.
  Duration remaining{0};   ///< Until the record expires.
  std::string reason;

  friend bool operator==(const SuspicionNotice&,
                         const SuspicionNotice&) = default;
};

/// Limits how many targets a request can crash when it is retried by the caller
/// or by an entry.
///
/// A crash does not show which of the requests in flight caused it, so all of
/// them become suspects. A suspect is retried on a target that runs no other
/// suspect, and is quarantined at the crash count set in `Policy` (2 by
/// default). A request that finishes is cleared.
///
/// Copies of a request must not run on several targets before one of them has
/// finished. Within an entry they are sent to the target that already runs a
/// copy. A suspect is sent to the target that all entries choose by its hash,
/// so copies started by two entries at the same time can crash only one target.
///
/// Used for targets with a side, through which entries exchange notices;
/// `CrashLedger` serves targets that entries reach without one.
class Quarantine {
 public:
  struct Options {
    std::size_t max_records = 4096;
    std::size_t max_finished = 65536;
    /// How long a request stays a suspect after its last crash.
    Duration suspect_time = std::chrono::minutes(10);
    /// Crashes of one target that two entries report within this time are the
    /// same crash. Longer than the delay of a notice, shorter than the restart
    /// of a target.
    Duration same_crash_window = std::chrono::milliseconds(500);
    /// How long a suspect is not retried after a crash, so that other entries
    /// can report running copies.
    Duration crash_delay = std::chrono::milliseconds(300);
    /// How long a suspect is not retried after each such report.
    Duration in_flight_delay = std::chrono::milliseconds(1500);
    Duration announce_interval = std::chrono::milliseconds(400);
  };

  /// Quarantine limits of the request's deployment.
  struct Policy {
    std::uint32_t observed_crashes = 2;  ///< Crashes that quarantine it.
    /// How long a request stays quarantined.
    Duration time = std::chrono::minutes(30);
  };

  /// A request and the policy that applies to it.
  struct Subject {
    Fingerprint fingerprint = 0;
    std::string client_account;
    std::string deployment;
    Policy policy;
  };

  /// Possible results of `Check`.
  struct Anywhere {};
  struct OnlyTo {
    std::string instance;
  };
  struct Hold {};  ///< Not now; check again soon.
  struct Quarantined {
    Duration remaining{0};
    std::string reason;
  };
  using Verdict = std::variant<Anywhere, OnlyTo, Hold, Quarantined>;

  explicit Quarantine(Options options) : options_(options) {}

  /// Returns whether the request may run now, and where. `OnlyTo` names one of
  /// `targets`, or the instance of a running copy, which `targets` may lack.
  Verdict Check(const Subject& subject, const std::vector<std::string>& targets,
                TimePoint now) const;

  /// Records that an attempt was sent to a target, finished, or failed.
  void OnStarted(const Subject& subject, const AttemptId& attempt,
                 const std::string& instance, TimePoint now);
  void OnFinished(const AttemptId& attempt, TimePoint now);
  void OnFailed(const AttemptId& attempt);

  /// Prevents this entry from starting a suspect before `until`.
  void DeferUntil(Fingerprint fingerprint, TimePoint until);

  /// Records that a target crashed with the request in flight.
  void OnCrash(const Subject& subject, const std::string& instance,
               TimePoint now);

  /// Applies a notice from another entry.
  void OnNotice(const SuspicionNotice& notice, const Policy& policy,
                TimePoint now);

  /// Ends a quarantine on an operator's request.
  void Lift(Fingerprint fingerprint, TimePoint now);

  /// Drops expired records and repeats notices about running suspects.
  void Tick(TimePoint now);

  /// Returns and removes the pending notices for all other entries.
  std::vector<SuspicionNotice> TakeNotices();

  /// Returns all unexpired records, for `status` and for newly connected
  /// entries.
  std::vector<SuspicionNotice> List(TimePoint now) const;

  std::size_t size() const { return records_.size(); }

 private:
  struct ObservedCrash {
    std::string instance;
    TimePoint at;
  };
  struct Record {
    std::string client_account;
    std::string deployment;
    std::vector<ObservedCrash> observed_crashes;
    bool quarantined = false;
    TimePoint until;
    TimePoint deferred_until;  ///< Not started by this entry before this time.
    std::string reason;
  };
  struct Running {
    Fingerprint fingerprint = 0;
    std::string deployment;
    std::string instance;
    TimePoint started;
  };

  Record* GetOrCreate(Fingerprint fingerprint, TimePoint now);
  void AddCrash(Record* record, const ObservedCrash& observed_crash,
                TimePoint now);
  std::string ChooseTarget(Fingerprint fingerprint, const Record& record,
                           const std::vector<std::string>& targets,
                           TimePoint now) const;
  void QuarantineIfDue(Record* record, const Policy& policy, TimePoint now);
  void Announce(Fingerprint fingerprint, const Record& record, TimePoint now);
  void Clear(Fingerprint fingerprint, TimePoint now);
  SuspicionNotice NoticeOf(Fingerprint fingerprint, const Record& record,
                           TimePoint now) const;
  const Running* FindRunning(Fingerprint fingerprint) const;
  bool RunsOtherSuspect(Fingerprint fingerprint,
                        const std::string& instance) const;

  Options options_;
  std::unordered_map<Fingerprint, Record> records_;
  std::unordered_map<AttemptId, Running> running_;
  std::unordered_map<Fingerprint, std::set<AttemptId>> by_fingerprint_;
  std::unordered_set<Fingerprint> finished_;
  std::deque<Fingerprint> finished_order_;
  std::vector<SuspicionNotice> notices_;
  TimePoint next_announce_;
};

/// Prevents two suspects from running on one target at the same time.
///
/// Two suspects that run together in a second crash would both be quarantined,
/// including the harmless one. Only the side process of the target sees the
/// attempts of all entries.
class SuspectGate {
 public:
  explicit SuspectGate(std::size_t max_suspects = 4096)
      : max_suspects_(max_suspects) {}

  /// Applies a notice from an entry.
  void OnNotice(const SuspicionNotice& notice, TimePoint now);

  /// Returns true if an attempt may start alongside those running now, and
  /// records it as running in that case.
  bool Admit(const AttemptId& attempt, Fingerprint fingerprint, TimePoint now);

  /// Drops attempts that no longer run.
  void Sweep(const std::function<bool(const AttemptId&)>& is_running);

 private:
  bool IsSuspect(Fingerprint fingerprint, TimePoint now) const;

  std::size_t max_suspects_;
  std::unordered_map<Fingerprint, TimePoint> suspects_;  ///< Expiry times.
  std::unordered_map<AttemptId, Fingerprint> running_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_QUARANTINE_H_
