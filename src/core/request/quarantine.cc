#include "core/request/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace indigolead {
namespace {

constexpr std::size_t kMaxCrashes = 16;

/// Returns the target with the highest rendezvous hash for `fingerprint`. Every
/// entry with the same `targets` chooses the same one.
const std::string& ChooseByHash(Fingerprint fingerprint,
                                const std::vector<std::string>& targets) {
  return *std::max_element(targets.begin(), targets.end(),
                           [&](const std::string& a, const std::string& b) {
                             return XXH64(a.data(), a.size(), fingerprint) <
                                    XXH64(b.data(), b.size(), fingerprint);
                           });
}

}  // namespace

Quarantine::Verdict Quarantine::Check(const Subject& subject,
                                      const std::vector<std::string>& targets,
                                      TimePoint now) const {
  const Fingerprint fingerprint = subject.fingerprint;
  const auto it = records_.find(fingerprint);
  const Running* running = FindRunning(fingerprint);
  if (it == records_.end() || now >= it->second.until) {
    if (running && finished_.count(fingerprint) == 0) {
      return OnlyTo{running->instance};
    }
    return Anywhere{};
  }
  const Record& record = it->second;
  if (record.quarantined) {
    return Quarantined{record.until - now, record.reason};
  }
  if (now < record.deferred_until || running || targets.empty()) {
    return Hold{};
  }
  const std::string chosen = ChooseTarget(fingerprint, record, targets, now);
  if (chosen.empty() || RunsOtherSuspect(fingerprint, chosen)) {
    return Hold{};
  }
  return OnlyTo{chosen};
}

std::string Quarantine::ChooseTarget(Fingerprint fingerprint,
                                     const Record& record,
                                     const std::vector<std::string>& targets,
                                     TimePoint now) const {
  // Prefers a target that has not crashed with this request, so that a new
  // crash is distinguishable by instance name. A crashed one is reused only if
  // there is no other and each crash is older than twice `same_crash_window`.
  std::vector<std::string> uncrashed_targets;
  bool settled = true;
  for (const std::string& it : targets) {
    const bool has_crashed = std::any_of(
        record.observed_crashes.begin(), record.observed_crashes.end(),
        [&](const ObservedCrash& observed_crash) {
          return observed_crash.instance == it;
        });
    if (!has_crashed) {
      uncrashed_targets.push_back(it);
    }
  }
  for (const ObservedCrash& it : record.observed_crashes) {
    settled = settled && now - it.at > 2 * options_.same_crash_window;
  }
  if (!uncrashed_targets.empty()) {
    return ChooseByHash(fingerprint, uncrashed_targets);
  }
  return settled ? ChooseByHash(fingerprint, targets) : std::string();
}

void Quarantine::OnStarted(const Subject& subject, const AttemptId& attempt,
                           const std::string& instance, TimePoint now) {
  running_[attempt] = {subject.fingerprint, subject.deployment, instance, now};
  by_fingerprint_[subject.fingerprint].insert(attempt);
  const auto it = records_.find(subject.fingerprint);
  if (it != records_.end()) {
    Announce(subject.fingerprint, it->second, now);
  }
}

void Quarantine::OnFinished(const AttemptId& attempt, TimePoint now) {
  const auto it = running_.find(attempt);
  if (it == running_.end()) {
    return;
  }
  const Fingerprint fingerprint = it->second.fingerprint;
  OnFailed(attempt);
  if (finished_.insert(fingerprint).second) {
    finished_order_.push_back(fingerprint);
  }
  if (finished_order_.size() > options_.max_finished) {
    finished_.erase(finished_order_.front());
    finished_order_.pop_front();
  }
  const auto record = records_.find(fingerprint);
  if (record != records_.end() && !record->second.quarantined) {
    Clear(fingerprint, now);
  }
}

void Quarantine::OnFailed(const AttemptId& attempt) {
  const auto it = running_.find(attempt);
  if (it == running_.end()) {
    return;
  }
  const auto copies = by_fingerprint_.find(it->second.fingerprint);
  copies->second.erase(attempt);
  if (copies->second.empty()) {
    by_fingerprint_.erase(copies);
  }
  running_.erase(it);
}

