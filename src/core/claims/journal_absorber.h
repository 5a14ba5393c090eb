#ifndef INDIGOLEAD_CORE_CLAIMS_JOURNAL_ABSORBER_H_
#define INDIGOLEAD_CORE_CLAIMS_JOURNAL_ABSORBER_H_

#include <optional>
#include <set>
#include <vector>

#include "core/claims/claim_journal.h"

namespace indigolead {

/// Takes over one journal of another home: seals it, reads it, and finds out
/// whether it holds every grant of its home.
///
/// Sealing comes before reading to the end: after it, no conditional write of
/// the old home can succeed, so nothing is added behind the reader's back.
class JournalAbsorber {
 public:
  struct Options {
    Duration retry_interval = std::chrono::milliseconds(250);
    /// Without a witness's word for this long, the journal counts as
    /// incomplete: safe, but its slots' new keys are refused for long.
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
  /// Returns true if no grant of the old home can be missing. Once done.
  bool complete() const { return complete_; }
  /// Returns the last state of every key in the journal. Once done. Only last
  /// states are taken over: a successor that died while it copied them has
  /// then copied nothing that a later reader could mistake for newer.
  const std::vector<ClaimRecord>& records() const { return records_; }
  /// Returns the slots for which the old home itself knew of gaps. Once done.
  const std::vector<std::uint32_t>& incomplete_slots() const {
    return last_.incomplete_slots;
  }

 private:
  enum class Phase {
    kToRead,
    kReading,
    kToSeal,
    kSealing,
    kAsking,
    kDone,
  };

  void MakeSeal(const std::vector<StoredSegment>& stored);
  void KeepLastStates(const std::vector<StoredSegment>& stored);

  Options options_;
  JournalRef source_;
  Phase phase_ = Phase::kToRead;
  bool complete_ = false;
  JournalSegment last_;
  std::vector<ClaimRecord> records_;
  WriteSegment seal_;
  std::set<Incarnation> refused_;
  TimePoint next_call_;
  std::optional<TimePoint> asking_since_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CLAIMS_JOURNAL_ABSORBER_H_
