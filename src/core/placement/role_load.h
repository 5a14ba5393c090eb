#ifndef INDIGOLEAD_CORE_PLACEMENT_ROLE_LOAD_H_
#define INDIGOLEAD_CORE_PLACEMENT_ROLE_LOAD_H_

namespace indigolead {

/// What one engine of a service can hold and move, as its operator tells.
struct EngineLimits {
  double places = 1;                ///< Answers that it makes at once.
  double memory_tokens = 0;         ///< Of KV cache; 0: not known.
  double transfer_s_per_token = 0;  ///< To fetch KV cache; 0: not known.

  friend bool operator==(const EngineLimits&, const EngineLimits&) = default;
};

/// Engines that the two halves of a service's work keep busy, averaged over
/// some seconds. Only their proportion counts, so that an entry which sees a
/// part of the traffic can tell it.
struct RoleLoad {
  double reading = 0;
  double answering = 0;

  friend bool operator==(const RoleLoad&, const RoleLoad&) = default;
};

/// Sums of what answers have used of engines; one for each limit.
struct AnsweringWork {
  double place_s = 0;         ///< Places taken, times seconds.
  double memory_token_s = 0;  ///< Tokens held, times seconds.
  double moved_tokens = 0;

  friend bool operator==(const AnsweringWork&, const AnsweringWork&) = default;
};

/// Returns the engine seconds of `work`, by the limit that binds first. An
/// engine that has places left and no memory takes no more answers, nor does
/// one whose link is busy.
double EngineSeconds(const AnsweringWork& work, const EngineLimits& limits);

/// Returns the load assumed of a service before any of its traffic was seen.
RoleLoad AssumedRoleLoad(const EngineLimits& limits);

/// Returns the share of the engines that should make answers for both halves
/// to use theirs alike; from 0 to 1.
///
/// An engine reads one prompt after the other, but makes as many answers at
/// once as it has places: fleets of the same model need a twentieth of their
/// engines for answers where each has 128 places, and half where it has 8.
double AnsweringShare(const RoleLoad& load);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_ROLE_LOAD_H_
