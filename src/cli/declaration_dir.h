#ifndef INDIGOLEAD_CLI_DECLARATION_DIR_H_
#define INDIGOLEAD_CLI_DECLARATION_DIR_H_

// A directory of declarations on the operator's machine, with the file that
// says from which revisions it was edited.

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "core/base/result.h"
#include "core/config/deployment.h"

namespace indigolead::cli {

/// Name of the file with the revisions seen; not a declaration.
inline constexpr char kSeenFile[] = "seen.ini";

/// Numbers of the revisions that an edit was made from, by deployment.
using SeenRevisions = std::map<std::string, std::uint64_t>;

/// Returns the deployments declared in `directory`. On any problem writes it
/// to `err` and returns nothing.
std::optional<std::vector<DeploymentSpec>> LoadDeclarations(
    const std::string& directory, std::ostream& err);

/// Returns the revisions named in the directory's seen.ini, those in --seen
/// going first. On a problem writes it to `err` and returns nothing.
std::optional<SeenRevisions> LoadSeen(const std::string& directory,
                                      std::ostream& err);

/// Records `seen` in the directory.
Status SaveSeen(const std::string& directory, const SeenRevisions& seen);

/// Writes `text` to `path` as a whole: a file that is there is replaced in one
/// step, so that a crash leaves the old or the new one.
Status WriteTextFile(const std::string& path, const std::string& text);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_DECLARATION_DIR_H_
