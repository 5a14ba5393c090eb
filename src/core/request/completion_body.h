#ifndef INDIGOLEAD_CORE_REQUEST_COMPLETION_BODY_H_
#define INDIGOLEAD_CORE_REQUEST_COMPLETION_BODY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace indigolead {

/// What an entry needs to know of an OpenAI-style request body.
struct CompletionBody {
  std::string model;
  bool streamed = false;
  std::uint64_t max_tokens = 0;  ///< 0: not stated.

  friend bool operator==(const CompletionBody&,
                         const CompletionBody&) = default;
};

/// Reads the top-level fields of `body`; nothing unless it is a JSON object.
/// Never builds the prompt as a tree: it can be megabytes long.
std::optional<CompletionBody> ReadCompletionBody(std::string_view body);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_COMPLETION_BODY_H_
