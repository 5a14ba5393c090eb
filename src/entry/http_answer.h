#ifndef INDIGOLEAD_ENTRY_HTTP_ANSWER_H_
#define INDIGOLEAD_ENTRY_HTTP_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/request/request_types.h"

namespace indigolead {

/// How the body of one answer is delimited on its connection.
struct AnswerFraming {
  unsigned version = 11;  ///< 10 or 11.
  bool keep_alive = true;
  bool chunked = false;
  /// Unset if the body is chunked or ends with the connection.
  std::optional<std::uint64_t> content_length;
  /// True for the answer to HEAD, which keeps the target's Content-Length.
  bool is_head_request = false;
};

/// Appends a response head to `out`: the target's fields without its
/// hop-by-hop fields, plus `X-Request-Id`.
void AppendHead(int status, const std::vector<HeaderField>& headers,
                const std::string& request_id, const AnswerFraming& framing,
                std::string* out);

/// Appends one chunk; does nothing if `data` is empty.
void AppendChunk(std::string_view data, std::string* out);
/// Appends the end of a chunked body.
void AppendLastChunk(std::string* out);

/// Returns the OpenAI-style error object for `refusal`.
std::string ErrorJson(const Refusal& refusal, const std::string& request_id);

/// Returns the header fields of a refusal, such as `Indigolead-Run` and
/// `Retry-After`.
std::vector<HeaderField> RefusalHeaders(const Refusal& refusal);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_HTTP_ANSWER_H_
