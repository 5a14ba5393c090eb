#ifndef INDIGOLEAD_CORE_REQUEST_ATTEMPT_MEMORY_H_
#define INDIGOLEAD_CORE_REQUEST_ATTEMPT_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/request/attempt_types.h"

namespace indigolead {

/// Remembers what became of attempts that are no longer held, in bounded
/// memory, and never claims more than it can prove.
///
/// A side that has forgotten an attempt cannot tell it from one that never
/// came; taking it for one that never came would run it twice or report a run
/// as "not run". So entries number their starts, and for each entry process
/// this memory keeps the highest number that it has forgotten. A start above
/// that number which is not remembered is new; one at or below it may have run
/// and is refused, and asked about it the answer is "lost". Time plays no part
/// in the proof, so a paused process or a slow network cannot break it.
class AttemptMemory {
 public:
  struct Options {
    std::size_t max_ids = 262144;
    std::size_t max_peers = 65536;
    Duration retention = std::chrono::seconds(30);
  };

  /// What is remembered of one attempt.
  enum class Fate {
    kNew,       ///< Provably never started here.
    kRefused,   ///< Not started, and to be refused if it comes.
    kFinished,  ///< Was started here, and has ended.
    kLost,      ///< Forgotten, or never numbered: it may have run.
  };

  explicit AttemptMemory(Options options) : options_(options) {}

  /// Returns false if there is no room for one more entry process.
  bool AddPeer(const Incarnation& peer);

  /// Returns what is known of `id`, sent by `peer` with `start_sequence`.
  Fate Find(const Incarnation& peer, const AttemptId& id,
            std::uint64_t start_sequence) const;

  /// Remembers that `id` was refused, or is to be refused if it comes.
  void Refuse(const Incarnation& peer, const AttemptId& id,
              std::uint64_t start_sequence, TimePoint now);

  /// Remembers that `id` ran and ended.
  void Finish(const Incarnation& peer, const AttemptId& id,
              std::uint64_t start_sequence, TimePoint now);

  /// Forgets what is older than the retention.
  void Tick(TimePoint now);

  std::size_t size() const { return fates_.size(); }

 private:
  struct Record {
    AttemptId id;
    Incarnation peer;
    std::uint64_t start_sequence = 0;
    TimePoint at;
  };

  void Remember(const Record& record, Fate fate);
  void ForgetOldest();

  Options options_;
  std::unordered_map<AttemptId, Fate> fates_;
  std::deque<Record> by_age_;
  /// Highest sequence forgotten of each entry process.
  std::unordered_map<Incarnation, std::uint64_t> forgotten_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_ATTEMPT_MEMORY_H_
