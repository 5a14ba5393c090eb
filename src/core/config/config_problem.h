#ifndef INDIGOLEAD_CORE_CONFIG_CONFIG_PROBLEM_H_
#define INDIGOLEAD_CORE_CONFIG_CONFIG_PROBLEM_H_

#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace indigolead {

/// One thing wrong in a settings file or a declaration, for the person who
/// edits it.
struct ConfigProblem {
  std::string file;
  int line = 0;         ///< Counted from 1; 0 if no single line is at fault.
  std::string section;  ///< Without brackets; empty before the first one.
  std::string key;      ///< Empty if the whole section is at fault.
  std::string detail;   ///< What was seen and what is accepted.

  friend bool operator==(const ConfigProblem&, const ConfigProblem&) = default;
};

/// Prints "file:line: [section] key: detail".
std::ostream& operator<<(std::ostream& os, const ConfigProblem& problem);

/// Returns one line for each problem, each ended by a line break.
std::string ToText(const std::vector<ConfigProblem>& problems);

/// Holds either a value or everything that is wrong with its text, so that a
/// person mends a file in one pass.
template <typename T>
using Checked = std::variant<T, std::vector<ConfigProblem>>;

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_CONFIG_PROBLEM_H_
