#include "core/config/declaration_checks.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "core/config/declarations.h"
#include "core/config/revision_json.h"
#include "core/config/value_text.h"

namespace indigolead::internal {
namespace {

/// Checks deployments in turn and records the routes and API keys in use.
class TogetherChecker {
 public:
  TogetherChecker(const DeclarationIndex& index,
                  std::vector<ConfigProblem>* problems)
      : index_(index), problems_(problems) {}

  void Check(const DeploymentSpec& spec) {
    if (spec.kind == DeploymentKind::kModel) {
      CheckModelDeployment(spec);
    } else {
      CheckService(spec);
    }
    CheckKeys(spec);
    for (const ClientAccountSpec& it : spec.client_accounts) {
      CheckRights(spec, it);
    }
    CheckSize(spec);
  }

 private:
  void CheckModelDeployment(const DeploymentSpec& spec) {
    if (spec.models.empty()) {
      Blame(spec, "serves no model; add [template " + spec.template_name +
                      " model MODEL]");
    }
    if (!spec.path_prefix.empty() || !spec.host.empty()) {
      Blame(spec, "has path_prefix or host, which only services have");
    }
  }

  void CheckService(const DeploymentSpec& spec) {
    if (!spec.models.empty()) {
      Blame(spec, "has models, which only kind = model has");
    }
    if (spec.path_prefix.empty() && spec.host.empty()) {
      Blame(spec,
            "is a service without path_prefix and host, so that no "
            "request can reach it; set one of them");
    }
    const auto [it, inserted] =
        routes_.emplace(std::make_pair(spec.host, spec.path_prefix), spec.name);
    if (!inserted) {
      Blame(spec,
            "has the same host and path_prefix as deployment " + it->second);
    }
  }

  // A key must identify one account; otherwise limits and audit records would
  // apply to the wrong account. One account may use several deployments.
  void CheckKeys(const DeploymentSpec& spec) {
    std::map<std::string, std::string> names;
    for (const ClientAccountSpec& it : spec.client_accounts) {
      const auto [other, inserted] = names.emplace(it.api_key_sha256, it.name);
      if (!inserted && !it.api_key_sha256.empty()) {
        BlameAccount(spec, it, "api_key_sha256",
                     "is also the key of client account " + other->second +
                         "; give each account its own key");
      }
    }
    if (spec.client_accounts.size() > kMaxClientAccounts) {
      Blame(spec, "has " + std::to_string(spec.client_accounts.size()) +
                      " client accounts; accepted are at most " +
                      std::to_string(kMaxClientAccounts));
    }
  }

  void CheckRights(const DeploymentSpec& spec,
                   const ClientAccountSpec& account) {
    std::set<std::string> models;
    std::set<std::string> adapters;
    for (const ModelSpec& it : spec.models) {
      models.insert(it.name);
      adapters.insert(it.adapters.begin(), it.adapters.end());
    }
    CheckKnown(spec, account, "models", account.models, models);
    CheckKnown(spec, account, "adapters", account.adapters, adapters);
  }

  void CheckKnown(const DeploymentSpec& spec, const ClientAccountSpec& account,
                  const std::string& key, const std::vector<std::string>& used,
                  const std::set<std::string>& known) {
    for (const std::string& it : used) {
      if (!known.contains(it)) {
        BlameAccount(spec, account, key,
                     "\"" + it + "\" is not served by deployment " + spec.name +
                         "; accepted are " +
                         JoinList({known.begin(), known.end()}));
      }
    }
  }

  void CheckSize(const DeploymentSpec& spec) {
    const std::size_t size = ToJson(spec).size();
    if (size > kMaxSpecBytes) {
      Blame(spec, "has " + std::to_string(size) +
                      " bytes as JSON; accepted are at most " +
                      std::to_string(kMaxSpecBytes) +
                      "; split its client accounts across two deployments");
    }
  }

  void Blame(const DeploymentSpec& spec, std::string detail) {
    Problem(index_.deployments.at(spec.name), "", std::move(detail));
  }

  void BlameAccount(const DeploymentSpec& spec,
                    const ClientAccountSpec& account, const std::string& key,
                    std::string detail) {
    Problem(index_.client_accounts.at(spec.name).at(account.name), key,
            std::move(detail));
  }

  void Problem(const PlacedSection& placed, const std::string& key,
               std::string detail) {
    int line = placed.section.line;
    for (const IniEntry& it : placed.section.entries) {
      line = it.key == key ? it.line : line;
    }
    problems_->push_back(
        {placed.file, line, placed.section.title(), key, std::move(detail)});
  }

  const DeclarationIndex& index_;
  std::vector<ConfigProblem>* problems_;
  std::map<std::pair<std::string, std::string>, std::string> routes_;
};

}  // namespace

void CheckTogether(const std::vector<DeploymentSpec>& specs,
                   const DeclarationIndex& index,
                   std::vector<ConfigProblem>* problems) {
  TogetherChecker checker(index, problems);
  for (const DeploymentSpec& it : specs) {
    checker.Check(it);
  }
}

}  // namespace indigolead::internal
