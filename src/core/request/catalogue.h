#ifndef INDIGOLEAD_CORE_REQUEST_CATALOGUE_H_
#define INDIGOLEAD_CORE_REQUEST_CATALOGUE_H_

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/config/deployment.h"
#include "core/request/api_keys.h"
#include "core/request/request_types.h"

namespace indigolead {

/// Access of one client account to one deployment.
struct AccountGrant {
  const Revision* revision = nullptr;
  const ClientAccountSpec* account = nullptr;
};

/// Deployment, account and model that a request resolves to.
struct ResolvedRequest {
  const Revision* revision = nullptr;
  const ClientAccountSpec* account = nullptr;
  std::string model;  ///< Empty for a service.
  std::string adapter;
};

/// Immutable view of the current revision of every deployment, for looking up
/// callers and their requests. Rebuilt for each change, so that each lookup
/// sees one consistent state of the configuration.
class Catalogue {
 public:
  /// `revisions` is keyed by deployment name.
  explicit Catalogue(std::map<std::string, Revision> revisions);
  Catalogue(const Catalogue&) = delete;
  Catalogue& operator=(const Catalogue&) = delete;

  /// Returns every grant of the key that hashes to `hash`. The result is valid
  /// as long as the catalogue.
  const std::vector<AccountGrant>& FindGrants(const KeyHash& hash) const;

  /// Finds the deployment in `grants` that serves `model`, the name of a model
  /// or adapter, to the account. Returns the refusal to send if there is none.
  std::variant<ResolvedRequest, Refusal> ResolveModel(
      const std::vector<AccountGrant>& grants, std::string_view model) const;

  /// Finds the service deployment for a Host and path. A Host match takes
  /// precedence over a path prefix, and a longer prefix over a shorter one.
  std::variant<ResolvedRequest, Refusal> ResolveService(
      const std::vector<AccountGrant>& grants, std::string_view host,
      std::string_view path) const;

  /// Returns the sorted names of the models and adapters that `grants` allow.
  std::vector<std::string> ModelsFor(
      const std::vector<AccountGrant>& grants) const;

  const std::map<std::string, Revision>& revisions() const {
    return revisions_;
  }

 private:
  std::map<std::string, Revision> revisions_;
  KeyIndex<AccountGrant> keys_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_CATALOGUE_H_
