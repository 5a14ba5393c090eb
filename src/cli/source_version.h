#ifndef INDIGOLEAD_CLI_SOURCE_VERSION_H_
#define INDIGOLEAD_CLI_SOURCE_VERSION_H_

#include <string>

namespace indigolead::cli {

/// Returns the Git revision that the work tree round `directory` has checked
/// out; empty if there is none. Reads the files: no process is started.
std::string FindSourceVersion(const std::string& directory);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_SOURCE_VERSION_H_
