#ifndef INDIGOLEAD_CORE_CLAIMS_CLAIM_HOME_H_
#define INDIGOLEAD_CORE_CLAIMS_CLAIM_HOME_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "core/claims/claim_journal.h"
#include "core/claims/claim_table.h"
#include "core/claims/journal_absorber.h"
#include "core/claims/slot_map.h"

namespace indigolead {

/// Sends a decision to the entry process that asked.
struct SendDecision {
  Incarnation entry;
  RequestId request;
  ClaimDecision decision;

  friend bool operator==(const SendDecision&, const SendDecision&) = default;
};

/// Acknowledges the end report of an entry process.
struct SendEndAck {
  Incarnation entry;
  RequestId request;

  friend bool operator==(const SendEndAck&, const SendEndAck&) = default;
};

using HomeAction = std::variant<WriteSegment, ReadJournal, DeleteSegment,
                                AskWitnesses, SendDecision, SendEndAck>;

/// Decides whether keyed requests may run, for the slots that it owns. Each
/// slot has one home.
///
/// Combines the claims in memory (`ClaimTable`), the journal that makes them
/// durable (`ClaimJournal`) and the takeover of earlier homes' journals
/// (`JournalAbsorber`). Methods queue actions, which `TakeActions` returns.
/// `Tick` must be called every few tens of milliseconds.
class ClaimHome {
 public:
  struct Options {
    ClaimTable::Options table;
    ClaimJournal::Options journal;
    JournalAbsorber::Options absorber;
    /// Larger responses are not journaled. After the loss of this process their
    /// retries get `kAlreadyRun` instead of the response.
    std::size_t max_journaled_answer_bytes = 16U << 10;
    std::size_t max_waiters = 20000;
    std::size_t max_ended_requests = 8192;
  };

  /// `home` is the name of this instance; `ids` generates journal ids.
  ClaimHome(Options options, std::string home, IdSource ids);

  void OnSlotMap(const SlotMap& map, TimePoint now);
  void OnClaimQuery(const ClaimQuery& query, TimePoint now);
  void OnEndReport(const ClaimEndReport& report, TimePoint now);
  void OnEntryUp(const Incarnation& entry);
  void OnEntryDown(const Incarnation& entry, TimePoint now);
  void OnWritten(const JournalRef& ref, const Result<std::uint64_t>& version,
                 TimePoint now);
  void OnRead(const JournalRef& ref,
              const Result<std::vector<StoredSegment>>& segments,
              TimePoint now);
  void OnWitness(const WitnessReply& reply, TimePoint now);
  void Tick(TimePoint now);

  std::vector<HomeAction> TakeActions();

  /// Returns the current journal, which slot maps name as the owner.
  const JournalRef& ref() const { return journal_->ref(); }
  /// Returns the newest epoch whose slots were all taken over completely.
  std::uint64_t absorbed_epoch() const { return absorbed_epoch_; }
  std::uint64_t epoch() const { return map_.epoch; }
  bool degraded() const { return journal_->degraded(); }
  std::size_t claims() const { return table_.size(); }
  std::uint64_t journal_writes() const {
    return earlier_writes_ + journal_->writes();
  }
  /// Returns the number of slots on which this process can decide now.
  std::size_t ready_slots() const;
  /// Returns the number of slots in which keys without a claim get `kUnknown`.
  std::size_t incomplete_slots() const;

 private:
  struct Slot {
    std::vector<JournalRef> sources;
    std::set<JournalRef> absorbed;
    std::uint64_t ready_at = 0;  ///< Position that must be durable first.
    /// False while the slot is incomplete but the stored journal does not
    /// record that yet.
    bool gaps_recorded = true;
    /// Incomplete sources whose writer may still be running.
    std::set<JournalRef> incomplete_sources;
    /// Until this time, a key without a claim gets `kUnknown`.
    std::optional<TimePoint> unknown_until;

    bool incomplete() const {
      return !incomplete_sources.empty() || unknown_until;
    }
  };
  struct Waiter {
    ClaimQuery query;
    TimePoint deadline;
  };

  bool Ready(const Slot& slot) const;
  Slot* FindSlot(std::uint32_t slot);
  void Decide(const ClaimQuery& query, ClaimDecision decision);
  void QueryTable(const ClaimQuery& query, TimePoint now);
  void CancelWaiter(std::uint64_t position, TimePoint now);
  void RememberEnded(const RequestId& request);
  void TakeOver(TimePoint now);
  void TakeOverSlot(std::uint32_t number, Slot* slot,
                    const JournalAbsorber& absorber, TimePoint now);
  void RecordGaps();
  void UpdateUnknownWindows(TimePoint now);
  void SendReleased();
  void Reopen(TimePoint now);
  void Advance(TimePoint now);
  void Push(std::vector<JournalAction> actions);

  Options options_;
  std::string home_;
  IdSource ids_;
  ClaimTable table_;
  std::unique_ptr<ClaimJournal> journal_;
  SlotMap map_;
  std::map<std::uint32_t, Slot> slots_;
  std::map<JournalRef, JournalAbsorber> absorbers_;
  /// Claims whose record is not released yet, by journal position.
  std::map<std::uint64_t, Waiter> waiters_;
  std::unordered_map<RequestId, std::uint64_t> waiting_;
  std::map<std::uint64_t, SendEndAck> acks_;
  /// Requests that have reported their end, newest last. A `ClaimQuery` that
  /// arrives after the end report must not claim the key again: the entry
  /// process no longer tracks the request and would never end that claim.
  std::deque<RequestId> ended_order_;
  std::unordered_set<RequestId> ended_;
  std::set<Incarnation> entries_;
  std::uint64_t absorbed_epoch_ = 0;
  std::uint64_t earlier_writes_ = 0;
  std::vector<HomeAction> out_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CLAIMS_CLAIM_HOME_H_
