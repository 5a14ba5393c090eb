#include "core/config/declaration_keys.h"

#include <utility>

namespace indigolead {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;
using DeploymentRows = std::vector<KeyRow<DeploymentSpec>>;

constexpr std::uint64_t kKiB = 1ULL << 10;
constexpr std::uint64_t kGiB = 1ULL << 30;
constexpr bool kRequired = true;

/// Appends rows for fields of `Owner` itself.
template <typename Owner>
class Rows {
 public:
  explicit Rows(std::string section) : section_(std::move(section)) {}

  template <typename Value>
  Rows& Add(std::string key, Value Owner::*field, ValueRule rule,
            std::string meaning, bool required = false) {
    rows_.push_back({section_, std::move(key), std::move(rule), required,
                     std::move(meaning), [field](Owner& owner) -> FieldPointer {
                       return &(owner.*field);
                     }});
    return *this;
  }

  /// Appends a row for a field of the owner's member `part`.
  template <typename Part, typename Value>
  Rows& Add(std::string key, Part Owner::*part, Value Part::*field,
            ValueRule rule, std::string meaning) {
    rows_.push_back({section_, std::move(key), std::move(rule), false,
                     std::move(meaning),
                     [part, field](Owner& owner) -> FieldPointer {
                       return &(owner.*part.*field);
                     }});
    return *this;
  }

  std::vector<KeyRow<Owner>> Take() { return std::move(rows_); }

