#ifndef INDIGOLEAD_WIRE_REVISION_EXCHANGE_H_
#define INDIGOLEAD_WIRE_REVISION_EXCHANGE_H_

#include <functional>
#include <map>
#include <string>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/deployment.h"
#include "core/control/revision_table.h"
#include "observe/event_log.h"
#include "wire/links.h"

namespace indigolead {

/// Passes revisions on between processes, and keeps the newest of each.
///
/// Entries hear of a revision from the store and sides from entries; a process
/// that starts while the store is down gets the newest from any peer. Every
/// process runs one of these. Both ends offer what the other lacks, so it does
/// not matter which of them started first or was cut off.
///
/// Lives on one thread. All calls and hooks are on it.
class RevisionExchange {
 public:
  struct Options {
    std::string instance;
    Incarnation incarnation;
    /// Sides: the one deployment to keep; empty: every deployment.
    std::string deployment;
    RevisionTable::Options book;
    /// An offer is repeated to a peer that still lacks it after this.
    Duration offer_interval = std::chrono::seconds(1);
  };

  struct Hooks {
    std::function<bool(LinkId, const wire::Envelope&)> send;
    /// Puts a revision into force here, at once. Called once for each, in
    /// growing order of numbers.
    std::function<void(const Revision&)> apply;
  };

  RevisionExchange(Options options, Hooks hooks, EventLog log);

  /// Handles offers, requests, reports and heartbeats of peers. Returns true
  /// if no other service needs the message; a heartbeat returns false.
  bool HandleMessage(LinkId link, const wire::Envelope& message, TimePoint now);
  void OnLinkUp(LinkId link, const wire::Hello& hello, TimePoint now);
  void OnLinkDown(LinkId link, TimePoint now);

  /// Repeats offers to peers that still lack a revision.
  void Tick(TimePoint now);

  /// Takes a revision in from the store, as JSON. Returns what it was; a value
  /// that cannot be read is logged and counts as older.
  RevisionOutcome OfferFromStore(const std::string& json, TimePoint now);

  /// Says which revisions this process holds, for `Hello` and `Heartbeat`.
  void FillKnown(
      google::protobuf::RepeatedPtrField<wire::KnownRevision>* known) const;

  const RevisionTable& book() const { return book_; }
  RevisionTable& book() { return book_; }

 private:
  struct Peer {
    std::string instance;
    Incarnation incarnation;
    std::string deployment;
    bool is_entry = false;
    TimePoint last_offer;
  };

  RevisionOutcome Take(const std::string& json, const std::string& source,
                       TimePoint now);
  void Report(const std::string& deployment, std::uint64_t number);
  void OfferMissing(LinkId link, Peer* peer, TimePoint now);
  void NoteKnown(
      const Peer& peer,
      const google::protobuf::RepeatedPtrField<wire::KnownRevision>& known);

  Options options_;
  Hooks hooks_;
  EventLog log_;
  RevisionTable book_;
  std::map<LinkId, Peer> peers_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_REVISION_EXCHANGE_H_
