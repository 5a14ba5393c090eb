#ifndef INDIGOLEAD_CORE_PLACEMENT_TARGET_KNOWLEDGE_H_
#define INDIGOLEAD_CORE_PLACEMENT_TARGET_KNOWLEDGE_H_

#include <cstdint>
#include <optional>

#include "core/base/time.h"

namespace indigolead {

/// What an entry knows of a target beyond its own open calls there. Read by
/// every decision about placing, holding and refusing requests.
///
/// The default value is that of a target of which nothing is known: no load of
/// other entries, and the speed of its service.
struct TargetKnowledge {
  /// Weighted prompt tokens that other entries have sent to the target and
  /// that it has yet to prefill.
  double queued_work = 0;
  std::uint32_t queued_prompts = 0;  ///< Prompts in `queued_work`.
  std::uint32_t streams = 0;         ///< Streams of other entries there.
  /// Age of the oldest figure of other entries that is included.
  Duration age{0};
  /// Time that the target takes for the same work, relative to the typical
  /// target of its service; 1 is typical, 2 takes twice as long.
  double slowness = 1;
  /// Open requests of all entries above which the target slows down; unset: no
  /// such load is known below its number of slots.
  std::optional<double> comfortable_requests;

  friend bool operator==(const TargetKnowledge&,
                         const TargetKnowledge&) = default;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_TARGET_KNOWLEDGE_H_
