#ifndef INDIGOLEAD_PLATFORM_BASE64_H_
#define INDIGOLEAD_PLATFORM_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace indigolead {

/// Returns `bytes` in base64 with padding, on one line.
std::string ToBase64(std::string_view bytes);

/// Returns the bytes written as `text`, or nothing if it is not padded base64.
std::optional<std::string> FromBase64(std::string_view text);

}  // namespace indigolead

#endif  // INDIGOLEAD_PLATFORM_BASE64_H_
