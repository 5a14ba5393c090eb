#include "cli/commands.h"
#include "cli/flags.h"
#include "cli/settings_file.h"

namespace indigolead::cli {

int RunEntry(const CommandContext& context) {
  const auto settings =
      LoadSettings(FLAGS_settings, SettingsRole::kEntry, *context.err);
  if (!settings) {
    return kExitUsage;
  }
  *context.err << "indigolead entry: this build has no entry process\n";
  return kExitFailed;
}

int RunSide(const CommandContext& context) {
  const auto settings =
      LoadSettings(FLAGS_settings, SettingsRole::kSide, *context.err);
  if (!settings) {
    return kExitUsage;
  }
  *context.err << "indigolead side: this build has no side process\n";
  return kExitFailed;
}

}  // namespace indigolead::cli
