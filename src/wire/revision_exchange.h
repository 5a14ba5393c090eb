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

/// Distributes revisions between processes and keeps the newest of each
/// deployment.
///
/// Entries read revisions from the store, and sides get them from entries; a
/// process that starts while the store is down gets the newest from any peer.
/// Every process runs one exchange. Both ends of a link offer the revisions
/// that the other lacks, so the order of starts and reconnects does not matter.
///
/// All calls and hooks run on one thread.
class RevisionExchange {
 public:
  struct Options {
    std::string instance;
    Incarnation incarnation;
    /// Sides: the only deployment to keep. Empty: every deployment.
    std::string deployment;
    RevisionTable::Options revision_table;
    /// Interval at which offers to a peer that lacks a revision are repeated.
    Duration offer_interval = std::chrono::seconds(1);
  };

  struct Hooks {
    std::function<bool(LinkId, const wire::Envelope&)> send;
    /// Applies a revision in this process, synchronously. For each deployment
    /// it is called in ascending order of numbers, once for each.
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

  /// Processes a revision from the store, in JSON. Returns the outcome,
  /// which is `kOlder` also for a value that cannot be parsed, which is logged,
  /// and for a deployment that this process does not keep.
  RevisionOutcome OfferFromStore(const std::string& json, TimePoint now);

  /// Lists the revisions that this process holds, for `Hello` and `Heartbeat`.
  void AddKnownRevisions(
      google::protobuf::RepeatedPtrField<wire::KnownRevision>* known) const;

  const RevisionTable& revision_table() const { return revision_table_; }
  RevisionTable& revision_table() { return revision_table_; }

 private:
  struct Peer {
    std::string instance;
    Incarnation incarnation;
    std::string deployment;
    bool is_entry = false;
    TimePoint last_offer;
  };

  RevisionOutcome ProcessRevision(const std::string& json,
                                  const std::string& source, TimePoint now);
  void Report(const std::string& deployment, std::uint64_t number);
  void OfferMissing(LinkId link, Peer* peer, TimePoint now);
  void RecordKnown(
      const Peer& peer,
      const google::protobuf::RepeatedPtrField<wire::KnownRevision>& known);

  Options options_;
  Hooks hooks_;
  EventLog log_;
  RevisionTable revision_table_;
  std::map<LinkId, Peer> peers_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_REVISION_EXCHANGE_H_
