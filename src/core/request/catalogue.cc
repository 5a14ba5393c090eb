#include "core/request/catalogue.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "core/request/header_fields.h"

namespace indigolead {
namespace {

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + 10;
  }
  return -1;
}

std::optional<KeyHash> KeyHashFromHex(std::string_view hex) {
  KeyHash hash{};
  if (hex.size() != 2 * hash.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < hash.size(); ++i) {
    const int high = HexDigit(hex[2 * i]);
    const int low = HexDigit(hex[2 * i + 1]);
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    hash[i] = static_cast<unsigned char>(high * 16 + low);
  }
  return hash;
}

bool Allows(const std::vector<std::string>& names, std::string_view name) {
  return names.empty() ||
         std::find(names.begin(), names.end(), name) != names.end();
}

/// Returns the model and adapter that `name` denotes, or nothing. The adapter
/// is empty if `name` is a model.
std::optional<std::pair<std::string, std::string>> FindModel(
    const DeploymentSpec& spec, std::string_view name) {
  for (const ModelSpec& it : spec.models) {
    if (it.name == name) {
      return std::pair(it.name, std::string());
    }
    if (!it.adapters.empty() && Allows(it.adapters, name)) {
      return std::pair(it.name, std::string(name));
    }
  }
  return std::nullopt;
}

bool MayUse(const ClientAccountSpec& account, const std::string& model,
            const std::string& adapter) {
  return Allows(account.models, model) &&
         (adapter.empty() || Allows(account.adapters, adapter));
}

/// Returns true if `path` is `prefix` or is below it.
bool IsBelow(std::string_view path, std::string_view prefix) {
  if (prefix.empty() || path.substr(0, prefix.size()) != prefix) {
    return false;
  }
  return path.size() == prefix.size() || prefix.back() == '/' ||
         path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool bracketed = host.find(']') != std::string_view::npos;
  if (colon == std::string_view::npos ||
      (bracketed && colon < host.find(']'))) {
    return host;
  }
  return host.substr(0, colon);
}

Refusal Forbidden(std::string message) {
  return {403, RunState::kNotRun, "forbidden", std::move(message)};
}

}  // namespace

Catalogue::Catalogue(std::map<std::string, Revision> revisions)
    : revisions_(std::move(revisions)) {
  for (const auto& [name, revision] : revisions_) {
    for (const ClientAccountSpec& it : revision.spec.client_accounts) {
      if (const auto hash = KeyHashFromHex(it.api_key_sha256)) {
        keys_.Add(*hash, {&revision, &it});
      }
    }
  }
}

const std::vector<AccountGrant>& Catalogue::FindGrants(
    const KeyHash& hash) const {
  return keys_.Find(hash);
}

std::variant<ResolvedRequest, Refusal> Catalogue::ResolveModel(
    const std::vector<AccountGrant>& grants, std::string_view model) const {
  bool exists = false;
  for (const AccountGrant& it : grants) {
    if (it.revision->spec.kind != DeploymentKind::kModel) {
      continue;
    }
    const auto found = FindModel(it.revision->spec, model);
    if (!found) {
      continue;
    }
    exists = true;
    if (MayUse(*it.account, found->first, found->second)) {
      return ResolvedRequest{it.revision, it.account, found->first,
                             found->second};
    }
  }
  if (exists) {
    return Forbidden("This client account may not use model " +
                     std::string(model) + ".");
  }
  return Refusal{404, RunState::kNotRun, "model_not_found",
                 "No model " + std::string(model) +
                     " for this client account. See /v1/models."};
}

std::variant<ResolvedRequest, Refusal> Catalogue::ResolveService(
    const std::vector<AccountGrant>& grants, std::string_view host,
    std::string_view path) const {
  const Revision* best = nullptr;
  std::size_t best_rank = 0;
  for (const auto& [name, revision] : revisions_) {
    const DeploymentSpec& spec = revision.spec;
    if (spec.kind != DeploymentKind::kService) {
      continue;
    }
    constexpr std::size_t kHostRank = 1U << 20;
    std::size_t rank = 0;
    if (!spec.host.empty() &&
        EqualsIgnoringCase(spec.host, WithoutPort(host))) {
      rank = kHostRank;
    }
    if (IsBelow(path, spec.path_prefix)) {
      rank += spec.path_prefix.size();
    }
    if (rank > best_rank) {
      best = &revision;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return Refusal{404, RunState::kNotRun, "no_deployment",
                   "No deployment serves this Host and path."};
  }
  for (const AccountGrant& it : grants) {
    if (it.revision == best) {
      return ResolvedRequest{best, it.account, "", ""};
    }
  }
  return Forbidden("This client account has no access to deployment " +
                   best->spec.name + ".");
}

std::vector<std::string> Catalogue::ModelsFor(
    const std::vector<AccountGrant>& grants) const {
  std::set<std::string> names;
  for (const AccountGrant& it : grants) {
    for (const ModelSpec& model : it.revision->spec.models) {
      if (MayUse(*it.account, model.name, "")) {
        names.insert(model.name);
      }
      for (const std::string& adapter : model.adapters) {
        if (MayUse(*it.account, model.name, adapter)) {
          names.insert(adapter);
        }
      }
    }
  }
  return {names.begin(), names.end()};
}

}  // namespace indigolead
