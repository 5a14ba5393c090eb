#include "core/request/attempt.h"

#include <utility>

namespace indigolead {

Attempt::Attempt(AttemptRef ref, std::string instance,
                 std::uint64_t granted_bytes, TimePoint now)
    : last_message_at(now),
      resume_requested_at(now),
      ref_(ref),
      instance_(std::move(instance)),
      granted_bytes_(granted_bytes),
      checksum_(XXH64_createState()) {
  XXH64_reset(checksum_.get(), 0);
}

FrameDisposition Attempt::Accept(std::uint64_t sequence, TimePoint now) {
  last_message_at = now;
  if (sequence < next_sequence_) {
    return FrameDisposition::kDuplicate;
  }
  if (sequence > next_sequence_) {
    return FrameDisposition::kGap;
  }
  ++next_sequence_;
  return FrameDisposition::kAccept;
}

void Attempt::AddBody(std::string_view data) {
  body_bytes_ += data.size();
  XXH64_update(checksum_.get(), data.data(), data.size());
}

bool Attempt::Matches(const AttemptEnd& end) const {
  return end.sequence + 1 == next_sequence_ && end.body_bytes == body_bytes_ &&
         end.body_checksum == XXH64_digest(checksum_.get());
}

}  // namespace indigolead
