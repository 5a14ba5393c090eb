#ifndef INDIGOLEAD_CLI_DECLARATION_DIR_H_
#define INDIGOLEAD_CLI_DECLARATION_DIR_H_

// Reads and writes a local directory of deployment declarations and its
// seen.ini, which records the revision that each declaration was edited from.

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "core/base/result.h"
#include "core/config/deployment.h"

namespace indigolead::cli {

/// Name of the file that records the seen revisions. It is not a declaration.
inline constexpr char kSeenFile[] = "seen.ini";

/// Revision number that each deployment was edited from, by deployment name.
using SeenRevisions = std::map<std::string, std::uint64_t>;

/// Returns the deployments declared in `directory`. On failure, writes the
/// error to `err` and returns nullopt.
std::optional<std::vector<DeploymentSpec>> LoadDeclarations(
    const std::string& directory, std::ostream& err);

/// Returns the revisions in the directory's seen.ini, overridden by those in
/// --seen. On failure, writes the error to `err` and returns nullopt.
std::optional<SeenRevisions> LoadSeen(const std::string& directory,
                                      std::ostream& err);

/// Writes `seen` to the directory's seen.ini.
Status SaveSeen(const std::string& directory, const SeenRevisions& seen);

/// Writes `text` to `path` atomically: a crash leaves either the old or the new
/// file.
Status WriteTextFile(const std::string& path, const std::string& text);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_DECLARATION_DIR_H_
