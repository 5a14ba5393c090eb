#include "core/config/declarations.h"

#include <algorithm>
#include <sstream>
#include <tuple>
#include <utility>

#include "core/config/declaration_checks.h"
#include "core/config/declaration_index.h"
#include "core/config/declaration_keys.h"
#include "core/config/deployment_builder.h"
#include "core/config/ini.h"

namespace indigolead {
namespace {

/// Sorts problems by position and removes duplicates: a problem in a template
/// would otherwise be reported for each deployment that uses it.
void SortProblems(std::vector<ConfigProblem>* problems) {
  const auto place = [](const ConfigProblem& it) {
    return std::tie(it.file, it.line, it.section, it.key, it.detail);
  };
  std::sort(problems->begin(), problems->end(),
            [&](const ConfigProblem& a, const ConfigProblem& b) {
              return place(a) < place(b);
            });
  problems->erase(std::unique(problems->begin(), problems->end()),
                  problems->end());
}

template <typename Owner>
void WriteKeys(const Owner& owner, const std::vector<KeyRow<Owner>>& rows,
               std::ostream* os) {
  Owner copy = owner;
  for (const KeyRow<Owner>& it : rows) {
    const std::string text = FormatField(it.rule, it.field(copy));
    if (!text.empty()) {
      *os << it.key << " = " << text << "\n";
    }
  }
}

}  // namespace

ValueOrProblems<std::vector<DeploymentSpec>> ReadDeclarations(
    const std::vector<DeclarationFile>& files) {
  std::vector<ConfigProblem> problems;
  std::vector<IniFile> parsed;
  for (const DeclarationFile& it : files) {
    ValueOrProblems<IniFile> ini = ParseIni(it.file, it.text);
    if (ini.index() == 0) {
      parsed.push_back(std::get<0>(std::move(ini)));
    } else {
      const auto& found = std::get<1>(ini);
      problems.insert(problems.end(), found.begin(), found.end());
    }
  }
  internal::DeclarationIndex index;
  internal::IndexSections(parsed, &index, &problems);
  if (index.deployments.size() > kMaxDeployments) {
    return std::vector<ConfigProblem>{
        {"", 0, "", "",
         "more than " + std::to_string(kMaxDeployments) +
             " deployments are declared; split them across directories"}};
  }
  std::vector<DeploymentSpec> specs;
  internal::DeploymentBuilder builder(index, &problems);
  for (const auto& [name, located] : index.deployments) {
    specs.push_back(builder.Build(name));
  }
  // Contradictions in partially read deployments would obscure the cause.
  if (problems.empty()) {
    internal::CheckConsistency(specs, index, &problems);
  }
  if (!problems.empty()) {
    SortProblems(&problems);
    return problems;
  }
  return specs;
}

std::string WriteDeclaration(const DeploymentSpec& spec) {
  std::ostringstream os;
  os << "[template " << spec.template_name << "]\n";
  WriteKeys(spec, DeploymentKeys(), &os);
  for (const ModelSpec& it : spec.models) {
    os << "\n[template " << spec.template_name << " model " << it.name << "]\n";
    WriteKeys(it, ModelKeys(), &os);
  }
  os << "\n[deployment " << spec.name << "]\n"
     << "template = " << spec.template_name << "\n";
  for (const ClientAccountSpec& it : spec.client_accounts) {
    os << "\n[client-account " << spec.name << " " << it.name << "]\n";
    WriteKeys(it, ClientAccountKeys(), &os);
  }
  return os.str();
}

}  // namespace indigolead
