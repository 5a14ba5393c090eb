#ifndef INDIGOLEAD_RUNTIME_HEADER_TEXT_H_
#define INDIGOLEAD_RUNTIME_HEADER_TEXT_H_

#include <string>
#include <string_view>

namespace indigolead {

/// Appends the line of one header field, of any length.
inline void AppendHeaderLine(std::string_view name, std::string_view value,
                             std::string* out) {
  out->append(name).append(": ").append(value).append("\r\n");
}

}  // namespace indigolead

#endif  // INDIGOLEAD_RUNTIME_HEADER_TEXT_H_
