#ifndef INDIGOLEAD_CLI_FLAGS_H_
#define INDIGOLEAD_CLI_FLAGS_H_

// Flags of all commands, defined with gflags. Each command lists the flags
// that it accepts.

#include <gflags/gflags_declare.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

DECLARE_string(settings);
DECLARE_string(as);
DECLARE_string(store);
DECLARE_string(entry);
DECLARE_string(output);
DECLARE_string(seen);
DECLARE_string(author);
DECLARE_string(source_version);
DECLARE_string(note);
DECLARE_string(since);
DECLARE_string(timeout);
DECLARE_bool(wait);
DECLARE_int32(metrics_port);
DECLARE_bool(share_queues);
DECLARE_string(csv);
DECLARE_string(svg);

namespace indigolead::cli {

/// Returns the help line of a flag.
std::string FlagHelp(const std::string& name);

/// Sets the flags found in `arguments` and returns the positional arguments, or
/// an error message for a flag that is unknown, not in `accepted`, or has an
/// invalid value. `--` ends the flags. "help" is always accepted and returned
/// as "--help".
std::variant<std::vector<std::string>, std::string> ParseFlags(
    const std::vector<std::string>& arguments,
    const std::vector<std::string>& accepted);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_FLAGS_H_
