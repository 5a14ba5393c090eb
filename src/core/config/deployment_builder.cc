#include "core/config/deployment_builder.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/config/value_text.h"

namespace indigolead::internal {
namespace {

constexpr std::string_view kParameterPrefix = "parameter.";
constexpr char kTemplateKey[] = "template";

/// Returns the name in "parameter.NAME", or nothing for another key.
std::optional<std::string> ParameterName(const std::string& key) {
  if (!key.starts_with(kParameterPrefix)) {
    return std::nullopt;
  }
  return key.substr(kParameterPrefix.size());
}

const IniEntry* FindEntry(const LocatedSection& located,
                          const std::string& key) {
  for (const IniEntry& it : located.section.entries) {
    if (it.key == key) {
      return &it;
    }
  }
  return nullptr;
}

LocatedValue LocatedValueOf(const LocatedSection& located,
                            const IniEntry& entry) {
  return {located.file, entry.line, located.section.title(), entry.key,
          entry.value};
}

bool Contains(const std::vector<std::string>& words, const std::string& word) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

std::string UnknownKeyText(const std::string& key,
                           const std::vector<std::string>& accepted) {
  const auto nearest = NearestWord(key, accepted);
  return "is not a known key" +
         (nearest ? "; did you mean " + *nearest + "?" : "") +
         "; accepted are " + (accepted.empty() ? "none" : JoinList(accepted));
}

}  // namespace

DeploymentSpec DeploymentBuilder::Build(const std::string& name) {
  const LocatedSection& located = index_.deployments.at(name);
  DeploymentSpec spec;
  spec.name = name;
  const TemplateSections* sections = FindTemplate(located);
  if (sections == nullptr) {
    return spec;
  }
  spec.template_name = FindEntry(located, kTemplateKey)->value;
  const Parameters parameters =
      ReadParameters(sections->main, located, {kTemplateKey});
  Assign(DeploymentKeys(), sections->main, parameters, &spec);
  CheckRequired(DeploymentKeys(), {&sections->main}, sections->main);
  BuildModels(*sections, parameters, &spec);
  BuildClientAccounts(*sections, parameters, &spec);
  return spec;
}

const TemplateSections* DeploymentBuilder::FindTemplate(
    const LocatedSection& deployment) {
  const IniEntry* entry = FindEntry(deployment, kTemplateKey);
  if (entry == nullptr || entry->value.empty()) {
    AddProblem(deployment, kTemplateKey,
               "is missing; accepted is the name of a template");
    return nullptr;
  }
  std::vector<const TemplateSections*> found;
  std::vector<std::string> names;
  for (const auto& [file, templates] : index_.templates) {
    for (const auto& [name, sections] : templates) {
      if (sections.main.file.empty()) {
        continue;  // Has no main section; the index reports this.
      }
      names.push_back(name);
      if (name == entry->value && file == deployment.file) {
        return &sections;
      }
      if (name == entry->value) {
        found.push_back(&sections);
      }
    }
  }
  if (found.size() == 1) {
    return found[0];
  }
  const auto nearest = NearestWord(entry->value, names);
  AddProblem(LocatedValueOf(deployment, *entry),
             found.empty()
                 ? "\"" + entry->value + "\" is not a template" +
                       (nearest ? "; did you mean " + *nearest + "?" : "") +
                       "; accepted are " + JoinList(names)
                 : "\"" + entry->value + "\" is a template in " +
                       found[0]->main.file + " and in " + found[1]->main.file +
                       "; keep one of them");
  return nullptr;
}

Parameters DeploymentBuilder::ReadParameters(
    const LocatedSection& declared_in, const LocatedSection& given_in,
    const std::vector<std::string>& own_keys) {
  Parameters parameters;
  std::vector<std::string> accepted = own_keys;
  for (const IniEntry& it : declared_in.section.entries) {
    if (const auto name = ParameterName(it.key)) {
      parameters[*name] = LocatedValueOf(declared_in, it);
      accepted.push_back(*name);
    }
  }
  for (const IniEntry& it : given_in.section.entries) {
    const auto declared = parameters.find(it.key);
    if (declared != parameters.end()) {
      declared->second = LocatedValueOf(given_in, it);
    } else if (!Contains(own_keys, it.key)) {
      AddProblem(LocatedValueOf(given_in, it),
                 UnknownKeyText(it.key, accepted));
    }
  }
  for (const auto& [name, value] : parameters) {
    if (value.value.empty()) {
      AddProblem(given_in, name,
                 "is missing; it is a parameter without default of [" +
                     declared_in.section.title() + "]");
    }
  }
  return parameters;
}

void DeploymentBuilder::BuildModels(const TemplateSections& sections,
                                    const Parameters& parameters,
                                    DeploymentSpec* spec) {
  for (const auto& [name, located] : sections.models) {
    ModelSpec model;
    model.name = name;
    Assign(ModelKeys(), located, parameters, &model);
    CheckRequired(ModelKeys(), {&located}, located);
    spec->models.push_back(std::move(model));
  }
}

void DeploymentBuilder::BuildClientAccounts(const TemplateSections& sections,
                                            const Parameters& parameters,
                                            DeploymentSpec* spec) {
  const auto accounts = index_.client_accounts.find(spec->name);
  if (accounts == index_.client_accounts.end()) {
    return;
  }
  for (const auto& [name, located] : accounts->second) {
    spec->client_accounts.push_back(
        BuildClientAccount(sections, parameters, name, located));
  }
}

ClientAccountSpec DeploymentBuilder::BuildClientAccount(
    const TemplateSections& sections, const Parameters& parameters,
    const std::string& name, const LocatedSection& located) {
  const LocatedSection none;
  const LocatedSection& defaults =
      sections.client_account ? *sections.client_account : none;
  ClientAccountSpec account;
  account.name = name;
  Parameters all =
      ReadParameters(defaults, located, KeyNames(ClientAccountKeys()));
  all.insert(parameters.begin(), parameters.end());
  // A key in the account's own section overrides the template's.
  LocatedSection inherited = defaults;
  std::erase_if(inherited.section.entries, [&](const IniEntry& it) {
    return FindEntry(located, it.key) != nullptr;
  });
  LocatedSection given = located;
  std::erase_if(given.section.entries, [&](const IniEntry& it) {
    return FindKey(ClientAccountKeys(), it.key) == nullptr;
  });
  Assign(ClientAccountKeys(), inherited, all, &account);
  Assign(ClientAccountKeys(), given, {}, &account);
  CheckRequired(ClientAccountKeys(), {&defaults, &located}, located);
  return account;
}

template <typename Owner>
void DeploymentBuilder::Assign(const std::vector<KeyRow<Owner>>& rows,
                               const LocatedSection& located,
                               const Parameters& parameters, Owner* owner) {
  for (const IniEntry& it : located.section.entries) {
    if (ParameterName(it.key)) {
      continue;
    }
    const KeyRow<Owner>* row = FindKey(rows, it.key);
    if (row == nullptr) {
      AddProblem(LocatedValueOf(located, it),
                 UnknownKeyText(it.key, KeyNames(rows)));
      continue;
    }
    AssignValue(row->rule, LocatedValueOf(located, it), parameters,
                row->field(*owner));
  }
}

void DeploymentBuilder::AssignValue(const ValueRule& rule,
                                    const LocatedValue& value,
                                    const Parameters& parameters,
                                    const FieldPointer& field) {
  const ExpandedValue expanded = Expand(value.value, parameters);
  if (expanded.problem) {
    AddProblem(value, *expanded.problem);
    return;
  }
  const bool lacks_parameter =
      std::any_of(expanded.substituted.begin(), expanded.substituted.end(),
                  [](const LocatedValue& it) { return it.value.empty(); });
  if (lacks_parameter) {
    return;  // ReadParameters() reports the missing parameter.
  }
  const auto error = AssignField(rule, expanded.text, field);
  if (!error) {
    return;
  }
  if (expanded.substituted.empty()) {
    AddProblem(value, *error);
    return;
  }
  AddProblem(expanded.substituted[0],
             "sets " + value.key + " in " + value.file + ":" +
                 std::to_string(value.line) + "; " + *error);
}

template <typename Owner>
void DeploymentBuilder::CheckRequired(
    const std::vector<KeyRow<Owner>>& rows,
    const std::vector<const LocatedSection*>& sources,
    const LocatedSection& reported_section) {
  for (const KeyRow<Owner>& it : rows) {
    const bool given = std::any_of(
        sources.begin(), sources.end(), [&](const LocatedSection* located) {
          return FindEntry(*located, it.key) != nullptr;
        });
    if (it.required && !given) {
      AddProblem(reported_section, it.key,
                 "is missing; accepted is " + AcceptedText(it.rule));
    }
  }
}

void DeploymentBuilder::AddProblem(const LocatedValue& value,
                                   std::string detail) {
  problems_->push_back(
      {value.file, value.line, value.section, value.key, std::move(detail)});
}

void DeploymentBuilder::AddProblem(const LocatedSection& located,
                                   const std::string& key, std::string detail) {
  problems_->push_back({located.file, located.section.line,
                        located.section.title(), key, std::move(detail)});
}

}  // namespace indigolead::internal
