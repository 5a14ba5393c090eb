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
      Add({ini.file, it});
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
        for (const auto& [name, placed] : accounts) {
          Problem(placed, "belongs to [deployment " + deployment +
                              "], which is not declared");
        }
      }
    }
  }

 private:
  void Add(const PlacedSection& placed) {
    const std::string& kind = placed.section.kind;
    const std::vector<std::string> words = WordsOf(placed.section.name);
    if (kind == "template" && AddTemplate(placed, words)) {
      return;
    }
    if (kind == "deployment" && words.size() == 1 && CheckName(placed, words)) {
      Keep(placed, &index_->deployments, words[0]);
      return;
    }
    if (kind == "client-account" && words.size() == 2 &&
        CheckName(placed, words)) {
      Keep(placed, &index_->client_accounts[words[0]], words[1]);
      return;
    }
    if (!named_wrongly_) {
      Problem(placed, "is not a known section" + Suggestion(kind) +
                          "; accepted are " + JoinList(SectionForms()));
    }
    named_wrongly_ = false;
  }

  static std::string Suggestion(const std::string& kind) {
    const auto nearest =
        NearestWord(kind, {"template", "deployment", "client-account"});
    return nearest && *nearest != kind ? "; did you mean " + *nearest + "?"
                                       : "";
  }

  bool AddTemplate(const PlacedSection& placed,
                   const std::vector<std::string>& words) {
    const bool main = words.size() == 1;
    const bool model = words.size() == 3 && words[1] == "model";
    const bool account = words.size() == 2 && words[1] == "client-account";
    if (!(main || model || account) || !CheckName(placed, {words[0]})) {
      return false;
    }
    TemplateSections& sections = index_->templates[placed.file][words[0]];
    if (main) {
      sections.main = placed;
    } else if (model) {
      Keep(placed, &sections.models, words[2]);
    } else {
      sections.client_account = placed;
    }
    return true;
  }

  bool CheckName(const PlacedSection& placed,
                 const std::vector<std::string>& names) {
    for (const std::string& it : names) {
      if (!IsName(it)) {
        Problem(placed, "\"" + it + "\" is not accepted; accepted is " +
                            AcceptedText(NameRule()));
        named_wrongly_ = true;
        return false;
      }
    }
    return true;
  }

  void Keep(const PlacedSection& placed,
            std::map<std::string, PlacedSection>* sections,
            const std::string& name) {
    const auto [it, inserted] = sections->emplace(name, placed);
    if (!inserted) {
      Problem(placed, "is declared twice, first in " + it->second.file + ":" +
                          std::to_string(it->second.section.line));
    }
  }

  void CheckTemplateOwner(const std::string& name,
                          const TemplateSections& sections) {
    if (!sections.main.file.empty()) {
      return;
    }
    const PlacedSection& orphan = sections.client_account
                                      ? *sections.client_account
                                      : sections.models.begin()->second;
    Problem(orphan,
            "belongs to [template " + name + "], which this file lacks");
  }

  void Problem(const PlacedSection& placed, std::string detail) {
    problems_->push_back({placed.file, placed.section.line,
                          placed.section.title(), "", std::move(detail)});
  }

  DeclarationIndex* index_;
  std::vector<ConfigProblem>* problems_;
  bool named_wrongly_ = false;
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