void Quarantine::DeferUntil(Fingerprint fingerprint, TimePoint until) {
  const auto it = records_.find(fingerprint);
  if (it != records_.end()) {
    it->second.deferred_until = std::max(it->second.deferred_until, until);
  }
}

void Quarantine::OnCrash(const Subject& subject, const std::string& instance,
                         TimePoint now) {
  Record* record = GetOrCreate(subject.fingerprint, now);
  record->client_account = subject.client_account;
  record->deployment = subject.deployment;
  // Copies that were running in the same crash count it once. A copy that was
  // started after the recorded crash belongs to a new one.
  TimePoint started = now;
  const auto copies = by_fingerprint_.find(subject.fingerprint);
  if (copies != by_fingerprint_.end()) {
    for (const AttemptId& it : copies->second) {
      const Running& running = running_.at(it);
      if (running.instance == instance) {
        started = std::min(started, running.started);
      }
    }
  }
  for (const ObservedCrash& it : record->observed_crashes) {
    if (it.instance == instance && started < it.at) {
      return;
    }
  }
  AddCrash(record, {instance, now}, now);
  QuarantineIfDue(record, subject.policy, now);
  Announce(subject.fingerprint, *record, now);
}

void Quarantine::AddCrash(Record* record, const ObservedCrash& observed_crash,
                          TimePoint now) {
  if (record->observed_crashes.size() < kMaxCrashes) {
    record->observed_crashes.push_back(observed_crash);
  }
  record->deferred_until =
      std::max(record->deferred_until, now + options_.crash_delay);
  record->until = std::max(record->until, now + options_.suspect_time);
}

void Quarantine::QuarantineIfDue(Record* record, const Policy& policy,
                                 TimePoint now) {
  if (record->quarantined ||
      record->observed_crashes.size() < policy.observed_crashes) {
    return;
  }
  record->quarantined = true;
  record->until = now + policy.time;
  record->reason = "in flight when these targets died:";
  for (const ObservedCrash& it : record->observed_crashes) {
    record->reason += " " + it.instance;
  }
}

void Quarantine::OnNotice(const SuspicionNotice& notice, const Policy& policy,
                          TimePoint now) {
  if (notice.lifted) {
    records_.erase(notice.fingerprint);
    return;
  }
  Record* record = GetOrCreate(notice.fingerprint, now);
  record->client_account = notice.client_account;
  record->deployment = notice.deployment;
  for (const TargetDeath& it : notice.deaths) {
    const TimePoint at = now - it.age;
    const bool known = std::any_of(
        record->observed_crashes.begin(), record->observed_crashes.end(),
        [&](const ObservedCrash& observed_crash) {
          const Duration apart = observed_crash.at > at
                                     ? observed_crash.at - at
                                     : at - observed_crash.at;
          return observed_crash.instance == it.instance &&
                 apart <= options_.same_crash_window;
        });
    if (!known) {
      AddCrash(record, {it.instance, at}, now);
    }
  }
  if (notice.in_flight) {
    record->deferred_until =
        std::max(record->deferred_until, now + options_.in_flight_delay);
  }
  record->until = std::max(record->until, now + notice.remaining);
  if (notice.quarantined) {
    record->quarantined = true;
    record->reason = notice.reason;
  }
  // Each of the two entries may have observed a different crash.
  QuarantineIfDue(record, policy, now);
  if (!record->quarantined && FindRunning(notice.fingerprint) &&
      !notice.in_flight) {
    // The sender may be about to retry the request and must first learn that a
    // copy runs here.
    Announce(notice.fingerprint, *record, now);
  }
}

void Quarantine::Lift(Fingerprint fingerprint, TimePoint now) {
  Clear(fingerprint, now);
}

void Quarantine::Clear(Fingerprint fingerprint, TimePoint now) {
  const auto it = records_.find(fingerprint);
  if (it == records_.end()) {
    return;
  }
  SuspicionNotice notice = NoticeOf(fingerprint, it->second, now);
  notice.lifted = true;
  notice.quarantined = false;
  records_.erase(it);
  notices_.push_back(std::move(notice));
}

