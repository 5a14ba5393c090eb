#include "core/claims/claim_home.h"

#include <algorithm>
#include <utility>

namespace indigolead {

ClaimHome::ClaimHome(Options options, std::string home, IdSource ids)
    : options_(options),
      home_(std::move(home)),
      ids_(std::move(ids)),
      table_(options.table) {
  journal_ = std::make_unique<ClaimJournal>(
      options_.journal, JournalRef{home_, JournalId{ids_()}});
}

void ClaimHome::OnSlotMap(const SlotMap& map, TimePoint now) {
  if (map.epoch <= map_.epoch) {
    return;
  }
  bool lost = false;
  for (std::size_t it = 0; it < map.slots.size(); ++it) {
    const SlotAssignment& slot = map.slots[it];
    const auto held = slots_.find(static_cast<std::uint32_t>(it));
    lost = lost || (held != slots_.end() &&
                    (slot.owner != ref() ||
                     slot.since_epoch != map_.slots[it].since_epoch));
    lost = lost || (slot.owner == ref() &&
                    std::find(slot.sources.begin(), slot.sources.end(),
                              ref()) != slot.sources.end());
  }
  map_ = map;
  if (lost) {
    // Another home seals or has sealed this journal. Keeping the claims in
    // memory would let old records overwrite newer decisions of that home.
    Reopen(now);
    return;
  }
  for (std::size_t it = 0; it < map.slots.size(); ++it) {
    if (map.slots[it].owner == ref()) {
      slots_[static_cast<std::uint32_t>(it)].sources = map.slots[it].sources;
    }
  }
  for (auto& [number, slot] : slots_) {
    for (const JournalRef& source : slot.sources) {
      if (slot.absorbed.count(source) == 0) {
        absorbers_.try_emplace(source, options_.absorber, source);
      }
    }
  }
  Tick(now);
}

void ClaimHome::OnClaimQuery(const ClaimQuery& query, TimePoint now) {
  if (waiting_.count(query.request) > 0 || ended_.count(query.request) > 0) {
    return;  // The decision is pending, or the request has ended.
  }
  const Slot* slot = FindSlot(query.slot);
  if (!slot) {
    Decide(query, {ClaimVerdict::kNotHome, {}, std::chrono::milliseconds(100)});
  } else if (!Ready(*slot)) {
    Decide(query, {ClaimVerdict::kNotReady, {}, std::chrono::milliseconds(50)});
  } else if (slot->incomplete() && !table_.Holds(query.key)) {
    // An earlier home may have granted the key without recording it.
    Decide(query, {ClaimVerdict::kUnknown,
                   {},
                   slot->unknown_until ? *slot->unknown_until - now
                                       : options_.table.retention});
  } else {
    QueryTable(query, now);
  }
  Advance(now);
}

void ClaimHome::QueryTable(const ClaimQuery& query, TimePoint now) {
  if (!table_.Holds(query.key) &&
      (!journal_->HasRoom() || waiters_.size() >= options_.max_waiters)) {
    Decide(query, {ClaimVerdict::kOverloaded, {}, std::chrono::seconds(1)});
    return;
  }
  const ClaimTable::QueryResult result = table_.Query(query, now);
  if (!result.claimed) {
    Decide(query, result.decision);
    return;
  }
  const std::uint64_t position = journal_->Append(ClaimRecord{
      query.key, query.body_digest, query.request, ClaimState::kRunning, {}});
  waiters_[position] = {query, now + query.wait};
  waiting_[query.request] = position;
}

void ClaimHome::OnEndReport(const ClaimEndReport& report, TimePoint now) {
  const Slot* slot = FindSlot(report.slot);
  if (!slot || !Ready(*slot)) {
    return;  // The entry process repeats unacknowledged reports.
  }
  RememberEnded(report.request);
  const auto waiting = waiting_.find(report.request);
  if (waiting != waiting_.end()) {
    waiters_.erase(waiting->second);
    waiting_.erase(waiting);
  }
  std::optional<ClaimRecord> record = table_.End(report, now);
  if (!record) {
    out_.push_back(SendEndAck{report.entry, report.request});
    return;
  }
  if (record->answer &&
      (record->answer->size() > options_.max_journaled_answer_bytes ||
       !journal_->HasRoomForAnswers())) {
    record->answer.reset();
  }
  const std::uint64_t position = journal_->Append(std::move(*record));
  acks_[position] = {report.entry, report.request};
  Advance(now);
}

void ClaimHome::RememberEnded(const RequestId& request) {
  if (!ended_.insert(request).second) {
    return;
  }
  ended_order_.push_back(request);
  if (ended_order_.size() > options_.max_ended_requests) {
    ended_.erase(ended_order_.front());
    ended_order_.pop_front();
  }
}

void ClaimHome::OnEntryUp(const Incarnation& entry) {
  entries_.insert(entry);
  table_.MarkEntryReachable(entry);
  journal_->SetCandidates({entries_.begin(), entries_.end()});
}

void ClaimHome::OnEntryDown(const Incarnation& entry, TimePoint now) {
  entries_.erase(entry);
  table_.MarkEntryUnreachable(entry, now);
  journal_->SetCandidates({entries_.begin(), entries_.end()});
  std::vector<std::uint64_t> orphans;
  for (const auto& [position, waiter] : waiters_) {
    if (waiter.query.entry == entry) {
      orphans.push_back(position);
    }
  }
  for (const std::uint64_t it : orphans) {
    CancelWaiter(it, now);
  }
}

void ClaimHome::OnWritten(const JournalRef& written,
                          const Result<std::uint64_t>& version, TimePoint now) {
  const auto absorber = absorbers_.find(written);
  if (written == ref()) {
    journal_->OnWritten(version, now);
  } else if (absorber != absorbers_.end()) {
    absorber->second.OnWritten(version, now);
  }
  Advance(now);
}

void ClaimHome::OnRead(const JournalRef& read,
                       const Result<std::vector<StoredSegment>>& segments,
                       TimePoint now) {
  const auto absorber = absorbers_.find(read);
  if (read == ref()) {
    journal_->OnRead(segments, now);
  } else if (absorber != absorbers_.end()) {
    absorber->second.OnRead(segments, now);
  }
  Advance(now);
}

void ClaimHome::OnWitness(const WitnessReply& reply, TimePoint now) {
  const auto absorber = absorbers_.find(reply.ref);
  if (reply.ref == ref()) {
    journal_->OnWitness(reply);
  } else if (absorber != absorbers_.end()) {
    absorber->second.OnWitness(reply);
  }
  Advance(now);
}

void ClaimHome::Tick(TimePoint now) {
  table_.Tick(now);
  std::vector<std::uint64_t> expired;
  for (const auto& [position, waiter] : waiters_) {
    if (now >= waiter.deadline && position > journal_->released()) {
      expired.push_back(position);
    }
  }
  for (const std::uint64_t it : expired) {
    Decide(waiters_.at(it).query,
           {ClaimVerdict::kOverloaded, {}, std::chrono::seconds(1)});
    CancelWaiter(it, now);
  }
  UpdateUnknownWindows(now);
  Advance(now);
}

void ClaimHome::CancelWaiter(std::uint64_t position, TimePoint now) {
  const ClaimQuery query = waiters_.at(position).query;
  waiters_.erase(position);
  waiting_.erase(query.request);
  const auto record = table_.End({query.request,
                                  query.key,
                                  query.slot,
                                  query.body_digest,
                                  ClaimState::kNotRun,
                                  {},
                                  query.entry},
                                 now);
  if (record) {
    journal_->Append(*record);
  }
}

void ClaimHome::Advance(TimePoint now) {
  for (auto& [source, absorber] : absorbers_) {
    Push(absorber.Advance(now));
  }
  TakeOver(now);
  Push(journal_->Advance(now));
  if (journal_->fenced()) {
    Reopen(now);
    return;
  }
  SendReleased();
  bool all_ready = !map_.slots.empty();
  for (auto& [number, slot] : slots_) {
    slot.gaps_recorded = slot.gaps_recorded || journal_->gaps_durable();
    all_ready = all_ready && Ready(slot) && slot.incomplete_sources.empty();
  }
  if (all_ready) {
    absorbed_epoch_ = map_.epoch;
  }
}

void ClaimHome::TakeOver(TimePoint now) {
  std::set<JournalRef> needed;
  bool changed = false;
  for (auto& [number, slot] : slots_) {
    for (const JournalRef& source : slot.sources) {
      if (slot.absorbed.count(source) > 0) {
        continue;
      }
      const auto it = absorbers_.find(source);
      // Sources are absorbed in order: a later journal has the newer state of
      // a key.
      if (it == absorbers_.end() || !it->second.done()) {
        needed.insert(slot.sources.begin(), slot.sources.end());
        break;
      }
      TakeOverSlot(number, &slot, it->second, now);
      changed = true;
    }
  }
  std::erase_if(absorbers_,
                [&](const auto& it) { return needed.count(it.first) == 0; });
  if (changed) {
    RecordGaps();
  }
}

void ClaimHome::TakeOverSlot(std::uint32_t number, Slot* slot,
                             const JournalAbsorber& absorber, TimePoint now) {
  const auto slot_count = static_cast<std::uint32_t>(map_.slots.size());
  const JournalRef& source = absorber.source();
  // A home that dies during a takeover leaves copies of only the journals that
  // it had read. These copies would count as newer than the records of the
  // remaining journals: a key that ran would look free and run again. While
  // the slot still lists a journal's sources before it, those are read
  // directly, so the journal's copies are redundant and are skipped.
  const bool is_first = source == slot->sources.front();
  for (ClaimRecord record : absorber.records()) {
    if (SlotOf(record.key, slot_count) != number ||
        (record.copied && !is_first)) {
      continue;
    }
    table_.Absorb(record, now);
    record.copied = true;
    slot->ready_at = journal_->Append(std::move(record));
  }
  const auto& gaps_recorded = absorber.incomplete_slots();
  if (std::find(gaps_recorded.begin(), gaps_recorded.end(), number) !=
      gaps_recorded.end()) {
    slot->unknown_until = now + options_.table.retention;
    slot->gaps_recorded = false;
  }
  if (!absorber.complete()) {
    slot->incomplete_sources.insert(source);
    slot->gaps_recorded = false;
  }
  slot->absorbed.insert(source);
}

void ClaimHome::UpdateUnknownWindows(TimePoint now) {
  bool changed = false;
  for (auto& [number, slot] : slots_) {
    // The retention window starts only once the earlier home has stopped. Until
    // then it may still grant to entry processes with an old slot map.
    const std::size_t gone =
        std::erase_if(slot.incomplete_sources,
                      [&](const auto& it) { return map_.gone.count(it) > 0; });
    if (gone > 0) {
      slot.unknown_until = now + options_.table.retention;
    }
    if (slot.incomplete_sources.empty() && slot.unknown_until &&
        now >= *slot.unknown_until) {
      slot.unknown_until.reset();
      changed = true;
    }
  }
  if (changed) {
    RecordGaps();
  }
}

void ClaimHome::RecordGaps() {
  std::vector<std::uint32_t> gaps;
  for (const auto& [number, slot] : slots_) {
    if (slot.incomplete()) {
      gaps.push_back(number);
    }
  }
  journal_->SetIncompleteSlots(std::move(gaps));
}

void ClaimHome::SendReleased() {
  const std::uint64_t released = journal_->released();
  while (!waiters_.empty() && waiters_.begin()->first <= released) {
    const ClaimQuery query = waiters_.begin()->second.query;
    waiters_.erase(waiters_.begin());
    waiting_.erase(query.request);
    Decide(query, {ClaimVerdict::kGranted, {}, {}});
  }
  while (!acks_.empty() && acks_.begin()->first <= released) {
    out_.push_back(acks_.begin()->second);
    acks_.erase(acks_.begin());
  }
}

void ClaimHome::Reopen(TimePoint now) {
  for (const auto& [position, waiter] : waiters_) {
    Decide(waiter.query,
           {ClaimVerdict::kNotHome, {}, std::chrono::milliseconds(100)});
  }
  waiters_.clear();
  waiting_.clear();
  acks_.clear();
  slots_.clear();
  absorbers_.clear();
  table_ = ClaimTable(options_.table);
  earlier_writes_ += journal_->writes();
  journal_ = std::make_unique<ClaimJournal>(
      options_.journal, JournalRef{home_, JournalId{ids_()}});
  journal_->SetCandidates({entries_.begin(), entries_.end()});
  Push(journal_->Advance(now));
}

bool ClaimHome::Ready(const Slot& slot) const {
  return journal_->opened() && slot.gaps_recorded &&
         journal_->durable() >= slot.ready_at &&
         std::all_of(slot.sources.begin(), slot.sources.end(),
                     [&](const auto& it) { return slot.absorbed.count(it); });
}

ClaimHome::Slot* ClaimHome::FindSlot(std::uint32_t slot) {
  const auto it = slots_.find(slot);
  return it == slots_.end() ? nullptr : &it->second;
}

void ClaimHome::Decide(const ClaimQuery& query, ClaimDecision decision) {
  out_.push_back(SendDecision{query.entry, query.request, std::move(decision)});
}

void ClaimHome::Push(std::vector<JournalAction> actions) {
  for (JournalAction& it : actions) {
    std::visit([this](auto& action) { out_.push_back(std::move(action)); }, it);
  }
}

std::vector<HomeAction> ClaimHome::TakeActions() {
  return std::exchange(out_, {});
}

std::size_t ClaimHome::ready_slots() const {
  return static_cast<std::size_t>(
      std::count_if(slots_.begin(), slots_.end(),
                    [this](const auto& it) { return Ready(it.second); }));
}

std::size_t ClaimHome::incomplete_slots() const {
  return static_cast<std::size_t>(
      std::count_if(slots_.begin(), slots_.end(),
                    [](const auto& it) { return it.second.incomplete(); }));
}

}  // namespace indigolead
