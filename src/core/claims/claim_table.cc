#include "core/claims/claim_table.h"

#include <utility>

namespace indigolead {
namespace {

constexpr std::size_t kMaxUnreachableEntries = 4096;

}  // namespace

ClaimTable::QueryResult ClaimTable::Query(const ClaimQuery& query,
                                          TimePoint now) {
  const auto it = claims_.find(query.key);
  if (it != claims_.end()) {
    return {DecisionOn(it->second, query, now), false};
  }
  if (claims_.size() >= options_.max_claims) {
    Tick(now);
  }
  if (claims_.size() >= options_.max_claims) {
    return {{ClaimVerdict::kOverloaded, {}, std::chrono::seconds(1)}, false};
  }
  Set(ClaimRecord{query.key,
                  query.body_digest,
                  query.request,
                  ClaimState::kRunning,
                  {}},
      query.entry, now);
  return {{ClaimVerdict::kGranted, {}, {}}, true};
}

ClaimDecision ClaimTable::DecisionOn(const Claim& claim,
                                     const ClaimQuery& query,
                                     TimePoint now) const {
  const ClaimRecord& record = claim.record;
  if (record.body_digest != query.body_digest) {
    return {ClaimVerdict::kBodyDiffers, {}, {}};
  }
  switch (record.state) {
    case ClaimState::kFinished:
      return {
          record.answer ? ClaimVerdict::kFinished : ClaimVerdict::kAlreadyRun,
          record.answer,
          {}};
    case ClaimState::kUnknown:
    case ClaimState::kNotRun:
      return {ClaimVerdict::kUnknown, {}, {}};
    case ClaimState::kRunning:
      break;
  }
  // The entry process must match too: an absorbed claim has none, because its
  // grant may already have been used and the end report lost.
  if (record.request == query.request && claim.entry == query.entry) {
    return {ClaimVerdict::kGranted, {}, {}};
  }
  if (EntryIsUnreachable(claim, now)) {
    return {ClaimVerdict::kUnknown, {}, {}};
  }
  return {ClaimVerdict::kRunning, {}, options_.retry_after};
}

bool ClaimTable::EntryIsUnreachable(const Claim& claim, TimePoint now) const {
  if (!claim.entry) {
    return now - claim.since >= options_.unreachable_grace;
  }
  const auto it = unreachable_since_.find(*claim.entry);
  return it != unreachable_since_.end() &&
         now - it->second >= options_.unreachable_grace;
}

std::optional<ClaimRecord> ClaimTable::End(const ClaimEndReport& report,
                                           TimePoint now) {
  if (report.end == ClaimState::kRunning) {
    return std::nullopt;
  }
  ClaimRecord record{report.key, report.body_digest, report.request, report.end,
                     report.answer};
  const auto it = claims_.find(report.key);
  if (it == claims_.end()) {
    // The claim was lost with an earlier home and is restored from the report.
    // A key without a claim stays free after `kNotRun`.
    if (report.end == ClaimState::kNotRun ||
        claims_.size() >= options_.max_claims) {
      return std::nullopt;
    }
    Set(record, report.entry, now);
    return record;
  }
  if (it->second.record.request != report.request ||
      it->second.record.state != ClaimState::kRunning) {
    return std::nullopt;
  }
  record.body_digest = it->second.record.body_digest;
  if (report.end == ClaimState::kNotRun) {
    Erase(report.key);
  } else {
    Set(record, report.entry, now);
  }
  return record;
}

void ClaimTable::Absorb(const ClaimRecord& record, TimePoint now) {
  if (record.state == ClaimState::kNotRun) {
    Erase(record.key);
    return;
  }
  Set(record, std::nullopt, now);
}

void ClaimTable::MarkEntryUnreachable(const Incarnation& entry, TimePoint now) {
  if (unreachable_since_.size() >= kMaxUnreachableEntries) {
    // If an entry process were removed earlier, its claims would stay running
    // forever. The retention outlasts every request. The map grows past the
    // limit while no entry process has been unreachable for that long.
    std::erase_if(unreachable_since_, [&](const auto& it) {
      return now - it.second >= options_.retention;
    });
  }
  unreachable_since_.try_emplace(entry, now);
}

void ClaimTable::MarkEntryReachable(const Incarnation& entry) {
  unreachable_since_.erase(entry);
}

void ClaimTable::Tick(TimePoint now) {
  while (!by_age_.empty() && now - by_age_.front().at >= options_.retention) {
    const TimedKey oldest = by_age_.front();
    by_age_.pop_front();
    const auto it = claims_.find(oldest.key);
    if (it == claims_.end() || it->second.since != oldest.at) {
      continue;
    }
    if (it->second.record.state == ClaimState::kRunning &&
        !EntryIsUnreachable(it->second, now)) {
      it->second.since = now;
      by_age_.push_back({oldest.key, now});
    } else {
      Erase(oldest.key);
    }
  }
}

std::vector<ClaimRecord> ClaimTable::Snapshot() const {
  std::vector<ClaimRecord> records;
  records.reserve(claims_.size());
  for (const auto& [key, claim] : claims_) {
    records.push_back(claim.record);
  }
  return records;
}

void ClaimTable::Set(const ClaimRecord& record,
                     const std::optional<Incarnation>& entry, TimePoint now) {
  Claim& claim = claims_[record.key];
  DropAnswer(&claim);
  claim.record = record;
  claim.entry = entry;
  claim.since = now;
  by_age_.push_back({record.key, now});
  if (record.answer) {
    answer_bytes_ += record.answer->size();
    answers_.push_back(record.key);
    LimitAnswerBytes();
  }
}

void ClaimTable::Erase(const ClaimKey& key) {
  const auto it = claims_.find(key);
  if (it == claims_.end()) {
    return;
  }
  DropAnswer(&it->second);
  claims_.erase(it);
}

void ClaimTable::DropAnswer(Claim* claim) {
  if (claim->record.answer) {
    answer_bytes_ -= claim->record.answer->size();
    claim->record.answer.reset();
  }
}

void ClaimTable::LimitAnswerBytes() {
  while (answer_bytes_ > options_.max_answer_bytes && !answers_.empty()) {
    const auto it = claims_.find(answers_.front());
    answers_.pop_front();
    if (it != claims_.end()) {
      DropAnswer(&it->second);
    }
  }
  // Removes leading keys whose response was already dropped.
  while (!answers_.empty() && answers_.size() > claims_.size()) {
    const auto it = claims_.find(answers_.front());
    if (it != claims_.end() && it->second.record.answer) {
      break;
    }
    answers_.pop_front();
  }
}

}  // namespace indigolead
