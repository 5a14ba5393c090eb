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

/// Records, in bounded memory, the results of attempts whose frames are no
/// longer held, and reports only results that it can prove.
///
/// A side process cannot tell a forgotten attempt from one that never arrived.
/// Treating a forgotten attempt as new would run it twice or report it as "not
/// run". Therefore entries number their starts, and this class keeps the
/// highest forgotten number per entry process. An unrecorded attempt with a
/// higher number is new. One with a lower or equal number may have run: it is
/// not run again, and its state is reported as lost. The proof does not depend
/// on time, so a paused process or a slow network cannot invalidate it.
class AttemptMemory {
 public:
  struct Options {
    std::size_t max_ids = 262144;
    std::size_t max_peers = 65536;
    Duration retention = std::chrono::seconds(30);
  };

  /// What is known about an attempt.
  enum class Status {
    kNew,       ///< Provably never started here.
    kRefused,   ///< Not started; a later start must be refused.
    kFinished,  ///< Started here and ended.
    kLost,      ///< Forgotten or not numbered: it may have run.
  };

  explicit AttemptMemory(Options options) : options_(options) {}

  /// Starts tracking an entry process (a peer). Returns false if `max_peers`
  /// others are already tracked.
  bool AddPeer(const Incarnation& peer);

  /// Returns what is known about `id`, sent by `peer` with `start_sequence`.
  Status Find(const Incarnation& peer, const AttemptId& id,
              std::uint64_t start_sequence) const;

  /// Records that `id` was refused, or must be refused if it arrives later.
  void Refuse(const Incarnation& peer, const AttemptId& id,
              std::uint64_t start_sequence, TimePoint now);

  /// Records that `id` ran and ended.
  void Finish(const Incarnation& peer, const AttemptId& id,
              std::uint64_t start_sequence, TimePoint now);

  /// Forgets records older than the retention.
  void Tick(TimePoint now);

  std::size_t size() const { return statuses_.size(); }

 private:
  struct Record {
    AttemptId id;
    Incarnation peer;
    std::uint64_t start_sequence = 0;
    TimePoint recorded_at;
  };

  void AddRecord(const Record& record, Status status);
  void ForgetOldest();

  Options options_;
  std::unordered_map<AttemptId, Status> statuses_;
  std::deque<Record> records_;
  /// Highest forgotten start sequence of each entry process.
  std::unordered_map<Incarnation, std::uint64_t> highest_forgotten_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_ATTEMPT_MEMORY_H_
