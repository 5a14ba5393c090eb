#ifndef INDIGOLEAD_STORE_BASE64_H_
#define INDIGOLEAD_STORE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace indigolead {

/// Returns `bytes` in padded base64 without line breaks.
std::string ToBase64(std::string_view bytes);

/// Decodes `text`. Returns nothing if it is not padded base64.
std::optional<std::string> FromBase64(std::string_view text);

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_BASE64_H_
