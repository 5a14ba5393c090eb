#ifndef INDIGOLEAD_CLI_SETTINGS_FILE_H_
#define INDIGOLEAD_CLI_SETTINGS_FILE_H_

#include <optional>
#include <ostream>
#include <string>

#include "core/base/result.h"
#include "core/config/settings_table.h"

namespace indigolead::cli {

/// Returns the content of the file at `path`, or an error if it cannot be read
/// or exceeds the size limit of settings and declaration files.
Result<std::string> ReadTextFile(const std::string& path);

/// Returns the settings in the file at `path`. On failure, writes the error to
/// `err` and returns nullopt; the command then exits with `kExitUsage`.
std::optional<Settings> LoadSettings(const std::string& path, SettingsRole role,
                                     std::ostream& err);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_SETTINGS_FILE_H_
