#include "core/claims/journal_absorber.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace indigolead {

std::vector<JournalAction> JournalAbsorber::Advance(TimePoint now) {
  if (now < next_call_) {
    return {};
  }
  switch (phase_) {
    case Phase::kToRead:
      phase_ = Phase::kReading;
      return {ReadJournal{source_}};
    case Phase::kToSeal:
      phase_ = Phase::kSealing;
      return {seal_};
    case Phase::kAskingWitnesses: {
      if (!asking_since_) {
        asking_since_ = now;
      }
      // Without witnesses, grants always needed a store write.
      if (last_segment_.witnesses.empty()) {
        complete_ = true;
      }
      if (complete_ ||
          degraded_witnesses_.size() == last_segment_.witnesses.size() ||
          now - *asking_since_ >= options_.witness_timeout) {
        phase_ = Phase::kDone;
        return {};
      }
      next_call_ = now + options_.retry_interval;
      return {AskWitnesses{source_, last_segment_.generation,
                           WitnessMark::kSealed, last_segment_.witnesses}};
    }
    case Phase::kReading:
    case Phase::kSealing:
    case Phase::kDone:
      break;
  }
  return {};
}

void JournalAbsorber::OnWritten(const Result<std::uint64_t>& version,
                                TimePoint now) {
  if (phase_ != Phase::kSealing) {
    return;
  }
  // Whatever the result, the next read shows whether the journal is sealed. Any
  // error is followed by a delay, conflicts included: a store with stale reads
  // would otherwise be called in a tight loop.
  phase_ = Phase::kToRead;
  if (!IsOk(version)) {
    next_call_ = now + options_.retry_interval;
  }
}

void JournalAbsorber::OnRead(const Result<std::vector<StoredSegment>>& segments,
                             TimePoint now) {
  if (phase_ != Phase::kReading) {
    return;
  }
  if (!IsOk(segments)) {
    phase_ = Phase::kToRead;
    next_call_ = now + options_.retry_interval;
    return;
  }
  std::vector<StoredSegment> stored = ValueOf(segments);
  std::sort(stored.begin(), stored.end(), [](const auto& a, const auto& b) {
    return a.segment.number < b.segment.number;
  });
  if (stored.empty() || !stored.back().segment.sealed) {
    MakeSeal(stored);
    phase_ = Phase::kToSeal;
    return;
  }
  KeepLastRecords(stored);
  last_segment_ = stored.back().segment;
  last_segment_.records.clear();
  phase_ = Phase::kAskingWitnesses;
}

void JournalAbsorber::KeepLastRecords(
    const std::vector<StoredSegment>& stored) {
  std::unordered_map<ClaimKey, std::size_t> index_by_key;
  records_.clear();
  for (const StoredSegment& it : stored) {
    for (const ClaimRecord& record : it.segment.records) {
      const auto [found, is_new] =
          index_by_key.try_emplace(record.key, records_.size());
      if (is_new) {
        records_.push_back(record);
      } else {
        records_[found->second] = record;
      }
    }
  }
}

void JournalAbsorber::MakeSeal(const std::vector<StoredSegment>& stored) {
  seal_ = WriteSegment{};
  seal_.segment.ref = source_;
  if (!stored.empty()) {
    const StoredSegment& last = stored.back();
    seal_.segment = last.segment;
    seal_.expected = last.version;
    if (last.segment.closed) {
      // The old home would write the next segment, so the seal goes there.
      seal_.segment.records.clear();
      seal_.segment.closed = false;
      ++seal_.segment.number;
      seal_.expected = 0;
    }
  }
  seal_.segment.sealed = true;
}

void JournalAbsorber::OnWitness(const WitnessReply& reply) {
  if (phase_ != Phase::kAskingWitnesses || reply.ref != source_ ||
      reply.generation != last_segment_.generation) {
    return;
  }
  if (reply.mark == WitnessMark::kSealed) {
    complete_ = true;
    next_call_ = TimePoint{};
  } else if (reply.mark == WitnessMark::kDegraded) {
    degraded_witnesses_.insert(reply.witness);
    next_call_ = TimePoint{};
  }
}

}  // namespace indigolead
