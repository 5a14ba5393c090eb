#ifndef INDIGOLEAD_CORE_CONFIG_SETTINGS_TABLE_H_
#define INDIGOLEAD_CORE_CONFIG_SETTINGS_TABLE_H_

// Defines every setting of a process in one place: section, unit, range,
// default and meaning. docs/SETTINGS.md is generated from this table.

#include <string>
#include <string_view>
#include <vector>

#include "core/config/config_problem.h"
#include "core/config/key_rules.h"
#include "core/config/settings.h"

namespace indigolead {

/// Commands that read a settings file.
enum class SettingsRole { kEntry, kSide, kOperator };

/// Returns every setting, in the order of the reference page.
const std::vector<KeyRow<Settings>>& SettingsTable();

/// Returns the sections that `role` reads.
std::vector<std::string> SectionsOf(SettingsRole role);

/// Returns true if `role` cannot start without the setting `row`.
bool IsRequired(const KeyRow<Settings>& row, SettingsRole role);

/// Returns the settings in `text`, or all problems in it: unknown sections and
/// keys, values with the wrong unit or out of range, missing required values,
/// duplicates, and keys that contradict each other.
ValueOrProblems<Settings> ReadSettings(const std::string& file,
                                       std::string_view text,
                                       SettingsRole role);

/// Returns the reference page of all settings, in Markdown.
std::string SettingsMarkdown();

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_SETTINGS_TABLE_H_
