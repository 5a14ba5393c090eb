#include "core/request/request_reader.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

#include "core/request/completion_body.h"
#include "core/request/header_fields.h"

namespace indigolead {
namespace {

constexpr std::size_t kMaxKeyBytes = 255;
/// Typical size of a token of text; used only to estimate tokens for routing.
constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::uint64_t kDefaultOutputTokens = 256;

/// Fields that the entry handles itself or that contain the caller's secret.
constexpr std::array<std::string_view, 6> kNotForwarded = {
    "authorization", "x-api-key", "content-length",
    "expect",        "host",      "x-request-id"};

Refusal BadRequest(std::string code, std::string message) {
  return {400, RunState::kNotRun, std::move(code), std::move(message)};
}

std::vector<HeaderField> ForwardedHeaders(std::vector<HeaderField> headers) {
  const std::string connection(FindHeader(headers, "connection"));
  const std::string host(FindHeader(headers, "host"));
  std::erase_if(headers, [&connection](const HeaderField& it) {
    return IsHopByHop(it.name, connection) ||
           std::any_of(kNotForwarded.begin(), kNotForwarded.end(),
                       [&it](std::string_view name) {
                         return EqualsIgnoringCase(it.name, name);
                       });
  });
  if (!host.empty()) {
    headers.push_back({"X-Forwarded-Host", host});
  }
  return headers;
}

/// Returns the shorter of the caller's deadline and `max_deadline`, the
/// deployment's; nothing if the caller's is malformed.
std::optional<Duration> ReadDeadline(const std::vector<HeaderField>& headers,
                                     Duration max_deadline) {
  const std::string_view text = FindHeader(headers, "indigolead-deadline-ms");
  if (text.empty()) {
    return max_deadline;
  }
  std::uint32_t ms = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  if (ec != std::errc() || end != text.data() + text.size() || ms == 0) {
    return std::nullopt;
  }
  return std::min<Duration>(max_deadline, std::chrono::milliseconds(ms));
}

Repeatability RepeatabilityOf(const IncomingRequest& incoming,
                              const DeploymentSpec& spec, bool keyed) {
  if (keyed) {
    return Repeatability::kKeyed;
  }
  const RequestPolicy& policy = spec.request;
  const bool idempotent =
      spec.kind == DeploymentKind::kModel
          ? policy.idempotent
          : std::find(policy.idempotent_methods.begin(),
                      policy.idempotent_methods.end(),
                      incoming.method) != policy.idempotent_methods.end();
  return idempotent ? Repeatability::kIdempotent : Repeatability::kOnce;
}

std::uint64_t Fingerprint(const std::string& account,
                          const IncomingRequest& incoming) {
  const std::uint64_t seed = XXH64(account.data(), account.size(), 0);
  const std::uint64_t path =
      XXH64(incoming.target.data(), incoming.target.size(), seed);
  return XXH64(incoming.body.data(), incoming.body.size(), path);
}

/// Fills in the fields read from an OpenAI-style body and resolves its model,
/// or returns a refusal.
std::variant<ResolvedRequest, Refusal> ResolveCompletion(
    const IncomingRequest& incoming, const Catalogue& catalogue,
    const std::vector<AccountGrant>& grants, CallerRequest* request) {
  if (incoming.method != "POST") {
    return Refusal{405, RunState::kNotRun, "method_not_allowed",
                   "Send this request with POST."};
  }
  const auto body = ReadCompletionBody(incoming.body);
  if (!body) {
    return BadRequest("invalid_json", "The body is not a JSON object.");
  }
  if (body->model.empty()) {
    return BadRequest("model_missing", "The body contains no model name.");
  }
  request->streamed = body->streamed;
  request->prompt_tokens = incoming.body.size() / kBytesPerToken;
  request->max_output_tokens =
      body->max_tokens > 0 ? body->max_tokens : kDefaultOutputTokens;
  return catalogue.ResolveModel(grants, body->model);
}

}  // namespace

std::string_view FindApiKey(const std::vector<HeaderField>& headers) {
  const std::string_view key = FindBearerKey(headers);
  return key.empty() ? FindHeader(headers, "x-api-key") : key;
}

bool IsCompletionPath(std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  return path == "/v1/completions" || path == "/v1/chat/completions";
}

std::variant<CallerRequest, Refusal> ReadRequest(
    IncomingRequest incoming, const Catalogue& catalogue,
    const std::vector<AccountGrant>& grants, RequestId id, TimePoint now) {
  CallerRequest request;
  request.id = id;
  auto resolved =
      IsCompletionPath(incoming.target)
          ? ResolveCompletion(incoming, catalogue, grants, &request)
          : catalogue.ResolveService(
                grants, FindHeader(incoming.headers, "host"), incoming.target);
  if (auto* refusal = std::get_if<Refusal>(&resolved)) {
    return std::move(*refusal);
  }
  const auto& found = std::get<ResolvedRequest>(resolved);
  const DeploymentSpec& spec = found.revision->spec;
  if (incoming.body.size() > spec.request.max_body_bytes) {
    return Refusal{413, RunState::kNotRun, "body_too_large",
                   "The body is larger than the deployment's limit of " +
                       std::to_string(spec.request.max_body_bytes) + " bytes."};
  }
  const std::string_view key = FindHeader(incoming.headers, "idempotency-key");
  if (key.size() > kMaxKeyBytes) {
    return BadRequest("key_too_long",
                      "An Idempotency-Key has at most 255 bytes.");
  }
  const auto deadline = ReadDeadline(incoming.headers, spec.request.deadline);
  if (!deadline) {
    return BadRequest("invalid_deadline",
                      "Indigolead-Deadline-Ms must be a whole number above 0.");
  }
  request.client_account = found.account->name;
  request.deployment = spec.name;
  request.model = found.model;
  request.adapter = found.adapter;
  request.priority = found.account->priority;
  request.repeatability = RepeatabilityOf(incoming, spec, !key.empty());
  request.idempotency_key = std::string(key);
  request.deadline = now + *deadline;
  request.max_attempts = spec.request.max_attempts;
  request.retry_budget_share = spec.request.retry_budget_share;
  request.fingerprint = Fingerprint(request.client_account, incoming);
  request.config_revision = found.revision->number;
  request.method = std::move(incoming.method);
  request.path = std::move(incoming.target);
  request.headers = ForwardedHeaders(std::move(incoming.headers));
  request.body = std::move(incoming.body);
  return request;
}

}  // namespace indigolead
