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

/// One client account's entry in one deployment.
struct AccountGrant {
  const Revision* revision = nullptr;
  const ClientAccountSpec* account = nullptr;
};

/// What a caller's key and path or model resolve to.
struct ResolvedRequest {
  const Revision* revision = nullptr;
  const ClientAccountSpec* account = nullptr;
  std::string model;  ///< Models only.
  std::string adapter;
};

/// Immutable view of every deployment's revision in force, for looking up
/// callers and their requests. Built anew for each change, so that a request
/// is judged by one state of the configuration from start to end.
class Catalogue {
 public:
  /// Keys: deployment names.
  explicit Catalogue(std::map<std::string, Revision> revisions);
  Catalogue(const Catalogue&) = delete;
  Catalogue& operator=(const Catalogue&) = delete;

  /// Returns every grant of the key that hashes to `hash`. Valid as long as the
  /// catalogue.
  const std::vector<AccountGrant>& FindGrants(const KeyHash& hash) const;

  /// Finds the deployment that serves `model`, which names a model or one of
  /// its adapters, to one of `grants`; else the refusal to send.
  std::variant<ResolvedRequest, Refusal> ResolveModel(
      const std::vector<AccountGrant>& grants, std::string_view model) const;

  /// Finds the service deployment for a Host and path. Host goes before path
  /// prefix, and a longer prefix before a shorter one.
  std::variant<ResolvedRequest, Refusal> ResolveService(
      const std::vector<AccountGrant>& grants, std::string_view host,
      std::string_view path) const;

  /// Returns the names of the models and adapters open to `grants`, sorted.
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
