#ifndef INDIGOLEAD_CLI_COMMAND_H_
#define INDIGOLEAD_CLI_COMMAND_H_

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace indigolead::cli {

/// Exit codes of every command.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;      ///< The work could not be done.
inline constexpr int kExitUsage = 2;       ///< Wrong arguments or files.
inline constexpr int kExitConflict = 3;    ///< Another edit came first.
inline constexpr int kExitNotInForce = 4;  ///< `--wait` ran out of time.

/// What a command works with. Results go to `out`; everything that is said to
/// a person goes to `err`.
struct CommandContext {
  std::vector<std::string> arguments;  ///< After the command's name.
  std::ostream* out;
  std::ostream* err;
};

/// One command of the command line.
struct Command {
  std::string name;
  std::string arguments;           ///< As shown in its usage line.
  std::string summary;             ///< One line.
  std::string details;             ///< Paragraph for `--help`; may be empty.
  std::vector<std::string> flags;  ///< Flags that it accepts.
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  std::function<int(const CommandContext&)> run;  ///< Returns the exit code.
};

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_COMMAND_H_
