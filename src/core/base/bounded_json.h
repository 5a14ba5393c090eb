#ifndef INDIGOLEAD_CORE_BASE_BOUNDED_JSON_H_
#define INDIGOLEAD_CORE_BASE_BOUNDED_JSON_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "core/base/result.h"

namespace indigolead {

/// Maximum depth of nested arrays and objects in JSON from outside.
///
/// The library copies, compares and prints values by recursion, so a document
/// without this limit could overflow the stack.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// Returns true if arrays and objects are nested deeper than `kMaxJsonDepth`.
///
/// Never recurses. `text` need not be valid JSON; a parser never gets deeper
/// into it than this function counts.
bool IsNestedTooDeep(std::string_view text);

/// Parses JSON that another process wrote.
///
/// Fails with `kProtocol`, naming `step` and `peer`, if the text is not JSON,
/// is nested deeper than `kMaxJsonDepth`, or holds invalid UTF-8, an unpaired
/// surrogate or a number beyond the range of a double. The error never quotes
/// the text.
Result<nlohmann::json> ParseBoundedJson(std::string_view text,
                                        const std::string& step,
                                        const std::string& peer);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_BASE_BOUNDED_JSON_H_
