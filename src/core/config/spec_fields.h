#ifndef INDIGOLEAD_CORE_CONFIG_SPEC_FIELDS_H_
#define INDIGOLEAD_CORE_CONFIG_SPEC_FIELDS_H_

// Lists the fields of the configuration types in one place for the code that
// iterates over them, such as the JSON writer and reader. A test counts the
// fields of each type and fails if one is missing here.

#include "core/config/deployment.h"

namespace indigolead::internal {

/// Calls `visit(name, field)` for each field of `spec`, which may be const.
/// Durations are passed unconverted, and their names have no unit suffix.
template <typename Visitor, typename Spec>
void VisitModel(Spec& spec, Visitor&& visit) {
  visit("name", spec.name);
  visit("version", spec.version);
  visit("adapters", spec.adapters);
}

/// See `VisitModel`.
template <typename Visitor, typename Spec>
void VisitClientAccount(Spec& spec, Visitor&& visit) {
  visit("name", spec.name);
  visit("api_key_sha256", spec.api_key_sha256);
  visit("priority", spec.priority);
  visit("weight", spec.weight);
  visit("requests_per_second", spec.requests_per_second);
  visit("tokens_per_second", spec.tokens_per_second);
  visit("max_concurrent", spec.max_concurrent);
  visit("models", spec.models);
  visit("adapters", spec.adapters);
}

/// See `VisitModel`.
template <typename Visitor, typename Spec>
void VisitRoles(Spec& spec, Visitor&& visit) {
  visit("min_prefill", spec.min_prefill);
  visit("min_decode", spec.min_decode);
  visit("automatic", spec.automatic);
  visit("role_change_cost", spec.role_change_cost);
  visit("min_dwell", spec.min_dwell);
  visit("quiet_from_hour", spec.quiet_from_hour);
  visit("quiet_to_hour", spec.quiet_to_hour);
}

/// See `VisitModel`.
template <typename Visitor, typename Spec>
void VisitRequestPolicy(Spec& spec, Visitor&& visit) {
  visit("deadline", spec.deadline);
  visit("retry_budget_share", spec.retry_budget_share);
  visit("max_attempts", spec.max_attempts);
  visit("idempotent", spec.idempotent);
  visit("idempotent_methods", spec.idempotent_methods);
  visit("max_body_bytes", spec.max_body_bytes);
  visit("max_queue_requests", spec.max_queue_requests);
  visit("max_queue_tokens", spec.max_queue_tokens);
}

/// See `VisitModel`. Nested types are passed as single fields.
template <typename Visitor, typename Spec>
void VisitDeployment(Spec& spec, Visitor&& visit) {
  visit("name", spec.name);
  visit("template", spec.template_name);
  visit("kind", spec.kind);
  visit("path_prefix", spec.path_prefix);
  visit("host", spec.host);
  visit("models", spec.models);
  visit("client_accounts", spec.client_accounts);
  visit("request", spec.request);
  visit("roles", spec.roles);
  visit("targets_check_fencing", spec.targets_check_fencing);
  visit("max_change_share", spec.max_change_share);
  visit("quarantine_kills", spec.quarantine_kills);
  visit("quarantine_time", spec.quarantine_time);
}

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_CORE_CONFIG_SPEC_FIELDS_H_
