#include "core/claims/claim_journal.h"

#include <algorithm>
#include <utility>

namespace indigolead {
namespace {

constexpr std::size_t kRecordOverheadBytes = 64;

std::size_t SizeOf(const ClaimRecord& record) {
  return kRecordOverheadBytes + (record.answer ? record.answer->size() : 0);
}

std::size_t SizeOf(const std::vector<ClaimRecord>& records) {
  std::size_t n = 0;
  for (const ClaimRecord& it : records) {
    n += SizeOf(it);
  }
  return n;
}

bool Contains(const std::vector<Incarnation>& all, const Incarnation& one) {
  return std::find(all.begin(), all.end(), one) != all.end();
}

}  // namespace

ClaimJournal::ClaimJournal(Options options, JournalRef ref)
    : options_(options), ref_(std::move(ref)) {
  open_.ref = ref_;
}

std::uint64_t ClaimJournal::Append(ClaimRecord record) {
  pending_.push_back(std::move(record));
  ++appended_;
  Release();
  return appended_;
}

void ClaimJournal::SetCandidates(std::vector<Incarnation> candidates) {
  std::sort(candidates.begin(), candidates.end());
  candidates_ = std::move(candidates);
}

void ClaimJournal::SetIncompleteSlots(std::vector<std::uint32_t> slots) {
  if (slots != incomplete_slots_) {
    incomplete_slots_ = std::move(slots);
    gaps_changed_ = true;
  }
}

std::vector<JournalAction> ClaimJournal::Advance(TimePoint now) {
  std::vector<JournalAction> out;
  if (fenced_) {
    return out;
  }
  if (pending_.empty()) {
    waiting_since_.reset();
  } else if (!waiting_since_) {
    waiting_since_ = now;
  }
  AdvanceStore(now, &out);
  AdvanceWitnesses(now, &out);
  // One segment is always kept. A successor that finds no segment seals the
  // journal at number 0, and this home's next write would not conflict.
  while (!closed_.empty() && (open_version_ != 0 || closed_.size() > 1) &&
         now - closed_.front().at >= options_.retention) {
    out.push_back(
        DeleteSegment{ref_, closed_.front().number, closed_.front().version});
    closed_bytes_ -= closed_.front().bytes;
    closed_.pop_front();
  }
  return out;
}

void ClaimJournal::AdvanceStore(TimePoint now,
                                std::vector<JournalAction>* out) {
  if (now < next_store_call_) {
    return;
  }
  if (phase_ == Phase::kUncertain) {
    phase_ = Phase::kReading;
    out->push_back(ReadJournal{ref_});
    return;
  }
  if (phase_ != Phase::kIdle || !WantsWrite()) {
    return;
  }
  segment_in_flight_ = MakeSegment();
  // The store may hold this generation from now on, so grants without a store
  // write also need the agreement of its witnesses. Otherwise a recovery write
  // whose reply is lost would look complete while such grants continue.
  possible_generations_[segment_in_flight_.generation] =
      segment_in_flight_.witnesses;
  phase_ = Phase::kWriting;
  next_store_call_ = now + options_.write_interval;
  ++writes_;
  out->push_back(WriteSegment{segment_in_flight_, open_version_});
}

void ClaimJournal::AdvanceWitnesses(TimePoint now,
                                    std::vector<JournalAction>* out) {
  const bool stuck =
      waiting_since_ && now - *waiting_since_ >= options_.degrade_after;
  if (!opened_ || !stuck || Degraded() || now < next_witness_call_) {
    return;
  }
  next_witness_call_ = now + options_.retry_interval;
  for (const auto& [generation, witnesses] : possible_generations_) {
    if (!witnesses.empty()) {
      asked_generations_.insert(generation);
      out->push_back(
          AskWitnesses{ref_, generation, WitnessMark::kDegraded, witnesses});
    }
  }
}

bool ClaimJournal::Degraded() const {
  if (!opened_ || fenced_ || possible_generations_.empty()) {
    return false;
  }
  for (const auto& [generation, witnesses] : possible_generations_) {
    const auto it = agreed_witnesses_.find(generation);
    if (witnesses.empty() || it == agreed_witnesses_.end()) {
      return false;
    }
    for (const Incarnation& witness : witnesses) {
      if (it->second.count(witness) == 0) {
        return false;
      }
    }
  }
  return true;
}

bool ClaimJournal::AskedWitnesses() const {
  return std::any_of(
      possible_generations_.begin(), possible_generations_.end(),
      [this](auto& it) { return asked_generations_.count(it.first) > 0; });
}

bool ClaimJournal::WantsWrite() const {
  return !opened_ || !pending_.empty() || gaps_changed_ || AskedWitnesses() ||
         WantsNewWitnesses();
}

bool ClaimJournal::WantsNewWitnesses() const {
  if (possible_generations_.empty()) {
    return true;
  }
  const std::vector<Incarnation>& held = possible_generations_.rbegin()->second;
  const std::size_t wanted =
      std::min(options_.witness_count, candidates_.size());
  const bool one_gone = std::any_of(
      held.begin(), held.end(),
      [this](const Incarnation& it) { return !Contains(candidates_, it); });
  return wanted > 0 && (one_gone || held.size() < wanted);
}

std::vector<Incarnation> ClaimJournal::PickWitnesses() const {
  std::vector<Incarnation> picked;
  if (candidates_.empty()) {
    return picked;
  }
  // The journal id spreads the witnesses of all homes over the entry processes.
  const std::size_t n = candidates_.size();
  const std::size_t first = ref_.journal.value.lo % n;
  for (std::size_t it = 0; it < std::min(n, options_.witness_count); ++it) {
    picked.push_back(candidates_[(first + it) % n]);
  }
  return picked;
}

JournalSegment ClaimJournal::MakeSegment() const {
  JournalSegment segment = open_;
  std::size_t bytes = SizeOf(segment.records);
  std::size_t taken = 0;
  while (taken < pending_.size() &&
         segment.records.size() < options_.max_segment_records &&
         bytes < options_.max_segment_bytes) {
    bytes += SizeOf(pending_[taken]);
    segment.records.push_back(pending_[taken]);
    ++taken;
  }
  segment.closed = segment.records.size() >= options_.max_segment_records ||
                   bytes >= options_.max_segment_bytes;
  segment.incomplete_slots = incomplete_slots_;
  // A new generation declares the journal complete, so only a write that
  // includes all pending records may start one.
  if (taken < pending_.size()) {
    return segment;
  }
  if (possible_generations_.empty()) {
    segment.witnesses = PickWitnesses();
  } else if (AskedWitnesses() || WantsNewWitnesses()) {
    segment.generation = possible_generations_.rbegin()->first + 1;
    segment.witnesses = PickWitnesses();
  } else {
    segment.generation = possible_generations_.rbegin()->first;
    segment.witnesses = possible_generations_.rbegin()->second;
  }
  return segment;
}

void ClaimJournal::OnWritten(const Result<std::uint64_t>& version,
                             TimePoint now) {
  if (phase_ != Phase::kWriting) {
    return;
  }
  if (IsOk(version)) {
    Commit(segment_in_flight_, ValueOf(version), now);
    return;
  }
  // A conflict may also come from an earlier write of this journal whose reply
  // was lost.
  phase_ = Phase::kUncertain;
  if (ErrorOf(version).code != ErrorCode::kConflict) {
    next_store_call_ = now + options_.retry_interval;
  }
}

void ClaimJournal::OnRead(const Result<std::vector<StoredSegment>>& segments,
                          TimePoint now) {
  if (phase_ != Phase::kReading) {
    return;
  }
  if (!IsOk(segments)) {
    phase_ = Phase::kUncertain;
    next_store_call_ = now + options_.retry_interval;
    return;
  }
  phase_ = Phase::kIdle;
  const StoredSegment* newest = nullptr;
  for (const StoredSegment& it : ValueOf(segments)) {
    fenced_ = fenced_ || it.segment.sealed;
    if (!newest || it.segment.number > newest->segment.number) {
      newest = &it;
    }
  }
  // Only this process writes unsealed segments of this journal, so a newer
  // version of the open segment is an own write whose reply was lost. An older
  // version is a stale read; the next write then conflicts and reads again.
  if (!fenced_ && newest && newest->segment.number == open_.number &&
      newest->version > open_version_) {
    Commit(newest->segment, newest->version, now);
  }
}

void ClaimJournal::Commit(const JournalSegment& written, std::uint64_t version,
                          TimePoint now) {
  phase_ = Phase::kIdle;
  const std::size_t added = written.records.size() - open_.records.size();
  pending_.erase(pending_.begin(),
                 pending_.begin() + static_cast<std::ptrdiff_t>(added));
  durable_ += added;
  opened_ = true;
  gaps_changed_ = written.incomplete_slots != incomplete_slots_;
  open_ = written;
  open_version_ = version;
  // Earlier writes still in transit expect an older version and will fail.
  possible_generations_.clear();
  possible_generations_[written.generation] = written.witnesses;
  std::erase_if(agreed_witnesses_,
                [&](const auto& it) { return it.first < written.generation; });
  std::erase_if(asked_generations_,
                [&](auto it) { return it < written.generation; });
  if (written.closed) {
    const std::size_t bytes = SizeOf(written.records);
    closed_.push_back({written.number, version, bytes, now});
    closed_bytes_ += bytes;
    open_.records.clear();
    open_.closed = false;
    ++open_.number;
    open_version_ = 0;
  }
  waiting_since_.reset();
  if (!pending_.empty()) {
    waiting_since_ = now;
  }
  Release();
}

void ClaimJournal::OnWitness(const WitnessReply& reply) {
  if (reply.ref == ref_ && reply.mark == WitnessMark::kDegraded) {
    agreed_witnesses_[reply.generation].insert(reply.witness);
    Release();
  }
}

void ClaimJournal::Release() {
  if (fenced_) {
    return;
  }
  released_ = std::max(released_, Degraded() ? appended_ : durable_);
}

WitnessReply WitnessTable::Mark(const JournalRef& ref, std::uint64_t generation,
                                WitnessMark mark) {
  const MarkKey mark_key{ref, generation};
  auto it = marks_.find(mark_key);
  if (it == marks_.end() && marks_.size() < max_marks_ &&
      mark != WitnessMark::kNone) {
    it = marks_.emplace(mark_key, mark).first;
  }
  return {ref, generation, it == marks_.end() ? WitnessMark::kNone : it->second,
          self_};
}

}  // namespace indigolead
