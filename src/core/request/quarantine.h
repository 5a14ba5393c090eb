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

/// Death of one target.
struct TargetDeath {
  std::string instance;
  Duration age{0};  ///< Time since it was noticed.

  friend bool operator==(const TargetDeath&, const TargetDeath&) = default;
};

/// What entries tell each other about a request that was in flight when a
/// target died. Repeating it has no further effect.
struct SuspicionNotice {
  Fingerprint fingerprint = 0;
  std::string client_account;
  std::string deployment;
  std::vector<TargetDeath> deaths;  ///< It was in flight in each of them.
  bool quarantined = false;
  bool lifted = false;     ///< It finished, or an operator lifted it.
  bool in_flight = false;  ///< The sender runs it now.
  Duration remaining{0};   ///< Until it is forgotten.
  std::string reason;

  friend bool operator==(const SuspicionNotice&,
                         const SuspicionNotice&) = default;
};

/// Keeps a request that crashes its targets from crashing all of them.
///
/// The failure: one request kills the target that runs it, and a retry, the
/// caller's or our own, kills the next. A crash alone does not tell which of
/// the requests in flight was the cause, so all of them become suspects.
/// A suspect is retried with no other suspect beside it; a second death that
/// it was part of quarantines it. Innocent ones finish and are cleared.
///
/// Copies of a request must not run on several targets before it has finished
/// once: here they follow the copy that runs, and a suspect goes to the target
/// that all entries choose for it by its hash. So copies that two entries
/// start at the same moment cost one target.
class Quarantine {
 public:
  struct Options {
    std::size_t max_records = 4096;
    std::size_t max_proven = 65536;
    Duration suspect_time = std::chrono::minutes(10);
    /// Reports of two entries about one target within this time are of one
    /// death: longer than a notice takes, shorter than a target's restart.
    Duration same_death = std::chrono::milliseconds(500);
    /// A suspect rests after a kill, so that other entries which run a copy
    /// can say so, and while they go on saying so.
    Duration rest = std::chrono::milliseconds(300);
    Duration busy = std::chrono::milliseconds(1500);
    Duration announce_interval = std::chrono::milliseconds(400);
  };

  /// Limits of the request's deployment.
  struct Policy {
    std::uint32_t kills = 2;
    Duration time = std::chrono::minutes(30);
  };

  /// A request as this entry sees it.
  struct Subject {
    Fingerprint fingerprint = 0;
    std::string client_account;
    std::string deployment;
    Policy policy;
  };

  /// Where a request may go now.
  struct Anywhere {};
  struct OnlyTo {
    std::string instance;
  };
  struct Hold {};  ///< Ask again soon.
  struct Quarantined {
    Duration remaining{0};
    std::string reason;
  };
  using Verdict = std::variant<Anywhere, OnlyTo, Hold, Quarantined>;

  explicit Quarantine(Options options) : options_(options) {}

  /// Returns whether the request may go, and to which of `targets`.
  Verdict Check(const Subject& subject, const std::vector<std::string>& targets,
                TimePoint now) const;

  /// An attempt of the request was sent to a target, or has ended there.
  void OnStarted(const Subject& subject, const AttemptId& attempt,
                 const std::string& instance, TimePoint now);
  void OnFinished(const AttemptId& attempt, TimePoint now);
  void OnBroken(const AttemptId& attempt);

  /// Keeps a suspect from being started here before `until`.
  void Rest(Fingerprint fingerprint, TimePoint until);

  /// A target died with the request in flight.
  void OnKill(const Subject& subject, const std::string& instance,
              TimePoint now);

  /// Another entry says something.
  void OnNotice(const SuspicionNotice& notice, const Policy& policy,
                TimePoint now);

  /// An operator ends a quarantine.
  void Lift(Fingerprint fingerprint, TimePoint now);

  /// Forgets what is over and repeats what other entries must know.
  void Tick(TimePoint now);

  /// Returns what to tell every other entry.
  std::vector<SuspicionNotice> TakeNotices();

  /// Returns the records held, for `status` and for entries that connect.
  std::vector<SuspicionNotice> List(TimePoint now) const;

  std::size_t size() const { return records_.size(); }

 private:
  struct Kill {
    std::string instance;
    TimePoint at;
  };
  struct Record {
    std::string client_account;
    std::string deployment;
    std::vector<Kill> kills;
    bool quarantined = false;
    TimePoint until;
    TimePoint rest_until;  ///< Not to be started here before.
    std::string reason;
  };
  struct Running {
    Fingerprint fingerprint = 0;
    std::string deployment;
    std::string instance;
    TimePoint started;
  };

  Record* Obtain(Fingerprint fingerprint, TimePoint now);
  void AddKill(Record* record, const Kill& kill, TimePoint now);
  std::string PlaceFor(Fingerprint fingerprint, const Record& record,
                       const std::vector<std::string>& targets,
                       TimePoint now) const;
  void Judge(Record* record, const Policy& policy, TimePoint now);
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
  std::unordered_set<Fingerprint> proven_;
  std::deque<Fingerprint> proven_order_;
  std::vector<SuspicionNotice> notices_;
  TimePoint next_announce_;
};

/// Keeps suspects apart at one target, whichever entries send them.
///
/// Two suspects that die together would both be blamed for two deaths, and the
/// innocent one be refused. Only the target's side sees what all entries send.
class SuspectGate {
 public:
  explicit SuspectGate(std::size_t max_suspects = 4096)
      : max_suspects_(max_suspects) {}

  /// Takes in what an entry says about a request.
  void OnNotice(const SuspicionNotice& notice, TimePoint now);

  /// Returns true if an attempt may start beside those running now, and if so
  /// counts it as running.
  bool Admit(const AttemptId& attempt, Fingerprint fingerprint, TimePoint now);

  /// Forgets the attempts that no longer run.
  void Sweep(const std::function<bool(const AttemptId&)>& is_running);

 private:
  bool IsSuspect(Fingerprint fingerprint, TimePoint now) const;

  std::size_t max_suspects_;
  std::unordered_map<Fingerprint, TimePoint> suspects_;  ///< With their end.
  std::unordered_map<AttemptId, Fingerprint> running_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_QUARANTINE_H_
