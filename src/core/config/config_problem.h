#ifndef INDIGOLEAD_CORE_CONFIG_CONFIG_PROBLEM_H_
#define INDIGOLEAD_CORE_CONFIG_CONFIG_PROBLEM_H_

#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace indigolead {

/// One error in a settings file or a declaration, reported to its editor.
struct ConfigProblem {
  std::string file;
  int line = 0;         ///< 1-based; 0 if the problem has no single line.
  std::string section;  ///< Without brackets; empty before the first one.
  std::string key;      ///< Empty if the problem concerns the whole section.
  std::string detail;   ///< What was found and what is accepted.

  friend bool operator==(const ConfigProblem&, const ConfigProblem&) = default;
};

/// Prints "file:line: [section] key: detail".
std::ostream& operator<<(std::ostream& os, const ConfigProblem& problem);

/// Returns one newline-terminated line for each problem.
std::string ToText(const std::vector<ConfigProblem>& problems);

/// Holds either a value or all problems in its text, so that a user can fix a
/// file in one pass.
template <typename T>
using ValueOrProblems = std::variant<T, std::vector<ConfigProblem>>;

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_CONFIG_PROBLEM_H_
