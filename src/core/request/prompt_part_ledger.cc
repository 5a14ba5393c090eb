#include "core/request/prompt_part_ledger.h"

#include <algorithm>
#include <utility>

namespace indigolead {
namespace {

bool Contains(const std::vector<PromptPartId>& parts, PromptPartId part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

void AppendMissing(const std::vector<PromptPartId>& added,
                   std::vector<PromptPartId>* parts) {
  for (const PromptPartId it : added) {
    if (!Contains(*parts, it)) {
      parts->push_back(it);
    }
  }
}

void Merge(const PartCrashRecord& record, PartCrashReport* report) {
  const auto held = std::find_if(
      report->crashes.begin(), report->crashes.end(),
      [&](const PartCrashRecord& it) { return it.crash == record.crash; });
  if (held == report->crashes.end()) {
    report->crashes.push_back(record);
    return;
  }
  AppendMissing(record.parts, &held->parts);
  AppendMissing(record.answered_before, &held->answered_before);
}

/// Sets how many crashes were known when the part was answered last.
void SetAnswered(PromptPartId part, std::size_t known_crashes,
                 PartCrashReport* report) {
  const auto held =
      std::find_if(report->answered.begin(), report->answered.end(),
                   [part](const AnsweredPart& it) { return it.part == part; });
  if (held == report->answered.end()) {
    report->answered.push_back({part, known_crashes});
  } else {
    held->known_crashes = known_crashes;
  }
}

void EraseAll(const std::set<std::size_t>& erased,
              std::set<std::size_t>* numbers) {
  std::erase_if(*numbers, [&](std::size_t it) { return erased.count(it) > 0; });
}

std::size_t CountCommon(const std::set<std::size_t>& a,
                        const std::set<std::size_t>& b) {
  return static_cast<std::size_t>(std::count_if(
      a.begin(), a.end(), [&](std::size_t it) { return b.count(it) > 0; }));
}

std::size_t CountParts(const PartCrashReport& report) {
  std::size_t n = report.answered.size();
  for (const PartCrashRecord& it : report.crashes) {
    n += it.parts.size() + it.answered_before.size();
  }
  return n;
}

}  // namespace

void PromptPartLedger::OnCrash(const TargetCrash& crash,
                               const std::vector<PromptPartId>& parts,
                               TimePoint now) {
  PartCrashRecord record{crash, {}, {}};
  for (const PromptPartId it : parts) {
    AppendMissing({it},
                  SawAnswered(it) ? &record.answered_before : &record.parts);
  }
  Merge(record, &own_);
  LimitOwnReport();
  Rebuild(now);
}

bool PromptPartLedger::OnAnswered(const std::vector<PromptPartId>& parts) {
  bool contested = false;
  for (const PromptPartId it : parts) {
    RememberAnswered(it);
    const auto held = crashes_by_part_.find(it);
    if (held == crashes_by_part_.end()) {
      continue;
    }
    contested |= held->second.size() + 1 >= options_.crashes_to_block;
    SetAnswered(it, own_.known.size(), &own_);
    crashes_by_part_.erase(held);
  }
  return contested;
}

bool PromptPartLedger::HasUnsharedAnswers() const {
  PromptPartLedger others(options_, random_);
  others.own_.crashes = own_.crashes;
  others.other_reports_ = other_reports_;
  others.Rebuild(TimePoint{});
  return std::any_of(
      own_.answered.begin(), own_.answered.end(), [&](const AnsweredPart& it) {
        return others.CountCrashes(it.part) + 1 >= options_.crashes_to_block;
      });
}

void PromptPartLedger::OnReports(std::vector<PartCrashReport> reports,
                                 TimePoint now) {
  other_reports_ = std::move(reports);
  Rebuild(now);
}

void PromptPartLedger::RestoreOwnReport(const PartCrashReport& report,
                                        TimePoint now) {
  const PartCrashReport since = std::exchange(own_, report);
  Rebuild(now);  // Lists all crashes of the restored report as known.
  // The answers of this process came after these crashes.
  for (const AnsweredPart& it : since.answered) {
    SetAnswered(it.part, own_.known.size(), &own_);
  }
  for (const PartCrashRecord& it : since.crashes) {
    Merge(it, &own_);
  }
  LimitOwnReport();
  Rebuild(now);
}

bool PromptPartLedger::Tick(TimePoint now) {
  std::erase_if(trials_,
                [this](const auto& it) { return CountCrashes(it.first) == 0; });
  const bool any_expired = std::any_of(
      known_since_.begin(), known_since_.end(),
      [&](const auto& it) { return now - it.second >= options_.keep; });
  if (!any_expired) {
    return false;
  }
  const PartCrashReport held = own_;
  DropExpired(now);
  Rebuild(now);
  return own_ != held;
}

void PromptPartLedger::DropExpired(TimePoint now) {
  const auto expired = [&](const TargetCrash& it) {
    const auto since = known_since_.find(it);
    return since == known_since_.end() || now - since->second >= options_.keep;
  };
  std::erase_if(own_.crashes,
                [&](const PartCrashRecord& it) { return expired(it.crash); });
  std::vector<std::size_t> kept_before(own_.known.size() + 1, 0);
  for (std::size_t n = 0; n < own_.known.size(); ++n) {
    kept_before[n + 1] = kept_before[n] + (expired(own_.known[n]) ? 0 : 1);
  }
  for (AnsweredPart& it : own_.answered) {
    it.known_crashes =
        kept_before[std::min(it.known_crashes, own_.known.size())];
  }
  std::erase_if(own_.answered,
                [](const AnsweredPart& it) { return it.known_crashes == 0; });
  std::erase_if(own_.known, expired);
}

// Reports of others that still hold an expired crash do not make it count
// again, as `known_since_` keeps its time for as long as any report names it.
void PromptPartLedger::Learn(const PartCrashReport& report,
                             const std::map<TargetCrash, TimePoint>& before,
                             TimePoint now) {
  for (const PartCrashRecord& it : report.crashes) {
    const auto known = before.find(it.crash);
    const TimePoint since = known == before.end() ? now : known->second;
    if (!known_since_.emplace(it.crash, since).second) {
      continue;
    }
    if (now - since >= options_.keep) {
      continue;
    }
    numbers_.emplace(it.crash, since_.size());
    since_.push_back(since);
  }
}

void PromptPartLedger::Rebuild(TimePoint now) {
  started_at_ = started_at_.value_or(now);
  const auto before = std::exchange(known_since_, {});
  numbers_.clear();
  since_.clear();
  Learn(own_, before, now);
  for (const PartCrashReport& it : other_reports_) {
    Learn(it, before, now);
  }
  const std::set<TargetCrash> listed(own_.known.begin(), own_.known.end());
  for (const auto& [crash, number] : numbers_) {
    if (listed.count(crash) == 0) {
      own_.known.push_back(crash);
    }
  }
  crashes_by_part_.clear();
  answered_elsewhere_.clear();
  Add(own_);
  for (const PartCrashReport& it : other_reports_) {
    Add(it);
  }
  Clear(own_);
  for (const PartCrashReport& it : other_reports_) {
    Clear(it);
  }
}

void PromptPartLedger::Add(const PartCrashReport& report) {
  for (const PartCrashRecord& record : report.crashes) {
    const auto number = numbers_.find(record.crash);
    if (number == numbers_.end()) {
      continue;
    }
    for (const PromptPartId it : record.parts) {
      crashes_by_part_[it].insert(number->second);
    }
    for (const PromptPartId it : record.answered_before) {
      crashes_by_part_[it].insert(number->second);
      answered_elsewhere_.insert(it);
    }
  }
}

void PromptPartLedger::Clear(const PartCrashReport& report) {
  for (const AnsweredPart& answered : report.answered) {
    const auto held = crashes_by_part_.find(answered.part);
    if (held == crashes_by_part_.end()) {
      continue;
    }
    const std::size_t n = std::min(answered.known_crashes, report.known.size());
    for (std::size_t it = 0; it < n; ++it) {
      const auto number = numbers_.find(report.known[it]);
      if (number != numbers_.end()) {
        held->second.erase(number->second);
      }
    }
    if (held->second.empty()) {
      crashes_by_part_.erase(held);
    }
  }
}

void PromptPartLedger::LimitOwnReport() {
  while (!own_.answered.empty() && CountParts(own_) > options_.max_parts) {
    own_.answered.erase(own_.answered.begin());
  }
  while (own_.crashes.size() > 1 && CountParts(own_) > options_.max_parts) {
    own_.crashes.erase(own_.crashes.begin());
  }
}

void PromptPartLedger::RememberAnswered(PromptPartId part) {
  answered_.insert(part);
  if (2 * answered_.size() >= options_.max_answered) {
    answered_before_ = std::exchange(answered_, {});
  }
}

bool PromptPartLedger::SawAnswered(PromptPartId part) const {
  return answered_.count(part) > 0 || answered_before_.count(part) > 0;
}

bool PromptPartLedger::WasAnswered(PromptPartId part) const {
  return SawAnswered(part) || answered_elsewhere_.count(part) > 0;
}

std::size_t PromptPartLedger::CountCrashes(PromptPartId part) const {
  const auto it = crashes_by_part_.find(part);
  return it == crashes_by_part_.end() ? 0 : it->second.size();
}

std::size_t PromptPartLedger::suspects() const {
  return static_cast<std::size_t>(std::count_if(
      crashes_by_part_.begin(), crashes_by_part_.end(), [this](const auto& it) {
        return it.second.size() >= options_.crashes_to_block;
      }));
}

TimePoint PromptPartLedger::SuspectSince(const Crashes& crashes) const {
  std::vector<TimePoint> since;
  since.reserve(crashes.size());
  for (const std::size_t it : crashes) {
    since.push_back(since_[it]);
  }
  std::sort(since.begin(), since.end());
  return since[options_.crashes_to_block - 1];
}

bool PromptPartLedger::IsExplainedByOthers(
    PromptPartId part, const Crashes& crashes,
    const std::vector<PromptPartId>& parts) const {
  const bool was_answered = WasAnswered(part);
  Crashes unexplained = crashes;
  for (const auto& [other, others] : crashes_by_part_) {
    const bool less_suspect = !was_answered && WasAnswered(other);
    if (less_suspect || Contains(parts, other)) {
      continue;
    }
    const std::size_t explained = CountCommon(crashes, others);
    const std::size_t left = crashes.size() - explained;
    const bool more_suspect = was_answered && !WasAnswered(other);
    if (left < options_.crashes_to_block &&
        (more_suspect || explained >= options_.crashes_to_block)) {
      return true;
    }
    if (others.size() > crashes.size()) {
      EraseAll(others, &unexplained);
    }
  }
  return unexplained.size() < options_.crashes_to_block;
}

std::optional<PromptPartBlock> PromptPartLedger::BlockBy(
    PromptPartId part, const std::vector<PromptPartId>& parts,
    TimePoint now) const {
  const auto it = crashes_by_part_.find(part);
  if (it == crashes_by_part_.end() ||
      it->second.size() < options_.crashes_to_block) {
    return std::nullopt;
  }
  const TimePoint since = SuspectSince(it->second);
  const bool is_learning =
      started_at_ && now - *started_at_ < options_.learning_time;
  const bool may_be_cleared = is_learning || WasAnswered(part);
  if ((may_be_cleared && now - since < options_.settle) ||
      IsExplainedByOthers(part, it->second, parts)) {
    return std::nullopt;
  }
  return PromptPartBlock{part, it->second.size(), since + options_.keep - now};
}

std::optional<PromptPartBlock> PromptPartLedger::BlockOf(
    Fingerprint request, const std::vector<PromptPartId>& parts,
    TimePoint now) {
  for (const PromptPartId it : parts) {
    const auto block = BlockBy(it, parts, now);
    if (block && !TakeTrial(*block, request, now)) {
      return block;
    }
  }
  return std::nullopt;
}

Duration PromptPartLedger::TrialDelay(int failed) const {
  constexpr int kMaxDoublings = 6;
  const double factor = 1 << std::min(failed, kMaxDoublings);
  const Duration spread = options_.mean_trial_delay - options_.min_trial_delay;
  // The earliest of all entries is due after `spread` on average.
  const double share = 2 * random_() * static_cast<double>(entries_);
  return std::chrono::duration_cast<Duration>(
      factor * (options_.min_trial_delay + share * spread));
}

bool PromptPartLedger::TakeTrial(const PromptPartBlock& block,
                                 Fingerprint request, TimePoint now) {
  Trial& trial = trials_[block.part];
  if (trial.crashes != block.crashes) {
    const int failed = trial.failed + (trial.request ? 1 : 0);
    trial = {block.crashes, failed, now + TrialDelay(failed), std::nullopt};
  }
  if (now < trial.at) {
    return false;
  }
  if (!trial.request) {
    trial.request = request;
    trial.at = now;
  } else if (now - trial.at >= options_.trial_length) {
    trial.at = now + TrialDelay(trial.failed);  // It ended without evidence.
    trial.request.reset();
    return false;
  }
  return trial.request == request;
}

}  // namespace indigolead
