#include "wire/codec.h"

#include <google/protobuf/stubs/logging.h>

#include <limits>

namespace indigolead::internal {

bool EncodeEnvelope(const wire::Envelope& envelope, std::size_t max_bytes,
                    zmq::message_t* message) {
  const std::size_t size = envelope.ByteSizeLong();
  if (size > max_bytes) {
    return false;
  }
  message->rebuild(size);
  envelope.SerializeWithCachedSizesToArray(
      static_cast<std::uint8_t*>(message->data()));
  return true;
}

bool DecodeEnvelope(const void* data, std::size_t size,
                    wire::Envelope* envelope) {
  // Protobuf logs a line to standard error for each string that is not UTF-8,
  // so a hostile peer could fill the log. The caller counts such messages
  // instead.
  [[maybe_unused]] static google::protobuf::LogHandler* const kEarlier =
      google::protobuf::SetLogHandler(nullptr);
  if (size > static_cast<std::size_t>(std::numeric_limits<int>::max())) {
    return false;
  }
  return envelope->ParseFromArray(data, static_cast<int>(size)) &&
         envelope->body_case() != wire::Envelope::BODY_NOT_SET;
}

}  // namespace indigolead::internal
