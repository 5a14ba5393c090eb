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
class ConsistencyChecker {
 public:
  ConsistencyChecker(const DeclarationIndex& index,
                     std::vector<ConfigProblem>* problems)
      : index_(index), problems_(problems) {}

  void Check(const DeploymentSpec& spec) {
    if (spec.kind == DeploymentKind::kModel) {
      CheckModelDeployment(spec);
    } else {
      CheckService(spec);
    }
    CheckApiKeys(spec);
    for (const ClientAccountSpec& it : spec.client_accounts) {
      CheckAccountReferences(spec, it);
    }
    CheckSize(spec);
  }

 private:
  void CheckModelDeployment(const DeploymentSpec& spec) {
    if (spec.models.empty()) {
      AddDeploymentProblem(spec, "serves no model; add [template " +
                                     spec.template_name + " model MODEL]");
    }
    if (!spec.path_prefix.empty() || !spec.host.empty()) {
      AddDeploymentProblem(spec,
                           "has path_prefix or host, which only services have");
    }
  }

  void CheckService(const DeploymentSpec& spec) {
    if (!spec.models.empty()) {
      AddDeploymentProblem(spec, "has models, which only kind = model has");
    }
    if (spec.path_prefix.empty() && spec.host.empty()) {
      AddDeploymentProblem(
          spec,
          "is a service without path_prefix and host, so that no "
          "request can reach it; set one of them");
    }
    const auto [it, inserted] =
        routes_.emplace(std::make_pair(spec.host, spec.path_prefix), spec.name);
    if (!inserted) {
      AddDeploymentProblem(
          spec,
          "has the same host and path_prefix as deployment " + it->second);
    }
  }

  // A key must identify one account; otherwise limits and audit records would
  // apply to the wrong account. One account may use several deployments.
  void CheckApiKeys(const DeploymentSpec& spec) {
    std::map<std::string, std::string> names;
    for (const ClientAccountSpec& it : spec.client_accounts) {
      const auto [other, inserted] = names.emplace(it.api_key_sha256, it.name);
      if (!inserted && !it.api_key_sha256.empty()) {
        AddAccountProblem(spec, it, "api_key_sha256",
                          "is also the key of client account " + other->second +
                              "; give each account its own key");
      }
    }
    if (spec.client_accounts.size() > kMaxClientAccounts) {
      AddDeploymentProblem(
          spec, "has " + std::to_string(spec.client_accounts.size()) +
                    " client accounts; accepted are at most " +
                    std::to_string(kMaxClientAccounts));
    }
  }

  void CheckAccountReferences(const DeploymentSpec& spec,
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
        AddAccountProblem(spec, account, key,
                          "\"" + it + "\" is not served by deployment " +
                              spec.name + "; accepted are " +
                              JoinList({known.begin(), known.end()}));
      }
    }
  }

  void CheckSize(const DeploymentSpec& spec) {
    const std::size_t size = ToJson(spec).size();
    if (size > kMaxSpecBytes) {
      AddDeploymentProblem(
          spec, "has " + std::to_string(size) +
                    " bytes as JSON; accepted are at most " +
                    std::to_string(kMaxSpecBytes) +
                    "; split its client accounts across two deployments");
    }
  }

  void AddDeploymentProblem(const DeploymentSpec& spec, std::string detail) {
    AddProblem(index_.deployments.at(spec.name), "", std::move(detail));
  }

  void AddAccountProblem(const DeploymentSpec& spec,
                         const ClientAccountSpec& account,
                         const std::string& key, std::string detail) {
    AddProblem(index_.client_accounts.at(spec.name).at(account.name), key,
               std::move(detail));
  }

  void AddProblem(const LocatedSection& located, const std::string& key,
                  std::string detail) {
    int line = located.section.line;
    for (const IniEntry& it : located.section.entries) {
      line = it.key == key ? it.line : line;
    }
    problems_->push_back(
        {located.file, line, located.section.title(), key, std::move(detail)});
  }

  const DeclarationIndex& index_;
  std::vector<ConfigProblem>* problems_;
  std::map<std::pair<std::string, std::string>, std::string> routes_;
};

}  // namespace

void CheckConsistency(const std::vector<DeploymentSpec>& specs,
                      const DeclarationIndex& index,
                      std::vector<ConfigProblem>* problems) {
  ConsistencyChecker checker(index, problems);
  for (const DeploymentSpec& it : specs) {
    checker.Check(it);
  }
}

}  // namespace indigolead::internal
