#ifndef INDIGOLEAD_CLI_STATUS_VIEW_H_
#define INDIGOLEAD_CLI_STATUS_VIEW_H_

#include <string>
#include <string_view>

#include "core/base/result.h"

namespace indigolead::cli {

/// Formats the JSON status of an entry (see `EncodeStatus`) as tables for a
/// terminal. Every value is followed by its age. A value that is no longer
/// updated is shown as "unknown since T" without its last value.
Result<std::string> StatusText(std::string_view json);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_STATUS_VIEW_H_
