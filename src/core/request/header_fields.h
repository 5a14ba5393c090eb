#ifndef INDIGOLEAD_CORE_REQUEST_HEADER_FIELDS_H_
#define INDIGOLEAD_CORE_REQUEST_HEADER_FIELDS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "core/request/request_types.h"

namespace indigolead {

/// Returns true if `a` and `b` are equal except for the case of ASCII letters.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// Returns the value of the first field called `name`; empty if there is none.
std::string_view FindHeader(const std::vector<HeaderField>& headers,
                            std::string_view name);

/// Maximum length of a name or key that stands in a header, in bytes.
inline constexpr std::size_t kMaxHeaderTokenBytes = 256;

/// Returns true if `text` can stand in a header as a name or key: it is not
/// empty, not longer than `kMaxHeaderTokenBytes` and all visible ASCII.
bool IsHeaderToken(std::string_view text);

/// Returns true if the field is hop-by-hop and must not be forwarded in either
/// direction (RFC 9110, section 7.6.1). `connection` is the value of the
/// message's Connection field, which may name more such fields.
bool IsHopByHop(std::string_view name, std::string_view connection);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_HEADER_FIELDS_H_
