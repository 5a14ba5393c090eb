#ifndef INDIGOLEAD_CLI_IN_FORCE_H_
#define INDIGOLEAD_CLI_IN_FORCE_H_

#include <cstdint>
#include <map>
#include <string>

#include "cli/command.h"

namespace indigolead::cli {

/// Waits until each revision in `numbers`, by deployment, is in force
/// everywhere, as the entries named by --entry see it, and says how long that
/// took. After --timeout names who is missing and returns `kExitNotInForce`.
int WaitInForce(const CommandContext& context,
                const std::map<std::string, std::uint64_t>& numbers);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_IN_FORCE_H_
