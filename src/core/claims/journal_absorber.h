#ifndef INDIGOLEAD_CORE_CLAIMS_JOURNAL_ABSORBER_H_
#define INDIGOLEAD_CORE_CLAIMS_JOURNAL_ABSORBER_H_

#include <optional>
#include <set>
#include <vector>

#include "core/claims/claim_journal.h"

namespace indigolead {

/// Takes over (absorbs) one journal of another home: seals it, reads it, and
/// determines whether it holds every grant of that home.
///
/// The journal is sealed before its records are read: after the seal, every
/// conditional write of the old home fails, so no record is missed.
class JournalAbsorber {
 public:
  struct Options {
    Duration retry_interval = std::chrono::milliseconds(250);
    /// Without a seal mark within this time, the journal counts as incomplete.
    /// This is safe, but new keys of its slots are refused for the retention
    /// time.
    Duration witness_timeout = std::chrono::seconds(2);
  };

  JournalAbsorber(Options options, JournalRef source)
      : options_(options), source_(std::move(source)) {}

  std::vector<JournalAction> Advance(TimePoint now);
  void OnWritten(const Result<std::uint64_t>& version, TimePoint now);
  void OnRead(const Result<std::vector<StoredSegment>>& segments,
              TimePoint now);
  void OnWitness(const WitnessReply& reply);

  const JournalRef& source() const { return source_; }
  bool done() const { return phase_ == Phase::kDone; }
  /// Returns true if the journal holds every grant of the old home. Valid once
  /// `done()`.
  bool complete() const { return complete_; }
  /// Returns the last record of every key in the journal. Valid once `done()`.
  /// Earlier records are left out: if a successor died after copying only some
  /// of them, a later reader could mistake an old state for the newest.
  const std::vector<ClaimRecord>& records() const { return records_; }
  /// Returns the slots that the old home recorded as incomplete. Valid once
  /// `done()`.
  const std::vector<std::uint32_t>& incomplete_slots() const {
    return last_segment_.incomplete_slots;
  }

 private:
  enum class Phase {
    kToRead,
    kReading,
    kToSeal,
    kSealing,
    kAskingWitnesses,
    kDone,
  };

  void MakeSeal(const std::vector<StoredSegment>& stored);
  void KeepLastRecords(const std::vector<StoredSegment>& stored);

  Options options_;
  JournalRef source_;
  Phase phase_ = Phase::kToRead;
  bool complete_ = false;
  JournalSegment last_segment_;
  std::vector<ClaimRecord> records_;
  WriteSegment seal_;
  std::set<Incarnation> degraded_witnesses_;
  TimePoint next_call_;
  std::optional<TimePoint> asking_since_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CLAIMS_JOURNAL_ABSORBER_H_
