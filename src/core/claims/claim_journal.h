#ifndef INDIGOLEAD_CORE_CLAIMS_CLAIM_JOURNAL_H_
#define INDIGOLEAD_CORE_CLAIMS_CLAIM_JOURNAL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/base/result.h"
#include "core/claims/claim_types.h"

namespace indigolead {

/// Identifies a journal and the home that writes it.
struct JournalRef {
  std::string home;  ///< Instance name.
  JournalId journal;

  friend auto operator<=>(const JournalRef&, const JournalRef&) = default;
};

/// One segment of a journal, stored as one object. Segments are numbered from
/// 0; segment n+1 is created only after segment n is closed.
struct JournalSegment {
  JournalRef ref;
  std::uint64_t number = 0;
  /// Increases with each write after which the journal is complete again or has
  /// new witnesses; see `ClaimJournal`.
  std::uint64_t generation = 1;
  /// Entry processes that must all agree before the home may grant without a
  /// store write.
  std::vector<Incarnation> witnesses;
  std::vector<ClaimRecord> records;
  /// Slots for which this home may lack claims of earlier homes.
  std::vector<std::uint32_t> incomplete_slots;
  bool closed = false;
  bool sealed = false;  ///< Set by a successor; ends the journal.

  friend bool operator==(const JournalSegment&,
                         const JournalSegment&) = default;
};

/// A segment as read from the store, with its object version.
struct StoredSegment {
  JournalSegment segment;
  std::uint64_t version = 0;

  friend bool operator==(const StoredSegment&, const StoredSegment&) = default;
};

/// Asks the store to write a segment if its object has the version `expected`.
struct WriteSegment {
  JournalSegment segment;
  std::uint64_t expected = 0;

  friend bool operator==(const WriteSegment&, const WriteSegment&) = default;
};

/// Asks the store for all segments of a journal.
struct ReadJournal {
  JournalRef ref;

  friend bool operator==(const ReadJournal&, const ReadJournal&) = default;
};

/// Asks the store to delete a segment whose records are past retention.
struct DeleteSegment {
  JournalRef ref;
  std::uint64_t number = 0;
  std::uint64_t version = 0;

  friend bool operator==(const DeleteSegment&, const DeleteSegment&) = default;
};

/// Mark of a witness on one generation of a journal. A mark never changes.
enum class WitnessMark {
  kNone,
  kDegraded,  ///< The home may grant without a store write.
  kSealed,    ///< A successor relies on completeness; the home may not.
};

/// Asks witnesses to mark a generation that has no mark yet.
struct AskWitnesses {
  JournalRef ref;
  std::uint64_t generation = 0;
  WitnessMark mark = WitnessMark::kNone;
  std::vector<Incarnation> witnesses;

  friend bool operator==(const AskWitnesses&, const AskWitnesses&) = default;
};

/// Reply of a witness with the mark that it now holds.
struct WitnessReply {
  JournalRef ref;
  std::uint64_t generation = 0;
  WitnessMark mark = WitnessMark::kNone;
  Incarnation witness;

  friend bool operator==(const WitnessReply&, const WitnessReply&) = default;
};

using JournalAction =
    std::variant<WriteSegment, ReadJournal, DeleteSegment, AskWitnesses>;

/// Makes claims durable, with many records in each conditional write.
///
/// A claim held only in memory would be lost with its home, and the caller's
/// retry would run a second time. A grant is therefore released only when its
/// record is in the store or, while the store does not answer, when every
/// witness has marked this generation of the journal as degraded: the journal
/// may lack grants.
///
/// A successor seals the journal, so that the next conditional write of this
/// home fails, and then asks the witnesses to mark the generation as sealed.
/// One witness that does so has never agreed to degraded grants and never will,
/// which proves that the journal holds every grant. The proof uses no clock.
class ClaimJournal {
 public:
  struct Options {
    std::size_t max_segment_records = 512;
    std::size_t max_segment_bytes = 32U << 10;
    /// Bytes of closed segments before `HasRoom` is false. A successor must
    /// read the journal in one listing.
    std::size_t max_journal_bytes = 24U << 20;
    /// Records not yet stored before `HasRoom` is false.
    std::size_t max_pending = 20000;
    /// Minimum time between the starts of two writes; limits the store's load.
    Duration write_interval = std::chrono::milliseconds(5);
    /// Records that wait this long without a successful write make the journal
    /// ask its witnesses.
    Duration degrade_after = std::chrono::seconds(1);
    /// Retry interval for a store or witness that does not answer.
    Duration retry_interval = std::chrono::milliseconds(250);
    std::size_t witness_count = 2;
    Duration retention = std::chrono::minutes(60);
  };

  ClaimJournal(Options options, JournalRef ref);

