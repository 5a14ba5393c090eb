#ifndef INDIGOLEAD_CORE_CONFIG_DEPLOYMENT_H_
#define INDIGOLEAD_CORE_CONFIG_DEPLOYMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// Says which kind of target serves a deployment.
enum class DeploymentKind {
  kModel,    ///< Model engines behind the OpenAI-style interface.
  kService,  ///< A plain service, to which calls are passed through.
};

/// Part that an engine plays in serving a model.
enum class EngineRole { kMixed, kPrefill, kDecode };

/// One model that a deployment serves.
struct ModelSpec {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;  ///< Adapters loaded beside the model.

  friend bool operator==(const ModelSpec&, const ModelSpec&) = default;
};

/// Limits and rights of one client account in one deployment.
///
/// Zero means "no limit" for rates, and is refused by the checker for counts
/// that bound memory.
struct ClientAccountSpec {
  std::string name;
  std::string api_key_sha256;  ///< 64 hex digits; the key itself is never kept.
  int priority = 0;            ///< Higher is served first.
  std::uint32_t weight = 1;    ///< Share of work under contention.
  double requests_per_second = 0;
  double tokens_per_second = 0;
  std::uint32_t max_concurrent = 256;
  std::vector<std::string> models;    ///< Empty: every model.
  std::vector<std::string> adapters;  ///< Empty: every adapter.

  friend bool operator==(const ClientAccountSpec&,
                         const ClientAccountSpec&) = default;
};

/// How a deployment's engines are divided between roles.
struct RoleSpec {
  std::uint32_t min_prefill = 0;  ///< Engines kept in the prefill role.
  std::uint32_t min_decode = 0;   ///< Engines kept in the decode role.
  bool automatic = false;         ///< Lets the controller resize the roles.
  /// Weight of an engine-second lost to a role change against a second of
  /// work gained. 1 favours goodput; 10 favours few changes.
  double role_change_cost = 1.0;
  Duration min_dwell = std::chrono::seconds(60);
  /// Local hours without automatic role changes, [from, to); equal: none.
  std::uint32_t quiet_from_hour = 0;
  std::uint32_t quiet_to_hour = 0;

  friend bool operator==(const RoleSpec&, const RoleSpec&) = default;
};

/// Retry and deadline policy of a deployment.
struct RequestPolicy {
  Duration deadline = std::chrono::seconds(60);
  /// Retries and hedges allowed as a share of first attempts.
  double retry_budget_share = 0.1;
  std::uint32_t max_attempts = 3;
  /// Calls without a key may be repeated. For services only the methods named
  /// in `idempotent_methods` are.
  bool idempotent = true;
  std::vector<std::string> idempotent_methods = {"GET", "HEAD", "OPTIONS"};
  std::uint64_t max_body_bytes = 4ULL << 20;
  std::uint32_t max_queue_requests = 1024;
  std::uint64_t max_queue_tokens = 4ULL << 20;

  friend bool operator==(const RequestPolicy&, const RequestPolicy&) = default;
};

/// Desired state of one deployment, filled in from its template.
struct DeploymentSpec {
  std::string name;
  std::string template_name;
  DeploymentKind kind = DeploymentKind::kModel;
  std::string path_prefix;  ///< Services: requests below it, such as "/menu".
  std::string host;         ///< Services: requests for this Host, if set.
  std::vector<ModelSpec> models;
  std::vector<ClientAccountSpec> client_accounts;
  RequestPolicy request;
  RoleSpec roles;
  /// Targets refuse an order with an old fencing number by themselves.
  bool targets_check_fencing = true;
  /// Most engines in change at once, as a share of the deployment's.
  double max_change_share = 0.25;
  std::uint32_t quarantine_kills = 2;
  Duration quarantine_time = std::chrono::minutes(30);

  friend bool operator==(const DeploymentSpec&,
                         const DeploymentSpec&) = default;
};

/// One accepted, whole and immutable state of one deployment.
struct Revision {
  std::uint64_t number = 0;  ///< Grows by one with each accepted change.
  DeploymentSpec spec;
  std::string author;
  WallMicros accepted_at = 0;
  std::string source_version;  ///< Version-control revision of the edit.
  std::uint64_t digest = 0;    ///< Hash of the specification.
  std::string note;            ///< Cause, such as "rollback to 4".
  /// Drawn by the writer, so that it recognises its own write after a lost
  /// answer.
  std::string nonce;

  friend bool operator==(const Revision&, const Revision&) = default;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_DEPLOYMENT_H_
