#ifndef INDIGOLEAD_CLI_COMMAND_H_
#define INDIGOLEAD_CLI_COMMAND_H_

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace indigolead::cli {

/// Exit codes of the commands. `side` differs: 1 means that its drain timeout
/// ended attempts; 2 can also mean that it could not listen for links.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;    ///< The command failed.
inline constexpr int kExitUsage = 2;     ///< Invalid arguments or input files.
inline constexpr int kExitConflict = 3;  ///< Conflicts with another edit.
inline constexpr int kExitNotInForce = 4;  ///< `--wait` timed out.

/// Arguments and output streams of a command. Results go to `out`, diagnostics
/// to `err`.
struct CommandContext {
  std::vector<std::string> arguments;  ///< Those after the command name.
  std::ostream* out;
  std::ostream* err;
};

/// One command of the command line.
struct Command {
  std::string name;
  std::string arguments;           ///< Synopsis for the usage line.
  std::string summary;             ///< One line for the command list.
  std::string details;             ///< Paragraph for `--help`; may be empty.
  std::vector<std::string> flags;  ///< Names of accepted flags.
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  std::function<int(const CommandContext&)> run;  ///< Returns the exit code.
};

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_COMMAND_H_