 private:
  std::string section_;
  std::vector<KeyRow<Owner>> rows_;
};

void AddRequestKeys(Rows<DeploymentSpec>* rows) {
  using P = RequestPolicy;
  constexpr auto kPart = &DeploymentSpec::request;
  rows->Add("deadline", kPart, &P::deadline,
            DurationRule(milliseconds(10), hours(24)),
            "Longest time from a request's arrival to the end of its answer.")
      .Add("retry_budget_share", kPart, &P::retry_budget_share,
           NumberRule(0, 1), "Retries allowed, as a share of first attempts.")
      .Add("max_attempts", kPart, &P::max_attempts, IntegerRule(1, 10),
           "Attempts of one request at most.")
      .Add("idempotent", kPart, &P::idempotent, KindRule(ValueKind::kBool),
           "Calls without an Idempotency-Key may be repeated.")
      .Add("idempotent_methods", kPart, &P::idempotent_methods,
           KindRule(ValueKind::kMethodList),
           "Services: only these methods may be repeated without a key.")
      .Add("max_body_bytes", kPart, &P::max_body_bytes, SizeRule(kKiB, kGiB),
           "Largest request body accepted.")
      .Add("max_queue_requests", kPart, &P::max_queue_requests,
           IntegerRule(1, 1 << 20), "Requests that wait at an entry at most.")
      .Add("max_queue_tokens", kPart, &P::max_queue_tokens,
           IntegerRule(1, 1LL << 40),
           "Prompt tokens that wait at an entry at most.");
}

void AddRoleKeys(Rows<DeploymentSpec>* rows) {
  using P = RoleSpec;
  constexpr auto kPart = &DeploymentSpec::roles;
  rows->Add("min_prefill", kPart, &P::min_prefill, IntegerRule(0, 100000),
            "Engines kept in the prefill role.")
      .Add("min_decode", kPart, &P::min_decode, IntegerRule(0, 100000),
           "Engines kept in the decode role.")
      .Add("automatic_roles", kPart, &P::automatic, KindRule(ValueKind::kBool),
           "The controller may change roles with the token mix.")
      .Add("role_change_cost", kPart, &P::role_change_cost,
           NumberRule(0.01, 1000),
           "Weight of an engine-second lost to a role change against one of "
           "work gained.")
      .Add("min_dwell", kPart, &P::min_dwell,
           DurationRule(seconds(1), hours(24)),
           "Shortest time between two role changes of one engine.")
      .Add("quiet_from_hour", kPart, &P::quiet_from_hour, IntegerRule(0, 23),
           "First local hour without automatic role changes.")
      .Add("quiet_to_hour", kPart, &P::quiet_to_hour, IntegerRule(0, 23),
           "Hour at which they are allowed again; equal to the first: none.");
}

DeploymentRows MakeDeploymentKeys() {
  using S = DeploymentSpec;
  Rows<S> rows("template NAME");
  rows.Add("kind", &S::kind, ChoiceRule({"model", "service"}),
           "Whether model engines or plain services are the targets.",
           kRequired)
      .Add("path_prefix", &S::path_prefix, KindRule(ValueKind::kUrlPrefix),
           "Services: requests for this path or below it.")
      .Add("host", &S::host, KindRule(ValueKind::kHost),
           "Services: requests with this Host header.");
  AddRequestKeys(&rows);
  AddRoleKeys(&rows);
  rows.Add("targets_check_fencing", &S::targets_check_fencing,
           KindRule(ValueKind::kBool),
           "The targets refuse orders with an old fencing number.")
      .Add("max_change_share", &S::max_change_share, NumberRule(0.01, 1),
           "Share of the engines that are in change at once at most.")
      .Add("quarantine_kills", &S::quarantine_kills, IntegerRule(1, 10),
           "Targets that die of a request before it is quarantined.")
      .Add("quarantine_time", &S::quarantine_time,
           DurationRule(seconds(1), hours(720)),
           "Time for which it stays quarantined.");
  return rows.Take();
}

std::vector<KeyRow<ModelSpec>> MakeModelKeys() {
  using S = ModelSpec;
  Rows<S> rows("template NAME model MODEL");
  rows.Add("version", &S::version, KindRule(ValueKind::kModelName),
           "Version of the weights.", kRequired)
      .Add("adapters", &S::adapters, KindRule(ValueKind::kModelNameList),
           "Adapters loaded beside the model.");
  return rows.Take();
}

std::vector<KeyRow<ClientAccountSpec>> MakeClientAccountKeys() {
  using S = ClientAccountSpec;
  Rows<S> rows("client-account DEPLOYMENT NAME");
  rows.Add("api_key_sha256", &S::api_key_sha256, KindRule(ValueKind::kSha256),
           "Hash of the account's API key; the key itself is kept nowhere.",
           kRequired)
      .Add("priority", &S::priority, IntegerRule(-100, 100),
           "Higher is served first.")
      .Add("weight", &S::weight, IntegerRule(1, 10000),
           "Share of work among accounts of one priority.")
      .Add("requests_per_second", &S::requests_per_second, NumberRule(0, 1e6),
           "Limit at each entry; 0: none.")
      .Add("tokens_per_second", &S::tokens_per_second, NumberRule(0, 1e9),
           "Limit of prompt and output tokens at each entry; 0: none.")
      .Add("max_concurrent", &S::max_concurrent, IntegerRule(1, 1 << 20),
           "Requests in work at one entry at most.")
      .Add("models", &S::models, KindRule(ValueKind::kModelNameList),
           "Models that it may use; none given: all.")
      .Add("adapters", &S::adapters, KindRule(ValueKind::kModelNameList),
           "Adapters that it may use; none given: all.");
  return rows.Take();
}

template <typename Owner>
void Flatten(const std::string& prefix, const Owner& owner,
             const std::vector<KeyRow<Owner>>& rows,
             std::map<std::string, std::string>* fields) {
  Owner copy = owner;
  for (const KeyRow<Owner>& it : rows) {
    (*fields)[prefix + it.key] = FormatField(it.rule, it.field(copy));
  }
}

}  // namespace

const DeploymentRows& DeploymentKeys() {
  static const auto* const rows = new DeploymentRows(MakeDeploymentKeys());
  return *rows;
}

const std::vector<KeyRow<ModelSpec>>& ModelKeys() {
  static const auto* const rows =
      new std::vector<KeyRow<ModelSpec>>(MakeModelKeys());
  return *rows;
}

const std::vector<KeyRow<ClientAccountSpec>>& ClientAccountKeys() {
  static const auto* const rows =
      new std::vector<KeyRow<ClientAccountSpec>>(MakeClientAccountKeys());
  return *rows;
}

std::map<std::string, std::string> FlattenSpec(const DeploymentSpec& spec) {
  std::map<std::string, std::string> fields;
  fields["template"] = spec.template_name;
  Flatten("", spec, DeploymentKeys(), &fields);
  for (const ModelSpec& it : spec.models) {
    Flatten("model " + it.name + " ", it, ModelKeys(), &fields);
  }
  for (const ClientAccountSpec& it : spec.client_accounts) {
    Flatten("client-account " + it.name + " ", it, ClientAccountKeys(),
            &fields);
  }
  return fields;
}

}  // namespace indigolead