void Quarantine::Tick(TimePoint now) {
  std::erase_if(records_,
                [&](const auto& it) { return now >= it.second.until; });
  if (now < next_announce_) {
    return;
  }
  next_announce_ = now + options_.announce_interval;
  for (const auto& [fingerprint, copies] : by_fingerprint_) {
    const auto it = records_.find(fingerprint);
    if (it != records_.end() && !it->second.quarantined) {
      Announce(fingerprint, it->second, now);
    }
  }
}

std::vector<SuspicionNotice> Quarantine::TakeNotices() {
  return std::exchange(notices_, {});
}

std::vector<SuspicionNotice> Quarantine::List(TimePoint now) const {
  std::vector<SuspicionNotice> all;
  for (const auto& [fingerprint, record] : records_) {
    if (now < record.until) {
      all.push_back(NoticeOf(fingerprint, record, now));
    }
  }
  return all;
}

Quarantine::Record* Quarantine::GetOrCreate(Fingerprint fingerprint,
                                            TimePoint now) {
  if (records_.size() >= options_.max_records &&
      records_.count(fingerprint) == 0) {
    // Evicts the record that expires first.
    const auto oldest = std::min_element(
        records_.begin(), records_.end(), [](const auto& a, const auto& b) {
          return a.second.until < b.second.until;
        });
    records_.erase(oldest);
  }
  Record& record = records_[fingerprint];
  if (record.until != TimePoint{} && now >= record.until) {
    record = {};  // An expired record starts over.
  }
  return &record;
}

void Quarantine::Announce(Fingerprint fingerprint, const Record& record,
                          TimePoint now) {
  notices_.push_back(NoticeOf(fingerprint, record, now));
}

SuspicionNotice Quarantine::NoticeOf(Fingerprint fingerprint,
                                     const Record& record,
                                     TimePoint now) const {
  SuspicionNotice notice;
  notice.fingerprint = fingerprint;
  notice.client_account = record.client_account;
  notice.deployment = record.deployment;
  for (const ObservedCrash& it : record.observed_crashes) {
    notice.deaths.push_back({it.instance, now - it.at});
  }
  notice.quarantined = record.quarantined;
  notice.in_flight = FindRunning(fingerprint) != nullptr;
  notice.remaining = record.until - now;
  notice.reason = record.reason;
  return notice;
}

const Quarantine::Running* Quarantine::FindRunning(
    Fingerprint fingerprint) const {
  const auto copies = by_fingerprint_.find(fingerprint);
  if (copies == by_fingerprint_.end()) {
    return nullptr;
  }
  return &running_.at(*copies->second.begin());
}

bool Quarantine::RunsOtherSuspect(Fingerprint fingerprint,
                                  const std::string& instance) const {
  return std::any_of(running_.begin(), running_.end(), [&](const auto& it) {
    return it.second.fingerprint != fingerprint &&
           it.second.instance == instance &&
           records_.count(it.second.fingerprint) > 0;
  });
}

void SuspectGate::OnNotice(const SuspicionNotice& notice, TimePoint now) {
  if (notice.lifted) {
    suspects_.erase(notice.fingerprint);
    return;
  }
  if (suspects_.size() >= max_suspects_) {
    std::erase_if(suspects_, [&](const auto& it) { return now >= it.second; });
  }
  if (suspects_.size() < max_suspects_ ||
      suspects_.count(notice.fingerprint) > 0) {
    suspects_[notice.fingerprint] = now + notice.remaining;
  }
}

bool SuspectGate::IsSuspect(Fingerprint fingerprint, TimePoint now) const {
  const auto it = suspects_.find(fingerprint);
  return it != suspects_.end() && now < it->second;
}

bool SuspectGate::Admit(const AttemptId& attempt, Fingerprint fingerprint,
                        TimePoint now) {
  if (IsSuspect(fingerprint, now)) {
    for (const auto& [id, other] : running_) {
      if (other != fingerprint && IsSuspect(other, now)) {
        return false;
      }
    }
  }
  running_[attempt] = fingerprint;
  return true;
}

void SuspectGate::Sweep(
    const std::function<bool(const AttemptId&)>& is_running) {
  std::erase_if(running_,
                [&](const auto& it) { return !is_running(it.first); });
}

}  // namespace indigolead
