#ifndef INDIGOLEAD_CORE_REQUEST_COMPLETION_BODY_H_
#define INDIGOLEAD_CORE_REQUEST_COMPLETION_BODY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace indigolead {

/// Fields of an OpenAI-style request body that an entry uses.
struct CompletionBody {
  std::string model;
  bool streamed = false;
  std::uint64_t max_tokens = 0;  ///< 0: not specified.

  friend bool operator==(const CompletionBody&,
                         const CompletionBody&) = default;
};

/// Parses the top-level fields of `body`. Returns `nullopt` if `body` is not a
/// JSON object. Builds no JSON tree, because the prompt can be megabytes long.
std::optional<CompletionBody> ReadCompletionBody(std::string_view body);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_COMPLETION_BODY_H_
