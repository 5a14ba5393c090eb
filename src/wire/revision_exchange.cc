#include "wire/revision_exchange.h"

#include <utility>

#include "core/config/revision_json.h"
#include "wire/control_events.h"

namespace indigolead {
namespace {

Incarnation IncarnationOf(const std::string& bytes) {
  return Incarnation{Id128FromBytes(bytes).value_or(Id128{})};
}

}  // namespace

RevisionExchange::RevisionExchange(Options options, Hooks hooks, EventLog log)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      log_(std::move(log)),
      revision_table_(options_.revision_table) {}

bool RevisionExchange::HandleMessage(LinkId link, const wire::Envelope& message,
                                     TimePoint now) {
  const auto it = peers_.find(link);
  if (it == peers_.end()) {
    return false;
  }
  Peer& peer = it->second;
  switch (message.body_case()) {
    case wire::Envelope::kRevision:
      ProcessRevision(message.revision().value(), peer.instance, now);
      return true;
    case wire::Envelope::kRevisionRequest:
      peer.last_offer = TimePoint{};
      OfferMissing(link, &peer, now);
      return true;
    case wire::Envelope::kRevisionApplied:
      revision_table_.OnApplied(
          message.revision_applied().instance(),
          IncarnationOf(message.revision_applied().incarnation()),
          message.revision_applied().deployment(),
          message.revision_applied().number());
      return true;
    case wire::Envelope::kHeartbeat:
      RecordKnown(peer, message.heartbeat().revisions());
      return false;
    default:
      return false;
  }
}

void RevisionExchange::OnLinkUp(LinkId link, const wire::Hello& hello,
                                TimePoint now) {
  if (hello.kind() == wire::PROCESS_OPERATOR) {
    return;
  }
  Peer peer{hello.instance(), IncarnationOf(hello.incarnation()),
            hello.target().deployment(), hello.kind() == wire::PROCESS_ENTRY,
            TimePoint{}};
  if (!revision_table_.OnPeerUp(
          {peer.instance, peer.incarnation, peer.deployment}, now)) {
    log_(kRevisionPeerDropped, {{"peer", peer.instance}});
    return;
  }
  RecordKnown(peer, hello.revisions());
  Peer& added = peers_.insert_or_assign(link, std::move(peer)).first->second;
  OfferMissing(link, &added, now);
}

void RevisionExchange::OnLinkDown(LinkId link, TimePoint now) {
  const auto it = peers_.find(link);
  if (it == peers_.end()) {
    return;
  }
  const Peer gone = std::move(it->second);
  peers_.erase(it);
  // The peer may already be connected on another link.
  for (const auto& [other, peer] : peers_) {
    if (peer.instance == gone.instance &&
        peer.incarnation == gone.incarnation) {
      return;
    }
  }
  revision_table_.OnPeerDown(gone.instance, gone.incarnation, now);
}

void RevisionExchange::Tick(TimePoint now) {
  revision_table_.Tick(now);
  for (auto& [link, peer] : peers_) {
    OfferMissing(link, &peer, now);
  }
}

RevisionOutcome RevisionExchange::OfferFromStore(const std::string& json,
                                                 TimePoint now) {
  return ProcessRevision(json, "store", now);
}

void RevisionExchange::AddKnownRevisions(
    google::protobuf::RepeatedPtrField<wire::KnownRevision>* known) const {
  for (const auto& [deployment, number] : revision_table_.Known()) {
    wire::KnownRevision* revision = known->Add();
    revision->set_deployment(deployment);
    revision->set_number(number);
  }
}

RevisionOutcome RevisionExchange::ProcessRevision(const std::string& json,
                                                  const std::string& source,
                                                  TimePoint now) {
  const Result<Revision> parsed = RevisionFromJson(json);
  if (!IsOk(parsed)) {
    log_(kRevisionUnreadable,
         {{"source", source}, {"error", ToString(ErrorOf(parsed))}});
    return RevisionOutcome::kOlder;
  }
  const Revision& revision = ValueOf(parsed);
  const std::string& deployment = revision.spec.name;
  if (!options_.deployment.empty() && deployment != options_.deployment) {
    return RevisionOutcome::kOlder;
  }
  const RevisionOutcome outcome = revision_table_.Offer(
      {deployment, revision.number, revision.digest, json});
  const EventFields fields = {{"deployment", deployment},
                              {"number", std::to_string(revision.number)},
                              {"source", source}};
  if (outcome == RevisionOutcome::kMismatch) {
    log_(kRevisionMismatch, fields);
  } else if (outcome == RevisionOutcome::kLimitReached) {
    log_(kRevisionNoRoom, fields);
  } else if (outcome == RevisionOutcome::kNewer) {
    log_(kRevisionApplied, fields);
    hooks_.apply(revision);
    Report(deployment, revision.number);
    for (auto& [link, peer] : peers_) {
      if (!peer.is_entry) {
        peer.last_offer = TimePoint{};
        OfferMissing(link, &peer, now);
      }
    }
  }
  return outcome;
}

void RevisionExchange::Report(const std::string& deployment,
                              std::uint64_t number) {
  wire::Envelope message;
  wire::RevisionApplied* applied = message.mutable_revision_applied();
  applied->set_instance(options_.instance);
  applied->set_incarnation(ToBytes(options_.incarnation.value));
  applied->set_deployment(deployment);
  applied->set_number(number);
  for (const auto& [link, peer] : peers_) {
    if (peer.is_entry) {
      hooks_.send(link, message);
    }
  }
}

void RevisionExchange::OfferMissing(LinkId link, Peer* peer, TimePoint now) {
  // The offer or the peer's report may be lost, so the offer is repeated at
  // `offer_interval` until the peer reports the revision.
  if (peer->last_offer != TimePoint{} &&
      now - peer->last_offer < options_.offer_interval) {
    return;
  }
  const auto missing = revision_table_.NewerThan(
      revision_table_.AppliedBy(peer->instance), peer->deployment);
  for (const RevisionRecord& record : missing) {
    wire::Envelope message;
    wire::RevisionOffer* offer = message.mutable_revision();
    offer->set_deployment(record.deployment);
    offer->set_number(record.number);
    offer->set_value(record.value);
    offer->set_digest(record.digest);
    hooks_.send(link, message);
    peer->last_offer = now;
  }
}

void RevisionExchange::RecordKnown(
    const Peer& peer,
    const google::protobuf::RepeatedPtrField<wire::KnownRevision>& known) {
  for (const wire::KnownRevision& revision : known) {
    revision_table_.OnApplied(peer.instance, peer.incarnation,
                              revision.deployment(), revision.number());
  }
}

}  // namespace indigolead
