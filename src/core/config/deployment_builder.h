#ifndef INDIGOLEAD_CORE_CONFIG_DEPLOYMENT_BUILDER_H_
#define INDIGOLEAD_CORE_CONFIG_DEPLOYMENT_BUILDER_H_

#include <string>
#include <vector>

#include "core/config/declaration_index.h"
#include "core/config/declaration_keys.h"
#include "core/config/template_expansion.h"

namespace indigolead::internal {

/// Builds one deployment from its own sections and those of its template.
///
/// An invalid value that comes from a parameter is reported at the line that
/// sets the parameter, since that is the line to fix.
class DeploymentBuilder {
 public:
  DeploymentBuilder(const DeclarationIndex& index,
                    std::vector<ConfigProblem>* problems)
      : index_(index), problems_(problems) {}

  /// Returns the deployment `name`, which must be in the index. The result is
  /// complete only if no problem was appended.
  DeploymentSpec Build(const std::string& name);

 private:
  const TemplateSections* FindTemplate(const LocatedSection& deployment);
  Parameters ReadParameters(const LocatedSection& declared_in,
                            const LocatedSection& given_in,
                            const std::vector<std::string>& own_keys);
  void BuildModels(const TemplateSections& sections,
                   const Parameters& parameters, DeploymentSpec* spec);
  void BuildClientAccounts(const TemplateSections& sections,
                           const Parameters& parameters, DeploymentSpec* spec);
  ClientAccountSpec BuildClientAccount(const TemplateSections& sections,
                                       const Parameters& parameters,
                                       const std::string& name,
                                       const LocatedSection& located);
  template <typename Owner>
  void Assign(const std::vector<KeyRow<Owner>>& rows,
              const LocatedSection& located, const Parameters& parameters,
              Owner* owner);
  void AssignValue(const ValueRule& rule, const LocatedValue& value,
                   const Parameters& parameters, const FieldPointer& field);
  template <typename Owner>
  void CheckRequired(const std::vector<KeyRow<Owner>>& rows,
                     const std::vector<const LocatedSection*>& sources,
                     const LocatedSection& reported_section);
  void AddProblem(const LocatedValue& value, std::string detail);
  void AddProblem(const LocatedSection& located, const std::string& key,
                  std::string detail);

  const DeclarationIndex& index_;
  std::vector<ConfigProblem>* problems_;
};

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_CORE_CONFIG_DEPLOYMENT_BUILDER_H_
