#ifndef INDIGOLEAD_CLI_TIME_TEXT_H_
#define INDIGOLEAD_CLI_TIME_TEXT_H_

#include <string>

#include "core/base/time.h"

namespace indigolead::cli {

/// Formats `at` in UTC, such as "2026-01-31T12:00:00Z".
std::string WallTimeText(WallMicros at);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_TIME_TEXT_H_
