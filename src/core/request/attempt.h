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

/// What the receiver of an attempt does with an incoming frame.
enum class FrameDisposition {
  kAccept,     ///< Next in sequence: process it.
  kDuplicate,  ///< Already received: discard it.
  kGap,        ///< Earlier frames are missing: discard it and resume.
};

/// Receiver of the numbered frames of one attempt.
///
/// The connection may be replaced in the middle of an answer, so frames can be
/// duplicated, late or missing. Sequence numbers and the frame count, body
/// length and checksum in the end frame ensure that an answer with repeated or
/// missing parts is never reported to the caller as complete.
class Attempt {
 public:
  Attempt(AttemptRef ref, std::string instance, std::uint64_t granted_bytes,
          TimePoint now);

  const AttemptId& id() const { return ref_.attempt; }
  const AttemptRef& ref() const { return ref_; }
  const std::string& instance() const { return instance_; }
  std::uint64_t next_sequence() const { return next_sequence_; }
  std::uint64_t granted_bytes() const { return granted_bytes_; }

  /// Returns true if a frame has been received, which means that the request
  /// was sent to the target.
  bool started() const { return next_sequence_ > 0; }

  /// Classifies the frame numbered `sequence`. Advances the expected sequence
  /// number if the frame is the next one.
  FrameDisposition Accept(std::uint64_t sequence, TimePoint now);

  /// Adds the data of an accepted chunk to the body length and checksum.
  void AddBody(std::string_view data);

  /// Returns true if `end` matches the frames received. Must be called after
  /// `Accept` accepted the end frame.
  bool Matches(const AttemptEnd& end) const;

  /// Adds `bytes` to the credit granted to the side process.
  void Grant(std::uint64_t bytes) { granted_bytes_ += bytes; }

  /// Assigns the attempt to another target. Must not be called after a frame
  /// was received.
  void ReassignTo(const AttemptRef& ref, std::string instance) {
    ref_ = ref;
    instance_ = std::move(instance);
  }

  /// Time of the last message from the side process about this attempt.
  TimePoint last_message_at;
  /// Time of the last resume request to the side process.
  TimePoint resume_requested_at;
  /// Bytes consumed by the caller for which credit could not be sent yet.
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
