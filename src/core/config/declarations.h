#ifndef INDIGOLEAD_CORE_CONFIG_DECLARATIONS_H_
#define INDIGOLEAD_CORE_CONFIG_DECLARATIONS_H_

// Turns declarations (templates, deployments and client accounts in INI) into
// deployment specifications, and back. docs/DECLARATIONS.md shows the form.

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

/// Most deployments, and most client accounts of one, in a directory.
inline constexpr std::size_t kMaxDeployments = 1000;
inline constexpr std::size_t kMaxClientAccounts = 5000;

/// Most bytes of a deployment's JSON: the object API holds values up to
/// 1 MiB, and the revision adds a little.
inline constexpr std::size_t kMaxSpecBytes = 1'000'000;

/// Returns the deployments declared in `files`, ordered by name, with their
/// client accounts ordered by name; or everything that is wrong with them.
/// Nothing of a directory with a problem is used.
Checked<std::vector<DeploymentSpec>> ReadDeclarations(
    const std::vector<DeclarationFile>& files);

/// Returns a declaration that reads back as `spec`. Its template has the
/// parameters filled in.
std::string WriteDeclaration(const DeploymentSpec& spec);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_DECLARATIONS_H_
