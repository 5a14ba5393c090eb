#ifndef INDIGOLEAD_CORE_CONFIG_DECLARATION_INDEX_H_
#define INDIGOLEAD_CORE_CONFIG_DECLARATION_INDEX_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/config/config_problem.h"
#include "core/config/ini.h"

namespace indigolead::internal {

/// A section and the file that it is in.
struct PlacedSection {
  std::string file;
  IniSection section;
};

/// The sections of one template.
struct TemplateSections {
  PlacedSection main;
  std::map<std::string, PlacedSection> models;  ///< By model name.
  std::optional<PlacedSection> client_account;
};

/// The sections of a directory, by what they declare.
struct DeclarationIndex {
  /// By file and name: a file's own template goes before another file's.
  std::map<std::string, std::map<std::string, TemplateSections>> templates;
  std::map<std::string, PlacedSection> deployments;
  /// By deployment and name.
  std::map<std::string, std::map<std::string, PlacedSection>> client_accounts;
};

/// Sorts the sections of `files` into `index`. Appends a problem for each
/// section that is of no known kind, badly named, declared twice, or belongs
/// to something that is not declared.
void IndexSections(const std::vector<IniFile>& files, DeclarationIndex* index,
                   std::vector<ConfigProblem>* problems);

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_CORE_CONFIG_DECLARATION_INDEX_H_
