#ifndef INDIGOLEAD_CLI_SETTINGS_FILE_H_
#define INDIGOLEAD_CLI_SETTINGS_FILE_H_

#include <optional>
#include <ostream>
#include <string>

#include "core/base/result.h"
#include "core/config/settings_table.h"

namespace indigolead::cli {

/// Returns the text of the file at `path`, or an error if it cannot be read
/// or is larger than any file of settings or declarations may be.
Result<std::string> ReadTextFile(const std::string& path);

/// Returns the settings in the file at `path`. On any problem writes it to
/// `err` and returns nothing; the command then ends with `kExitUsage`.
std::optional<Settings> LoadSettings(const std::string& path, SettingsRole role,
                                     std::ostream& err);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_SETTINGS_FILE_H_
