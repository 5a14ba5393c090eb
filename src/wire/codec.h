#ifndef INDIGOLEAD_WIRE_CODEC_H_
#define INDIGOLEAD_WIRE_CODEC_H_

#include <cstddef>
#include <zmq.hpp>

#include "envelope.pb.h"

namespace indigolead::internal {

/// Serialises `envelope` into `message`, without a copy in between. Returns
/// false if it is larger than `max_bytes`.
bool EncodeEnvelope(const wire::Envelope& envelope, std::size_t max_bytes,
                    zmq::message_t* message);

/// Parses an envelope. Returns false if the bytes are malformed or hold no body
/// that this version knows.
bool DecodeEnvelope(const void* data, std::size_t size,
                    wire::Envelope* envelope);

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_WIRE_CODEC_H_
