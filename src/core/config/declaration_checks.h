#ifndef INDIGOLEAD_CORE_CONFIG_DECLARATION_CHECKS_H_
#define INDIGOLEAD_CORE_CONFIG_DECLARATION_CHECKS_H_

#include <vector>

#include "core/config/config_problem.h"
#include "core/config/declaration_index.h"
#include "core/config/deployment.h"

namespace indigolead::internal {

/// Appends a problem for each deployment whose values are valid one by one but
/// contradict each other or those of another deployment.
void CheckConsistency(const std::vector<DeploymentSpec>& specs,
                      const DeclarationIndex& index,
                      std::vector<ConfigProblem>* problems);

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_CORE_CONFIG_DECLARATION_CHECKS_H_