  /// Queues `record` and returns its position; positions start at 1.
  std::uint64_t Append(ClaimRecord record);
  bool HasRoom() const {
    return pending_.size() < options_.max_pending &&
           closed_bytes_ < options_.max_journal_bytes;
  }
  /// Returns false if responses must be left out of the records, to reserve
  /// space for claims.
  bool HasRoomForAnswers() const {
    return closed_bytes_ < options_.max_journal_bytes / 2;
  }

  /// Sets the reachable entry processes. The next write picks new witnesses
  /// from them if a current witness is missing or there are too few.
  void SetCandidates(std::vector<Incarnation> candidates);

  /// Sets the slots that may lack claims; the next write records them.
  void SetIncompleteSlots(std::vector<std::uint32_t> slots);

  /// Returns the actions due at `now`. At most one segment write or journal
  /// read is in flight.
  std::vector<JournalAction> Advance(TimePoint now);

  void OnWritten(const Result<std::uint64_t>& version, TimePoint now);
  void OnRead(const Result<std::vector<StoredSegment>>& segments,
              TimePoint now);
  void OnWitness(const WitnessReply& reply);

  /// Returns the newest position whose decision may be sent.
  std::uint64_t released() const { return released_; }
  /// Returns the newest position whose record is in the store.
  std::uint64_t durable() const { return durable_; }
  /// Returns true if the slots passed to the last `SetIncompleteSlots` are in
  /// the store.
  bool gaps_durable() const { return opened_ && !gaps_changed_; }
  /// Returns true once a read has shown that a successor sealed this journal.
  bool fenced() const { return fenced_; }
  bool opened() const { return opened_; }
  /// Returns true while all witnesses allow grants without a store write.
  bool degraded() const { return Degraded(); }
  const JournalRef& ref() const { return ref_; }
  std::uint64_t writes() const { return writes_; }

 private:
  enum class Phase { kIdle, kWriting, kUncertain, kReading };
  struct Closed {
    std::uint64_t number;
    std::uint64_t version;
    std::size_t bytes;
    TimePoint at;
  };

  bool Degraded() const;
  bool WantsWrite() const;
  bool WantsNewWitnesses() const;
  bool AskedWitnesses() const;
  JournalSegment MakeSegment() const;
  std::vector<Incarnation> PickWitnesses() const;
  void AdvanceStore(TimePoint now, std::vector<JournalAction>* out);
  void AdvanceWitnesses(TimePoint now, std::vector<JournalAction>* out);
  void Commit(const JournalSegment& written, std::uint64_t version,
              TimePoint now);
  void Release();

  Options options_;
  JournalRef ref_;
  Phase phase_ = Phase::kIdle;
  bool opened_ = false;
  bool fenced_ = false;
  bool gaps_changed_ = false;
  JournalSegment open_;  ///< Newest segment, as last written.
  std::uint64_t open_version_ = 0;
  JournalSegment segment_in_flight_;
  /// Generations that the store may hold, with their witnesses.
  /// `agreed_witnesses_` holds the witnesses that marked each generation as
  /// degraded.
  std::map<std::uint64_t, std::vector<Incarnation>> possible_generations_;
  std::map<std::uint64_t, std::set<Incarnation>> agreed_witnesses_;
  std::set<std::uint64_t> asked_generations_;
  std::vector<Incarnation> candidates_;
  std::vector<std::uint32_t> incomplete_slots_;
  std::deque<ClaimRecord> pending_;
  std::deque<Closed> closed_;
  std::size_t closed_bytes_ = 0;
  std::uint64_t durable_ = 0;
  std::uint64_t appended_ = 0;
  std::uint64_t released_ = 0;
  std::uint64_t writes_ = 0;
  TimePoint next_store_call_;
  TimePoint next_witness_call_;
  /// Start of the wait of pending records for a successful write.
  std::optional<TimePoint> waiting_since_;
};

/// Marks of a witness on journal generations; the first mark set stays.
class WitnessTable {
 public:
  explicit WitnessTable(Incarnation self, std::size_t max_marks = 65536)
      : self_(self), max_marks_(max_marks) {}

  /// Marks the generation unless it has a mark, and returns its mark. A full
  /// table returns `kNone`, which permits neither the home nor a successor to
  /// proceed.
  WitnessReply Mark(const JournalRef& ref, std::uint64_t generation,
                    WitnessMark mark);

 private:
  struct MarkKey {
    JournalRef ref;
    std::uint64_t generation;
    friend auto operator<=>(const MarkKey&, const MarkKey&) = default;
  };

  Incarnation self_;
  std::size_t max_marks_;
  std::map<MarkKey, WitnessMark> marks_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CLAIMS_CLAIM_JOURNAL_H_
