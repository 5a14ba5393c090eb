#ifndef INDIGOLEAD_CLI_IN_FORCE_H_
#define INDIGOLEAD_CLI_IN_FORCE_H_

#include <cstdint>
#include <map>
#include <string>

#include "cli/command.h"

namespace indigolead::cli {

/// Polls the entries in --entry until they report every revision in `numbers`
/// (by deployment) as in force everywhere, then prints the time it took. After
/// --timeout, prints what is missing and returns `kExitNotInForce`.
int WaitUntilInForce(const CommandContext& context,
                     const std::map<std::string, std::uint64_t>& numbers);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_IN_FORCE_H_
