#ifndef INDIGOLEAD_CLI_SOURCE_VERSION_H_
#define INDIGOLEAD_CLI_SOURCE_VERSION_H_

#include <string>

namespace indigolead::cli {

/// Returns the Git revision checked out in the work tree that contains
/// `directory`, or an empty string if there is none. Reads Git's files directly
/// and starts no process.
std::string FindSourceVersion(const std::string& directory);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_SOURCE_VERSION_H_
