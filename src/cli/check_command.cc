#include "cli/commands.h"
#include "cli/declaration_dir.h"
#include "cli/flags.h"
#include "cli/settings_file.h"
#include "platform/command.h"

namespace indigolead::cli {
namespace {

int CheckSettings(const CommandContext& context) {
  if (FLAGS_as == "platform-entry") {
    return platform::CheckPlatformSettings(FLAGS_settings, context);
  }
  if (FLAGS_as != "entry" && FLAGS_as != "side") {
    *context.err << "indigolead check: --as is \"" << FLAGS_as
                 << "\"; accepted is entry, side or platform-entry\n";
    return kExitUsage;
  }
  const SettingsRole role =
      FLAGS_as == "entry" ? SettingsRole::kEntry : SettingsRole::kSide;
  if (!LoadSettings(FLAGS_settings, role, *context.err)) {
    return kExitUsage;
  }
  *context.out << FLAGS_settings << ": good settings of " << FLAGS_as << "\n";
  return kExitOk;
}

int CheckDeclarations(const CommandContext& context) {
  const auto specs = LoadDeclarations(context.arguments[0], *context.err);
  if (!specs || !LoadSeen(context.arguments[0], *context.err)) {
    return kExitUsage;
  }
  for (const DeploymentSpec& it : *specs) {
    *context.out << it.name << ": good, " << it.models.size() << " models, "
                 << it.client_accounts.size() << " client accounts\n";
  }
  return kExitOk;
}

}  // namespace

int RunCheck(const CommandContext& context) {
  if (!FLAGS_settings.empty()) {
    return CheckSettings(context);
  }
  if (!context.arguments.empty()) {
    return CheckDeclarations(context);
  }
  *context.err << "indigolead check: give DIR, or --settings FILE --as "
                  "entry|side|platform-entry\n";
  return kExitUsage;
}

}  // namespace indigolead::cli
