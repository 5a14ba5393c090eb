#ifndef INDIGOLEAD_CORE_REQUEST_ATTEMPT_H_
#define INDIGOLEAD_CORE_REQUEST_ATTEMPT_H_

#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/request/request_types.h"

namespace indigolead {

/// Says what to do with a frame that came for an attempt.
enum class FrameVerdict {
  kTake,       ///< The next one: use it.
  kDuplicate,  ///< Seen before: drop it.
  kGap,        ///< Earlier ones are missing: drop it and ask for them.
};

/// Receiving end of one attempt's numbered frames.
///
/// A connection may be replaced in the middle of an answer, so a frame can
/// come twice, late or after a hole. Without numbers the caller would see a
/// repeated or missing part as a whole answer; with them, and with the end
/// frame's count, length and checksum, only the exact bytes pass.
class Attempt {
 public:
  Attempt(AttemptRef ref, std::string instance, std::uint64_t granted_bytes,
          TimePoint now);

  const AttemptId& id() const { return ref_.attempt; }
  const AttemptRef& ref() const { return ref_; }
  const std::string& instance() const { return instance_; }
  std::uint64_t next_sequence() const { return next_sequence_; }
  std::uint64_t granted_bytes() const { return granted_bytes_; }

  /// Returns true if the side has sent any frame: the target was asked.
  bool started() const { return next_sequence_ > 0; }

  /// Judges the frame numbered `sequence` and counts it if it is taken.
  FrameVerdict Accept(std::uint64_t sequence, TimePoint now);

  /// Adds chunk data that was taken to the length and checksum.
  void AddBody(std::string_view data);

  /// Returns true if `end` agrees with the frames taken. Call after `Accept`
  /// took its sequence number.
  bool Matches(const AttemptEnd& end) const;

  /// Notes that `bytes` more may be sent by the side.
  void Grant(std::uint64_t bytes) { granted_bytes_ += bytes; }

  /// Binds the attempt to another target. Only before any frame has come.
  void MoveTo(const AttemptRef& ref, std::string instance) {
    ref_ = ref;
    instance_ = std::move(instance);
  }

  /// Time of the last sign of life from the side about this attempt.
  TimePoint heard_at;
  /// Time at which the side was last asked to resume.
  TimePoint asked_at;
  /// Credit taken by the caller that could not be sent yet.
  std::uint64_t unsent_credit = 0;

 private:
  AttemptRef ref_;
  std::string instance_;
  std::uint64_t next_sequence_ = 0;
  std::uint64_t granted_bytes_;
  std::uint64_t body_bytes_ = 0;

  struct FreeChecksum {
    void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
  };
  std::unique_ptr<XXH64_state_t, FreeChecksum> checksum_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_ATTEMPT_H_
