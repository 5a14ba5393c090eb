#ifndef INDIGOLEAD_CORE_CLAIMS_CLAIM_TABLE_H_
#define INDIGOLEAD_CORE_CLAIMS_CLAIM_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/claims/claim_types.h"

namespace indigolead {

/// Holds the claims of a home, by key.
///
/// A retry can arrive at any entry process, so a single table must hold each
/// key to recognize the second request. The table makes the decisions;
/// `ClaimJournal` makes them durable.
class ClaimTable {
 public:
  struct Options {
    std::size_t max_claims = 200000;
    std::size_t max_answer_bytes = 32U << 20;
    /// Time for which a key is kept after its run ended.
    Duration retention = std::chrono::minutes(60);
    /// A run whose entry process is unreachable for this long is reported as
    /// unknown.
    Duration unreachable_grace = std::chrono::seconds(2);
    Duration retry_after = std::chrono::milliseconds(20);
  };

  explicit ClaimTable(Options options) : options_(options) {}

  /// Result of `Query`. If `claimed` is true, the claim must be journaled
  /// before `kGranted` is sent.
  struct QueryResult {
    ClaimDecision decision;
    bool claimed = false;
  };

  /// Decides on `query`. A key without a claim is claimed for the request. The
  /// same request gets its grant again when it repeats the `ClaimQuery`: the
  /// first one or its decision may have been lost, and the entry process starts
  /// a request at most once.
  QueryResult Query(const ClaimQuery& query, TimePoint now);

  /// Applies the end of a run. Returns the record to journal, or nothing if the
  /// report has no effect (repeated, late, or from another request).
  std::optional<ClaimRecord> End(const ClaimEndReport& report, TimePoint now);

  /// Applies a record of another home's journal. Records must be passed in
  /// decision order: the last record of a key wins.
  void Absorb(const ClaimRecord& record, TimePoint now);

  /// Marks an entry process as unreachable, or as reachable again.
  void MarkEntryUnreachable(const Incarnation& entry, TimePoint now);
  void MarkEntryReachable(const Incarnation& entry);

  /// Removes claims past their retention.
  void Tick(TimePoint now);

  /// Returns true if the key has a claim.
  bool Holds(const ClaimKey& key) const { return claims_.count(key) > 0; }

  /// Returns the newest record of every key, for a new journal.
  std::vector<ClaimRecord> Snapshot() const;

  std::size_t size() const { return claims_.size(); }
  std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  struct Claim {
    ClaimRecord record;
    std::optional<Incarnation> entry;  ///< Empty if absorbed from a journal.
    TimePoint since;                   ///< Start of the current state.
  };
  struct TimedKey {
    ClaimKey key;
    TimePoint at;
  };

  ClaimDecision DecisionOn(const Claim& claim, const ClaimQuery& query,
                           TimePoint now) const;
  bool EntryIsUnreachable(const Claim& claim, TimePoint now) const;
  void Set(const ClaimRecord& record, const std::optional<Incarnation>& entry,
           TimePoint now);
  void Erase(const ClaimKey& key);
  void DropAnswer(Claim* claim);
  void LimitAnswerBytes();

  Options options_;
  std::unordered_map<ClaimKey, Claim> claims_;
  /// Keys by the time of their state change. An element is stale if the claim
  /// changed later.
  std::deque<TimedKey> by_age_;
  std::deque<ClaimKey> answers_;
  std::map<Incarnation, TimePoint> unreachable_since_;
  std::size_t answer_bytes_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CLAIMS_CLAIM_TABLE_H_
