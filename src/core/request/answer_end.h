#ifndef INDIGOLEAD_CORE_REQUEST_ANSWER_END_H_
#define INDIGOLEAD_CORE_REQUEST_ANSWER_END_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/request/event_scanner.h"

namespace indigolead {

/// What says where an answer's body ends (RFC 9112, section 6.3).
enum class BodyFraming {
  kLength,  ///< A stated length, or a status or method without a body.
  kChunks,  ///< The last chunk.
  kClose,   ///< The regular close of the connection.
};

/// Returns the framing as a word for logs.
std::string_view NameOf(BodyFraming framing);

/// End of an answer whose framing was kept.
struct AnswerBodyEnd {
  int status = 0;
  BodyFraming framing = BodyFraming::kLength;
  std::uint64_t body_bytes = 0;
  /// Where the end came in a stream of events; nothing for other bodies.
  std::optional<StreamPosition> position;

  friend bool operator==(const AnswerBodyEnd&, const AnswerBodyEnd&) = default;
};

/// Returns why the answer was broken off although its framing was kept; nothing
/// if it is whole, as far as anybody can know.
///
/// A target that dies may close its connections in order. Where that is all
/// that ends a stream of events, only the events show whether it is whole.
std::optional<std::string> WhyBrokenOff(const AnswerBodyEnd& end);

/// Returns true if the framing alone does not show that the answer is whole.
bool IsDoubtful(const AnswerBodyEnd& end);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_ANSWER_END_H_
