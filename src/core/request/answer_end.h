#ifndef INDIGOLEAD_CORE_REQUEST_ANSWER_END_H_
#define INDIGOLEAD_CORE_REQUEST_ANSWER_END_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/request/event_scanner.h"

namespace indigolead {

/// Lowest HTTP status that reports a failure.
inline constexpr int kMinFailureStatus = 400;

/// What delimits the body of an answer (RFC 9112, section 6.3).
enum class BodyFraming {
  kLength,  ///< Content-Length, or a status or method without a body.
  kChunks,  ///< The last chunk.
  kClose,   ///< An orderly close of the connection.
};

/// Returns the name of the framing for logs.
std::string_view NameOf(BodyFraming framing);

/// End of an answer whose HTTP framing is intact.
struct AnswerBodyEnd {
  int status = 0;
  BodyFraming framing = BodyFraming::kLength;
  std::uint64_t body_bytes = 0;
  /// Position at the end of an event stream; `nullopt` for other bodies.
  std::optional<StreamPosition> position;

  friend bool operator==(const AnswerBodyEnd&, const AnswerBodyEnd&) = default;
};

/// Returns why the answer is truncated although its framing is intact, or
/// `nullopt` if no truncation can be detected.
///
/// The connections of a crashed target may be closed in an orderly way. If a
/// stream ends by such a close, only its events show whether it is complete.
std::optional<std::string> FindTruncation(const AnswerBodyEnd& end);

/// Returns true if the answer may be incomplete: the framing alone does not
/// prove its end, or the end lies inside an event.
bool MayBeTruncated(const AnswerBodyEnd& end);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_ANSWER_END_H_
