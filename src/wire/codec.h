#ifndef INDIGOLEAD_WIRE_CODEC_H_
#define INDIGOLEAD_WIRE_CODEC_H_

#include <cstddef>
#include <zmq.hpp>

#include "envelope.pb.h"

namespace indigolead::internal {

/// Serialises `envelope` straight into a fresh `message`. Returns false if it
/// is larger than `max_bytes`.
bool EncodeEnvelope(const wire::Envelope& envelope, std::size_t max_bytes,
                    zmq::message_t* message);

/// Returns true and fills `envelope` if the bytes are one envelope with a body
/// that this version knows.
bool DecodeEnvelope(const void* data, std::size_t size,
                    wire::Envelope* envelope);

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_WIRE_CODEC_H_
