#include "core/config/config_problem.h"

#include <sstream>

namespace indigolead {

std::ostream& operator<<(std::ostream& os, const ConfigProblem& problem) {
  os << problem.file;
  if (problem.line > 0) {
    os << ":" << problem.line;
  }
  os << ": ";
  if (!problem.section.empty()) {
    os << "[" << problem.section << "] ";
  }
  if (!problem.key.empty()) {
    os << problem.key << ": ";
  }
  return os << problem.detail;
}

std::string ToText(const std::vector<ConfigProblem>& problems) {
  std::ostringstream os;
  for (const ConfigProblem& it : problems) {
    os << it << "\n";
  }
  return os.str();
}

}  // namespace indigolead
