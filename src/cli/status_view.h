#ifndef INDIGOLEAD_CLI_STATUS_VIEW_H_
#define INDIGOLEAD_CLI_STATUS_VIEW_H_

#include <string>
#include <string_view>

#include "core/base/result.h"

namespace indigolead::cli {

/// Returns the status that an entry gave as JSON (see `EncodeStatus`) as
/// tables for a terminal. Every figure is followed by its age; one that nobody
/// keeps up to date reads "unknown since T", without its last value.
Result<std::string> StatusText(std::string_view json);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_STATUS_VIEW_H_
