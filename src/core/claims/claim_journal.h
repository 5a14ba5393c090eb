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

/// Names one journal and the process that writes it.
struct JournalRef {
  std::string home;  ///< Instance name.
  JournalId journal;

  friend auto operator<=>(const JournalRef&, const JournalRef&) = default;
};

/// Value of one journal object. A journal is a chain of them, numbered from 0;
/// number n+1 is created only once n is closed.
struct JournalSegment {
  JournalRef ref;
  std::uint64_t number = 0;
  /// Grows whenever the journal becomes complete again; see `ClaimJournal`.
  std::uint64_t generation = 1;
  /// Entries that must all agree before the home grants without a commit.
  std::vector<Incarnation> witnesses;
  std::vector<ClaimRecord> records;
  /// Slots for which this home itself may have missed claims.
  std::vector<std::uint32_t> incomplete_slots;
  bool closed = false;
  bool sealed = false;  ///< Written by a successor: the chain has ended.

  friend bool operator==(const JournalSegment&,
                         const JournalSegment&) = default;
};

/// One segment as read, with the version of its object.
struct StoredSegment {
  JournalSegment segment;
  std::uint64_t version = 0;

  friend bool operator==(const StoredSegment&, const StoredSegment&) = default;
};

/// Asks the store to write a segment if its object has version `expected`.
struct WriteSegment {
  JournalSegment segment;
  std::uint64_t expected = 0;

  friend bool operator==(const WriteSegment&, const WriteSegment&) = default;
};

/// Asks the store for every segment of a journal.
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

/// What a witness holds of one generation of a journal. The first wins.
enum class WitnessMark {
  kNone,
  kDegraded,  ///< Its home may grant without a commit.
  kSealed,    ///< A successor took it as complete; its home may not.
};

/// Asks witnesses to mark a generation, unless they hold a mark already.
struct AskWitnesses {
  JournalRef ref;
  std::uint64_t generation = 0;
  WitnessMark mark = WitnessMark::kNone;
  std::vector<Incarnation> witnesses;

  friend bool operator==(const AskWitnesses&, const AskWitnesses&) = default;
};

/// A witness's answer: the mark that it holds now.
struct WitnessReply {
  JournalRef ref;
  std::uint64_t generation = 0;
  WitnessMark mark = WitnessMark::kNone;
  Incarnation witness;

  friend bool operator==(const WitnessReply&, const WitnessReply&) = default;
};

using JournalAction =
    std::variant<WriteSegment, ReadJournal, DeleteSegment, AskWitnesses>;

/// Makes claims survive their home: many records in each conditional write.
///
/// A claim that lived in memory only would be forgotten when its home dies,
/// and the caller's retry would run a second time. So a grant leaves only once
/// its record is in the store, or, while the store does not answer, once every
/// witness has noted that this generation of the journal is no longer
/// complete. A successor seals the chain (the next conditional write of this
/// home then fails) and asks one witness: a witness that never agreed, and
/// from then on never will, proves that the journal holds every grant. No
/// clock takes part in that proof.
class ClaimJournal {
 public:
  struct Options {
    std::size_t max_segment_records = 512;
    std::size_t max_segment_bytes = 32U << 10;
    /// Bytes held in the store; a successor must read them in one listing.
    std::size_t max_journal_bytes = 24U << 20;
    /// Records waiting for the store before `HasRoom` is false.
    std::size_t max_pending = 20000;
    /// Least time between the starts of two writes: bounds the store's load.
    Duration write_interval = std::chrono::milliseconds(5);
    /// Without a successful write this long, the witnesses are asked.
    Duration degrade_after = std::chrono::seconds(1);
    /// Time between two tries at a store or witness that does not answer.
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
  /// Returns false while answers must be left out, so that there stays room
  /// for claims.
  bool HasRoomForAnswers() const {
    return closed_bytes_ < options_.max_journal_bytes / 2;
  }

  /// Names the entries that can be asked now. The journal's witnesses are
  /// taken from them, by a write, whenever one is no longer among them.
  void SetCandidates(std::vector<Incarnation> candidates);

  /// Notes the slots whose memory may have gaps; written with the next write.
  void SetIncompleteSlots(std::vector<std::uint32_t> slots);

  /// Returns what is due at `now`: at most one store call at a time.
  std::vector<JournalAction> Advance(TimePoint now);

  void OnWritten(const Result<std::uint64_t>& version, TimePoint now);
  void OnRead(const Result<std::vector<StoredSegment>>& segments,
              TimePoint now);
  void OnWitness(const WitnessReply& reply);

  /// Returns the newest position whose record may be acted upon.
  std::uint64_t released() const { return released_; }
  /// Returns the newest position whose record is in the store.
  std::uint64_t durable() const { return durable_; }
  /// Returns true if the incomplete slots noted last are in the store.
  bool notes_durable() const { return opened_ && !notes_changed_; }
  /// Returns true if a successor has ended this journal.
  bool fenced() const { return fenced_; }
  bool opened() const { return opened_; }
  /// Returns true while grants need no commit.
  bool degraded() const { return Degraded(); }
  const JournalRef& ref() const { return ref_; }
  std::uint64_t writes() const { return writes_; }

 private:
  enum class Phase { kIdle, kWriting, kUnsettled, kReading };
  struct Closed {
    std::uint64_t number;
    std::uint64_t version;
    std::size_t bytes;
    TimePoint at;
  };

  bool Degraded() const;
  bool WantsWrite() const;
  bool WantsNewWitnesses() const;
  bool Asked() const;
  JournalSegment MakeAttempt() const;
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
  bool notes_changed_ = false;
  JournalSegment open_;  ///< The newest segment, as last written.
  std::uint64_t open_version_ = 0;
  JournalSegment attempt_;
  /// Generations that the store may hold, with their witnesses, and those that
  /// have agreed to each.
  std::map<std::uint64_t, std::vector<Incarnation>> possible_;
  std::map<std::uint64_t, std::set<Incarnation>> agreed_;
  std::set<std::uint64_t> asked_;
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
  /// Since when records wait without a successful write.
  std::optional<TimePoint> waiting_since_;
};

/// Keeps an entry's marks on journals, first one wins.
class WitnessTable {
 public:
  explicit WitnessTable(Incarnation self, std::size_t max_marks = 65536)
      : self_(self), max_marks_(max_marks) {}

  /// Marks the generation unless it has a mark, and returns the mark held.
  /// A full table answers `kNone`, which proves nothing to either side.
  WitnessReply Mark(const JournalRef& ref, std::uint64_t generation,
                    WitnessMark mark);

 private:
  struct Place {
    JournalRef ref;
    std::uint64_t generation;
    friend auto operator<=>(const Place&, const Place&) = default;
  };

  Incarnation self_;
  std::size_t max_marks_;
  std::map<Place, WitnessMark> marks_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CLAIMS_CLAIM_JOURNAL_H_
