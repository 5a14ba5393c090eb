#include "core/config/declaration_index.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "core/config/key_rules.h"
#include "core/config/value_text.h"

namespace indigolead::internal {
namespace {

const std::vector<std::string>& SectionForms() {
  static const auto* const forms = new std::vector<std::string>{
      "[template NAME]", "[template NAME model MODEL]",
      "[template NAME client-account]", "[deployment NAME]",
      "[client-account DEPLOYMENT NAME]"};
  return *forms;
}

std::vector<std::string> WordsOf(const std::string& text) {
  std::istringstream is(text);
  std::vector<std::string> words;
  for (std::string word; is >> word;) {
    words.push_back(word);
  }
  return words;
}

/// Adds sections to the index and collects their problems.
class Indexer {
 public:
  Indexer(DeclarationIndex* index, std::vector<ConfigProblem>* problems)
      : index_(index), problems_(problems) {}

  void AddFile(const IniFile& ini) {
    for (const IniSection& it : ini.sections) {
      AddSection({ini.file, it});
    }
  }

  /// Reports sections whose deployment or template is not declared.
  void CheckOwners() {
    for (const auto& [file, templates] : index_->templates) {
      for (const auto& [name, sections] : templates) {
        CheckTemplateOwner(name, sections);
      }
    }
    for (const auto& [deployment, accounts] : index_->client_accounts) {
      if (!index_->deployments.contains(deployment)) {
        for (const auto& [name, located] : accounts) {
          AddProblem(located, "belongs to [deployment " + deployment +
                                  "], which is not declared");
        }
      }
    }
  }

 private:
  void AddSection(const LocatedSection& located) {
    const std::string& kind = located.section.kind;
    const std::vector<std::string> words = WordsOf(located.section.name);
    if (kind == "template" && AddTemplate(located, words)) {
      return;
    }
    if (kind == "deployment" && words.size() == 1 &&
        CheckName(located, words)) {
      InsertUnique(located, &index_->deployments, words[0]);
      return;
    }
    if (kind == "client-account" && words.size() == 2 &&
        CheckName(located, words)) {
      InsertUnique(located, &index_->client_accounts[words[0]], words[1]);
      return;
    }
    if (!has_invalid_name_) {
      AddProblem(located, "is not a known section" + Suggestion(kind) +
                              "; accepted are " + JoinList(SectionForms()));
    }
    has_invalid_name_ = false;
  }

  static std::string Suggestion(const std::string& kind) {
    const auto nearest =
        NearestWord(kind, {"template", "deployment", "client-account"});
    return nearest && *nearest != kind ? "; did you mean " + *nearest + "?"
                                       : "";
  }

  bool AddTemplate(const LocatedSection& located,
                   const std::vector<std::string>& words) {
    const bool main = words.size() == 1;
    const bool model = words.size() == 3 && words[1] == "model";
    const bool account = words.size() == 2 && words[1] == "client-account";
    if (!(main || model || account) || !CheckName(located, {words[0]})) {
      return false;
    }
    TemplateSections& sections = index_->templates[located.file][words[0]];
    if (main) {
      sections.main = located;
    } else if (model) {
      InsertUnique(located, &sections.models, words[2]);
    } else {
      sections.client_account = located;
    }
    return true;
  }

  bool CheckName(const LocatedSection& located,
                 const std::vector<std::string>& names) {
    for (const std::string& it : names) {
      if (!IsName(it)) {
        AddProblem(located, "\"" + it + "\" is not accepted; accepted is " +
                                AcceptedText(NameRule()));
        has_invalid_name_ = true;
        return false;
      }
    }
    return true;
  }

  void InsertUnique(const LocatedSection& located,
                    std::map<std::string, LocatedSection>* sections,
                    const std::string& name) {
    const auto [it, inserted] = sections->emplace(name, located);
    if (!inserted) {
      AddProblem(located, "is declared twice, first in " + it->second.file +
                              ":" + std::to_string(it->second.section.line));
    }
  }

  void CheckTemplateOwner(const std::string& name,
                          const TemplateSections& sections) {
    if (!sections.main.file.empty()) {
      return;
    }
    const LocatedSection& orphan = sections.client_account
                                       ? *sections.client_account
                                       : sections.models.begin()->second;
    AddProblem(orphan,
               "belongs to [template " + name + "], which this file lacks");
  }

  void AddProblem(const LocatedSection& located, std::string detail) {
    problems_->push_back({located.file, located.section.line,
                          located.section.title(), "", std::move(detail)});
  }

  DeclarationIndex* index_;
  std::vector<ConfigProblem>* problems_;
  bool has_invalid_name_ = false;
};

}  // namespace

void IndexSections(const std::vector<IniFile>& files, DeclarationIndex* index,
                   std::vector<ConfigProblem>* problems) {
  Indexer indexer(index, problems);
  for (const IniFile& it : files) {
    indexer.AddFile(it);
  }
  indexer.CheckOwners();
}

}  // namespace indigolead::internal
