#ifndef INDIGOLEAD_CORE_CONFIG_DECLARATIONS_H_
#define INDIGOLEAD_CORE_CONFIG_DECLARATIONS_H_

// Converts declarations (templates, deployments and client accounts in INI) to
// deployment specifications and back. docs/DECLARATIONS.md describes the
// format.

#include <string>
#include <vector>

#include "core/config/config_problem.h"
#include "core/config/deployment.h"

namespace indigolead {

/// One file of a directory of declarations.
struct DeclarationFile {
  std::string file;
  std::string text;

  friend bool operator==(const DeclarationFile&,
                         const DeclarationFile&) = default;
};

/// Maximum number of deployments in a directory and of client accounts in one
/// deployment.
inline constexpr std::size_t kMaxDeployments = 1000;
inline constexpr std::size_t kMaxClientAccounts = 5000;

/// Maximum size of a deployment's JSON. The object API stores values up to
/// 1 MiB, and the revision adds a little.
inline constexpr std::size_t kMaxSpecBytes = 1'000'000;

/// Returns the deployments declared in `files`, ordered by name, with their
/// client accounts ordered by name, or all problems found. A directory with
/// any problem is rejected as a whole.
ValueOrProblems<std::vector<DeploymentSpec>> ReadDeclarations(
    const std::vector<DeclarationFile>& files);

/// Returns a declaration that parses to `spec`. Its template contains the
/// values of the parameters instead of references.
std::string WriteDeclaration(const DeploymentSpec& spec);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_DECLARATIONS_H_
