#include "entry/attempt_messages.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/base/ids.h"

namespace indigolead {
namespace {

std::uint64_t ToMicros(Duration duration) {
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(us, 0));
}

wire::RepeatClass RepeatClassOf(Repeatability repeatability) {
  switch (repeatability) {
    case Repeatability::kIdempotent:
      return wire::REPEAT_IDEMPOTENT;
    case Repeatability::kKeyed:
      return wire::REPEAT_KEYED;
    case Repeatability::kOnce:
      return wire::REPEAT_ONCE;
  }
  return wire::REPEAT_ONCE;
}

std::string RefusalCode(wire::RefusalReason reason) {
  switch (reason) {
    case wire::REFUSAL_LEAVING:
      return "leaving";
    case wire::REFUSAL_OVERLOADED:
      return "target_overloaded";
    case wire::REFUSAL_TOO_LATE:
      return "deadline";
    case wire::REFUSAL_CANCELLED_EARLIER:
      return "cancelled";
    case wire::REFUSAL_TARGET_DOWN:
      return "target_down";
    case wire::REFUSAL_WRONG_DEPLOYMENT:
      return "wrong_deployment";
    case wire::REFUSAL_QUARANTINED:
      return "quarantined";
    case wire::REFUSAL_MODEL_NOT_LOADED:
      return "model_not_loaded";
    default:
      return "refused";
  }
}

void UpdateTarget(const wire::TargetInfo& target, SideInfo* info) {
  info->deployment = target.deployment();
  info->is_engine = target.is_engine();
  info->role = target.role();
  info->models.assign(target.models().begin(), target.models().end());
  info->adapters.assign(target.adapters().begin(), target.adapters().end());
  info->target_up = target.health() == wire::TARGET_UP ||
                    target.health() == wire::TARGET_UNKNOWN;
}

}  // namespace

void FillStart(const SendStart& start, wire::StartAttempt* message) {
  const CallerRequest& request = *start.request;
  message->set_attempt_id(ToBytes(start.attempt.value));
  message->set_request_id(ToBytes(request.id.value));
  message->set_client_account(request.client_account);
  message->set_deployment(request.deployment);
  message->set_model(request.model);
  message->set_adapter(request.adapter);
  message->set_priority(request.priority);
  message->set_start_within_us(ToMicros(start.start_within));
  message->set_finish_within_us(ToMicros(start.finish_within));
  message->set_repeat_class(RepeatClassOf(request.repeatability));
  message->set_method(request.method);
  message->set_path(request.path);
  for (const HeaderField& it : request.headers) {
    wire::Header* header = message->add_headers();
    header->set_name(it.name);
    header->set_value(it.value);
  }
  message->set_body(request.body);
  message->set_initial_credit_bytes(start.initial_credit_bytes);
  message->set_fingerprint(request.fingerprint);
  message->set_prompt_tokens(request.prompt_tokens);
  message->set_max_output_tokens(request.max_output_tokens);
  message->set_config_revision(request.config_revision);
  message->set_start_sequence(start.start_sequence);
}

void FillCancel(const SendCancel& cancel, wire::CancelAttempt* message) {
  message->set_attempt_id(ToBytes(cancel.ref.attempt.value));
  message->set_side_incarnation(ToBytes(cancel.ref.side_incarnation.value));
  message->set_start_sequence(cancel.ref.start_sequence);
}

void FillResume(const SendResume& resume, wire::ResumeAttempt* message) {
  message->set_attempt_id(ToBytes(resume.ref.attempt.value));
  message->set_next_sequence(resume.next_sequence);
  message->set_side_incarnation(ToBytes(resume.ref.side_incarnation.value));
  message->set_start_sequence(resume.ref.start_sequence);
  message->set_granted_bytes(resume.granted_bytes);
}

std::optional<SideInfo> SideInfoFrom(const wire::Hello& hello) {
  const auto incarnation = Id128FromBytes(hello.incarnation());
  if (!incarnation) {
    return std::nullopt;
  }
  SideInfo info;
  info.instance = hello.instance();
  info.incarnation = Incarnation{*incarnation};
  info.failure_domain = hello.failure_domain();
  info.region = hello.region();
  info.leaving = hello.leaving();
  UpdateTarget(hello.target(), &info);
  return info;
}

void UpdateSideInfo(const wire::Heartbeat& heartbeat, SideInfo* info) {
  info->leaving = heartbeat.leaving();
  if (heartbeat.has_target()) {
    UpdateTarget(heartbeat.target(), info);
  }
}

SideRefusal SideRefusalFrom(const wire::AttemptRefused& message) {
  SideRefusal refusal;
  refusal.code = RefusalCode(message.reason());
  refusal.overloaded = message.reason() == wire::REFUSAL_OVERLOADED;
  refusal.final = message.reason() == wire::REFUSAL_TOO_LATE ||
                  message.reason() == wire::REFUSAL_QUARANTINED;
  refusal.retry_after = std::chrono::milliseconds(message.retry_after_ms());
  refusal.detail = message.detail();
  return refusal;
}

AttemptEnd AttemptEndFrom(const wire::ResponseEnd& message) {
  AttemptEnd end;
  end.sequence = message.sequence();
  end.body_bytes = message.body_bytes();
  end.body_checksum = message.body_checksum();
  end.detail = message.detail();
  switch (message.outcome()) {
    case wire::END_COMPLETE:
      end.outcome = AttemptOutcome::kComplete;
      break;
    case wire::END_TARGET_DIED:
      end.outcome = AttemptOutcome::kTargetDied;
      break;
    case wire::END_CANCELLED:
      end.outcome = AttemptOutcome::kCancelled;
      break;
    case wire::END_DEADLINE:
      end.outcome = AttemptOutcome::kDeadline;
      break;
    case wire::END_NOT_STARTED:
      end.outcome = AttemptOutcome::kNotStarted;
      break;
    default:
      end.outcome = AttemptOutcome::kTargetFailed;
      break;
  }
  return end;
}

std::optional<AttemptKnowledge> KnowledgeFrom(wire::AttemptKnowledge known) {
  switch (known) {
    case wire::KNOWLEDGE_NOT_STARTED:
      return AttemptKnowledge::kNotStarted;
    case wire::KNOWLEDGE_RUNNING:
      return AttemptKnowledge::kRunning;
    case wire::KNOWLEDGE_FINISHED:
      return AttemptKnowledge::kFinished;
    case wire::KNOWLEDGE_LOST:
      return AttemptKnowledge::kLost;
    default:
      return std::nullopt;
  }
}

std::vector<HeaderField> HeadersFrom(
    google::protobuf::RepeatedPtrField<wire::Header>* headers) {
  std::vector<HeaderField> fields;
  fields.reserve(static_cast<std::size_t>(headers->size()));
  for (wire::Header& it : *headers) {
    fields.push_back(
        {std::move(*it.mutable_name()), std::move(*it.mutable_value())});
  }
  return fields;
}

}  // namespace indigolead
