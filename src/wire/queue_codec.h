#ifndef INDIGOLEAD_WIRE_QUEUE_CODEC_H_
#define INDIGOLEAD_WIRE_QUEUE_CODEC_H_

#include <optional>

#include "core/placement/backlog_digest.h"
#include "queues.pb.h"

namespace indigolead {

/// Returns the message for `digest`, with at most `kMaxDigestEngines` engines.
wire::QueueDigest EncodeQueueDigest(const BacklogDigest& digest);

/// Returns the digest, or nothing if the message's lists differ in length or
/// have too many engines.
std::optional<BacklogDigest> DecodeQueueDigest(
    const wire::QueueDigest& message);

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_QUEUE_CODEC_H_
