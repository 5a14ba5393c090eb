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

/// What a home remembers of its keys.
///
/// Exists because a caller's retry can come in through any entry: only one
/// memory for each key can tell the second request from the first. It decides;
/// making the decision survive is the work of `ClaimJournal`.
class ClaimTable {
 public:
  struct Options {
    std::size_t max_claims = 200000;
    std::size_t max_answer_bytes = 32U << 20;
    /// A key is remembered this long after its run ended.
    Duration retention = std::chrono::minutes(60);
    /// A run whose entry is out of reach this long is reported as unknown.
    Duration owner_grace = std::chrono::seconds(2);
    Duration retry_after = std::chrono::milliseconds(20);
  };

  explicit ClaimTable(Options options) : options_(options) {}

  /// What `Ask` found, and whether it made a claim that must be journalled
  /// before the verdict `kGranted` may leave the process.
  struct Asked {
    ClaimDecision decision;
    bool claimed = false;
  };

  /// Decides on `ask`. A key that was never seen is claimed for the request;
  /// the same request asking again gets the same grant, because its question
  /// or the answer may have been lost and it runs at most once by itself.
  Asked Ask(const ClaimAsk& ask, TimePoint now);

  /// Takes in the end of a run. Returns the record to journal, or nothing if
  /// the report changes nothing (repeated, late, or of another request).
  std::optional<ClaimRecord> End(const ClaimEndReport& report, TimePoint now);

  /// Takes in a record of another home's journal. Records must come in the
  /// order in which they were decided: the last one on a key counts.
  void Absorb(const ClaimRecord& record, TimePoint now);

  /// Notes that the entry cannot be reached, or can be again.
  void OwnerLost(const Incarnation& entry, TimePoint now);
  void OwnerBack(const Incarnation& entry);

  /// Forgets what is past its retention.
  void Tick(TimePoint now);

  /// Returns true if the key is remembered.
  bool Holds(const ClaimKey& key) const { return claims_.count(key) > 0; }

  /// Returns the newest state of every key, for a new journal.
  std::vector<ClaimRecord> Snapshot() const;

  std::size_t size() const { return claims_.size(); }
  std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  struct Claim {
    ClaimRecord record;
    std::optional<Incarnation> entry;  ///< Empty: not told to this process.
    TimePoint since;                   ///< Of the state.
  };
  struct Dated {
    ClaimKey key;
    TimePoint at;
  };

  ClaimDecision DecisionOn(const Claim& claim, const ClaimAsk& ask,
                           TimePoint now) const;
  bool OwnerIsLost(const Claim& claim, TimePoint now) const;
  void Set(const ClaimRecord& record, const std::optional<Incarnation>& entry,
           TimePoint now);
  void Erase(const ClaimKey& key);
  void DropAnswer(Claim* claim);
  void BoundAnswers();

  Options options_;
  std::unordered_map<ClaimKey, Claim> claims_;
  /// States in time order; an element is stale if its claim changed since.
  std::deque<Dated> by_age_;
  std::deque<ClaimKey> answers_;
  std::map<Incarnation, TimePoint> lost_;
  std::size_t answer_bytes_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CLAIMS_CLAIM_TABLE_H_
