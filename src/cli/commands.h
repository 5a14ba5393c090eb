#ifndef INDIGOLEAD_CLI_COMMANDS_H_
#define INDIGOLEAD_CLI_COMMANDS_H_

#include <string>
#include <vector>

#include "cli/command.h"

namespace indigolead::cli {

/// Returns all commands in the order listed by `help`.
const std::vector<Command>& Commands();

/// Runs the command named by the first argument and returns its exit code.
int RunCommandLine(const std::vector<std::string>& arguments, std::ostream& out,
                   std::ostream& err);

/// Returns the output of `indigolead help`.
std::string HelpText();

/// Returns the output of `indigolead COMMAND --help`.
std::string HelpText(const Command& command);

// Entry points of the commands, grouped by source file.
int RunEntry(const CommandContext& context);
int RunSide(const CommandContext& context);
int RunCheck(const CommandContext& context);
int RunDiff(const CommandContext& context);
int RunApply(const CommandContext& context);
int RunRollback(const CommandContext& context);
int RunHistory(const CommandContext& context);
int RunExport(const CommandContext& context);
int RunStatus(const CommandContext& context);
int RunDrain(const CommandContext& context);
int RunUndrain(const CommandContext& context);
int RunQuarantines(const CommandContext& context);
int RunLift(const CommandContext& context);
int RunAudit(const CommandContext& context);
int RunReplay(const CommandContext& context);
int RunReport(const CommandContext& context);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_COMMANDS_H_
