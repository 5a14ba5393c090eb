#ifndef INDIGOLEAD_CORE_CONFIG_DECLARATION_INDEX_H_
#define INDIGOLEAD_CORE_CONFIG_DECLARATION_INDEX_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/config/config_problem.h"
#include "core/config/ini.h"

namespace indigolead::internal {

/// A section and the file that contains it.
struct LocatedSection {
  std::string file;
  IniSection section;
};

/// The sections of one template.
struct TemplateSections {
  LocatedSection main;
  std::map<std::string, LocatedSection> models;  ///< By model name.
  std::optional<LocatedSection> client_account;
};

/// The sections of a directory, grouped by what they declare.
struct DeclarationIndex {
  /// By file and name. A template in the same file takes precedence over one in
  /// another file.
  std::map<std::string, std::map<std::string, TemplateSections>> templates;
  std::map<std::string, LocatedSection> deployments;
  /// By deployment and name.
  std::map<std::string, std::map<std::string, LocatedSection>> client_accounts;
};

/// Adds the sections of `files` to `index`. Appends a problem for each section
/// that has an unknown kind or an invalid name, is declared twice, or refers to
/// a deployment or template that is not declared.
void IndexSections(const std::vector<IniFile>& files, DeclarationIndex* index,
                   std::vector<ConfigProblem>* problems);

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_CORE_CONFIG_DECLARATION_INDEX_H_
