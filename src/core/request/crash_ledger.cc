#include "core/request/crash_ledger.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace indigolead {
namespace {

CrashRecord* FindRecord(CrashReport* report, const TargetCrash& crash) {
  const auto it = std::find_if(
      report->crashes.begin(), report->crashes.end(),
      [&](const CrashRecord& held) { return held.crash == crash; });
  return it == report->crashes.end() ? nullptr : &*it;
}

/// Adds the elements of `added` that are not in the list yet.
template <typename T>
void AppendMissing(const std::vector<T>& added, std::vector<T>* list) {
  for (const T& it : added) {
    if (std::find(list->begin(), list->end(), it) == list->end()) {
      list->push_back(it);
    }
  }
}

ClearedRequest* FindCleared(CrashReport* report, Fingerprint request) {
  const auto it = std::find_if(
      report->cleared.begin(), report->cleared.end(),
      [&](const ClearedRequest& held) { return held.request == request; });
  return it == report->cleared.end() ? nullptr : &*it;
}

void Merge(const CrashRecord& record, CrashReport* report) {
  if (CrashRecord* held = FindRecord(report, record.crash)) {
    AppendMissing(record.running, &held->running);
  } else {
    report->crashes.push_back(record);
  }
}

void Merge(const ClearedRequest& cleared, CrashReport* report) {
  if (ClearedRequest* held = FindCleared(report, cleared.request)) {
    AppendMissing(cleared.crashes, &held->crashes);
  } else {
    report->cleared.push_back(cleared);
  }
}

}  // namespace

void CrashLedger::OnCrash(const TargetCrash& crash,
                          const std::vector<Fingerprint>& running,
                          TimePoint now) {
  Merge(CrashRecord{crash, running}, &own_);
  Rebuild(now);
  LimitOwnReport(now);
}

CrashLedger::ReportUrgency CrashLedger::OnAnswered(Fingerprint request,
                                                   TimePoint now) {
  const auto it = crashes_by_request_.find(request);
  if (it == crashes_by_request_.end()) {
    return ReportUrgency::kNone;
  }
  const ClearedRequest cleared{request, {it->second.begin(), it->second.end()}};
  const bool urgent = it->second.size() + 1 >= options_.crashes_to_block;
  Merge(cleared, &own_);
  Rebuild(now);
  return urgent ? ReportUrgency::kNow : ReportUrgency::kSoon;
}

void CrashLedger::OnReports(std::vector<CrashReport> reports, TimePoint now) {
  other_reports_ = std::move(reports);
  Rebuild(now);
}

void CrashLedger::RestoreOwnReport(const CrashReport& report, TimePoint now) {
  const CrashReport since = std::exchange(own_, report);
  for (const CrashRecord& it : since.crashes) {
    Merge(it, &own_);
  }
  for (const ClearedRequest& it : since.cleared) {
    Merge(it, &own_);
  }
  Rebuild(now);
  LimitOwnReport(now);
}

bool CrashLedger::Counts(const TargetCrash& crash, TimePoint now) const {
  const auto since = known_since_.find(crash);
  return since != known_since_.end() && now - since->second < options_.keep;
}

bool CrashLedger::Tick(TimePoint now) {
  const TimePoint before = std::exchange(ticked_at_, now);
  const bool any_expired = std::any_of(
      known_since_.begin(), known_since_.end(), [&](const auto& it) {
        const TimePoint end = it.second + options_.keep;
        return end > before && end <= now;
      });
  if (!any_expired) {
    return false;
  }
  const CrashReport held = own_;
  std::erase_if(own_.crashes,
                [&](const CrashRecord& it) { return !Counts(it.crash, now); });
  std::erase_if(own_.cleared, [&](const ClearedRequest& it) {
    return std::none_of(
        it.crashes.begin(), it.crashes.end(),
        [&](const TargetCrash& crash) { return Counts(crash, now); });
  });
  Rebuild(now);
  return own_ != held;
}

void CrashLedger::RecordCrashTimes(
    const CrashReport& report, const std::map<TargetCrash, TimePoint>& before,
    TimePoint now) {
  for (const CrashRecord& it : report.crashes) {
    const auto known = before.find(it.crash);
    known_since_.emplace(it.crash, known == before.end() ? now : known->second);
  }
}

void CrashLedger::Rebuild(TimePoint now) {
  const auto before = std::exchange(known_since_, {});
  RecordCrashTimes(own_, before, now);
  for (const CrashReport& it : other_reports_) {
    RecordCrashTimes(it, before, now);
  }
  crashes_by_request_.clear();
  Add(own_, now);
  for (const CrashReport& it : other_reports_) {
    Add(it, now);
  }
  for (const ClearedRequest& it : own_.cleared) {
    Clear(it);
  }
  for (const CrashReport& report : other_reports_) {
    for (const ClearedRequest& it : report.cleared) {
      Clear(it);
    }
  }
}

void CrashLedger::Add(const CrashReport& report, TimePoint now) {
  for (const CrashRecord& record : report.crashes) {
    if (!Counts(record.crash, now)) {
      continue;
    }
    for (const Fingerprint it : record.running) {
      crashes_by_request_[it].insert(record.crash);
    }
  }
}

void CrashLedger::Clear(const ClearedRequest& cleared) {
  const auto it = crashes_by_request_.find(cleared.request);
  if (it == crashes_by_request_.end()) {
    return;
  }
  for (const TargetCrash& crash : cleared.crashes) {
    it->second.erase(crash);
  }
  if (it->second.empty()) {
    crashes_by_request_.erase(it);
  }
}

std::size_t CrashLedger::CountCrashes(Fingerprint request) const {
  const auto it = crashes_by_request_.find(request);
  return it == crashes_by_request_.end() ? 0 : it->second.size();
}

std::optional<Duration> CrashLedger::BlockedFor(Fingerprint request,
                                                TimePoint now) const {
  if (CountCrashes(request) < options_.crashes_to_block) {
    return std::nullopt;
  }
  std::vector<TimePoint> since;
  for (const TargetCrash& it : crashes_by_request_.at(request)) {
    since.push_back(known_since_.at(it));
  }
  std::sort(since.begin(), since.end(), std::greater<>());
  const TimePoint until = since[options_.crashes_to_block - 1] + options_.keep;
  return until > now ? std::optional<Duration>(until - now) : std::nullopt;
}

std::size_t CrashLedger::CountOwnRequests() const {
  std::size_t n = own_.cleared.size();
  for (const CrashRecord& it : own_.crashes) {
    n += it.running.size();
  }
  return n;
}

void CrashLedger::LimitOwnReport(TimePoint now) {
  if (CountOwnRequests() <= options_.max_requests) {
    return;
  }
  const auto may_run = [this](Fingerprint it) {
    return CountCrashes(it) < options_.crashes_to_block;
  };
  for (CrashRecord& it : own_.crashes) {
    if (CountOwnRequests() > options_.max_requests) {
      std::erase_if(it.running, may_run);
    }
  }
  while (!own_.cleared.empty() && CountOwnRequests() > options_.max_requests) {
    own_.cleared.erase(own_.cleared.begin());
  }
  while (CountOwnRequests() > options_.max_requests) {
    own_.crashes.erase(own_.crashes.begin());
  }
  std::erase_if(own_.crashes,
                [](const CrashRecord& it) { return it.running.empty(); });
  Rebuild(now);
}

}  // namespace indigolead
