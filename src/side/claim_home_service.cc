#include "side/claim_home_service.h"

#include <utility>
#include <variant>
#include <vector>

#include "side/claim_events.h"
#include "wire/claim_codec.h"

namespace indigolead {

ClaimHomeService::ClaimHomeService(Options options, ObjectStore* store,
                                   Send send, Clock clock, IdSource ids,
                                   EventLog log, MetricsRegistry* metrics)
    : options_(std::move(options)),
      store_(store),
      send_(std::move(send)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      home_(options_.home, options_.instance, std::move(ids)),
      alive_(std::make_shared<bool>(true)),
      claims_gauge_(metrics->AddGauge("indigolead_claims",
                                      "Idempotency keys remembered here.")),
      slots_gauge_(metrics->AddGauge("indigolead_claim_slots",
                                     "Slots that this side decides on.")),
      incomplete_slots_gauge_(metrics->AddGauge(
          "indigolead_claim_slots_incomplete",
          "Slots whose unseen keys are answered with unknown.")),
      degraded_gauge_(
          metrics->AddGauge("indigolead_claims_degraded",
                            "1 while keys are granted without the store.")),
      writes_gauge_(metrics->AddGauge("indigolead_claim_journal_writes",
                                      "Journal writes since the start.")) {}

ClaimHomeService::~ClaimHomeService() { *alive_ = false; }

bool ClaimHomeService::HandleMessage(LinkId link,
                                     const wire::Envelope& message) {
  const auto entry = entries_.find(link);
  if (entry == entries_.end()) {
    return false;
  }
  const TimePoint now = clock_();
  switch (message.body_case()) {
    case wire::Envelope::kClaim:
      if (const auto ask = ReadClaimRequest(message.claim(), entry->second)) {
        home_.OnClaimQuery(*ask, now);
      }
      break;
    case wire::Envelope::kClaimOutcome:
      if (const auto report =
              ReadClaimOutcome(message.claim_outcome(), entry->second)) {
        home_.OnEndReport(*report, now);
      }
      break;
    case wire::Envelope::kWitnessReply: {
      const wire::WitnessReply& reply = message.witness_reply();
      if (const auto ref = ReadJournalRef(reply.ref())) {
        // The witness is identified by the link, not by the message.
        home_.OnWitness(
            {*ref, reply.generation(), FromWire(reply.mark()), entry->second},
            now);
      }
      break;
    }
    case wire::Envelope::kSlotMap:
      if (message.slot_map().deployment() == options_.deployment) {
        if (const auto map = ReadSlotMap(message.slot_map())) {
          home_.OnSlotMap(*map, now);
        }
      }
      break;
    default:
      return false;
  }
  ExecuteActions();
  return true;
}

void ClaimHomeService::OnLinkUp(LinkId link, const wire::Hello& hello) {
  const auto id = Id128FromBytes(hello.incarnation());
  if (hello.kind() != wire::PROCESS_ENTRY || !id) {
    return;
  }
  const Incarnation entry{*id};
  entries_[link] = entry;
  links_[entry] = link;
  home_.OnEntryUp(entry);
  SendState(link);
}

void ClaimHomeService::OnLinkDown(LinkId link) {
  const auto it = entries_.find(link);
  if (it == entries_.end()) {
    return;
  }
  const Incarnation entry = it->second;
  entries_.erase(it);
  const auto current = links_.find(entry);
  // The process may already have a newer connection, which stays registered.
  if (current != links_.end() && current->second == link) {
    links_.erase(current);
    home_.OnEntryDown(entry, clock_());
    ExecuteActions();
  }
}

void ClaimHomeService::Tick(TimePoint now) {
  home_.Tick(now);
  ExecuteActions();
  SendStateIfChanged(now);
  ReportStatus();
}

void ClaimHomeService::SetLeaving(bool leaving) {
  leaving_ = leaving;
  next_state_report_ = TimePoint{};
}

void ClaimHomeService::ExecuteActions() {
  for (HomeAction& action : home_.TakeActions()) {
    if (const auto* write = std::get_if<WriteSegment>(&action)) {
      Write(*write);
    } else if (const auto* read = std::get_if<ReadJournal>(&action)) {
      Read(*read);
    } else if (const auto* segment = std::get_if<DeleteSegment>(&action)) {
      Delete(*segment);
    } else if (const auto* ask = std::get_if<AskWitnesses>(&action)) {
      SendWitnessAsk(*ask);
    } else if (const auto* decision = std::get_if<SendDecision>(&action)) {
      const auto link = links_.find(decision->entry);
      if (link != links_.end()) {
        wire::Envelope out;
        FillClaimReply(*decision, home_.epoch(), out.mutable_claim_reply());
        send_(link->second, out);  // If it is lost, the entry asks again.
      }
    } else if (const auto* ack = std::get_if<SendEndAck>(&action)) {
      const auto link = links_.find(ack->entry);
      if (link != links_.end()) {
        wire::Envelope out;
        out.mutable_claim_outcome_ack()->set_request_id(
            ToBytes(ack->request.value));
        send_(link->second, out);
      }
    }
  }
}

void ClaimHomeService::Write(const WriteSegment& write) {
  const JournalRef ref = write.segment.ref;
  store_->Put(SegmentKey(ref, write.segment.number),
              EncodeSegment(write.segment), write.expected,
              {CallPriority::kClaim, options_.store_deadline},
              [this, ref, alive = alive_](Result<std::uint64_t> result) {
                if (*alive) {
                  home_.OnWritten(ref, result, clock_());
                  ExecuteActions();
                }
              });
}

void ClaimHomeService::Read(const ReadJournal& read) {
  store_->List(
      JournalPrefix(read.ref), {CallPriority::kClaim, options_.store_deadline},
      [this, ref = read.ref,
       alive = alive_](Result<ObjectStore::Listing> result) {
        if (!*alive) {
          return;
        }
        Result<std::vector<StoredSegment>> segments =
            std::vector<StoredSegment>{};
        if (!IsOk(result)) {
          segments = ErrorOf(result);
        } else {
          for (const StoredObject& it : ValueOf(result).objects) {
            auto segment = DecodeSegment(it.value);
            if (!segment) {
              // Skipping the segment would lose the claims in it.
              log_(kClaimJournalUnreadable, {{"key", it.key}});
              segments = Error{ErrorCode::kProtocol, "claims.read", "store",
                               "cannot decode " + it.key};
              break;
            }
            std::get<0>(segments).push_back({std::move(*segment), it.version});
          }
        }
        home_.OnRead(ref, segments, clock_());
        ExecuteActions();
      });
}

void ClaimHomeService::Delete(const DeleteSegment& segment) {
  store_->Delete(SegmentKey(segment.ref, segment.number), segment.version,
                 {CallPriority::kStatus, options_.store_deadline},
                 [](const Result<Unit>&) {});
}

void ClaimHomeService::SendWitnessAsk(const AskWitnesses& ask) {
  wire::Envelope out;
  wire::WitnessAsk* witness_ask = out.mutable_witness_ask();
  FillJournalRef(ask.ref, witness_ask->mutable_ref());
  witness_ask->set_generation(ask.generation);
  witness_ask->set_mark(ToWire(ask.mark));
  for (const Incarnation& it : ask.witnesses) {
    const auto link = links_.find(it);
    if (link != links_.end()) {
      send_(link->second, out);
    }
  }
}

void ClaimHomeService::SendState(LinkId link) {
  wire::Envelope out;
  wire::HomeState* state = out.mutable_home_state();
  state->set_deployment(options_.deployment);
  FillJournalRef(home_.ref(), state->mutable_ref());
  state->set_leaving(leaving_);
  state->set_absorbed_epoch(home_.absorbed_epoch());
  state->set_map_epoch(home_.epoch());
  send_(link, out);
}

void ClaimHomeService::SendStateIfChanged(TimePoint now) {
  const bool changed = sent_ref_ != home_.ref() ||
                       sent_absorbed_epoch_ != home_.absorbed_epoch();
  if (!changed && now < next_state_report_) {
    return;
  }
  next_state_report_ = now + options_.state_interval;
  sent_ref_ = home_.ref();
  sent_absorbed_epoch_ = home_.absorbed_epoch();
  for (const auto& [link, entry] : entries_) {
    SendState(link);
  }
}

void ClaimHomeService::ReportStatus() {
  const std::size_t ready = home_.ready_slots();
  const std::size_t incomplete = home_.incomplete_slots();
  if (ready != ready_slots_) {
    log_(kClaimHomeChanged, {{"slots", std::to_string(ready)},
                             {"epoch", std::to_string(home_.epoch())}});
  }
  if (incomplete > incomplete_slots_) {
    log_(kClaimGaps, {{"slots", std::to_string(incomplete)}});
  }
  if (home_.degraded() != degraded_) {
    log_(home_.degraded() ? kClaimHomeDegraded : kClaimHomeRecovered, {});
  }
  ready_slots_ = ready;
  incomplete_slots_ = incomplete;
  degraded_ = home_.degraded();
  claims_gauge_.Set(static_cast<std::int64_t>(home_.claims()));
  slots_gauge_.Set(static_cast<std::int64_t>(ready));
  incomplete_slots_gauge_.Set(static_cast<std::int64_t>(incomplete));
  degraded_gauge_.Set(degraded_ ? 1 : 0);
  writes_gauge_.Set(static_cast<std::int64_t>(home_.journal_writes()));
}

}  // namespace indigolead
