#include "side/attempt_codec.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <string_view>
#include <utility>

namespace indigolead {
namespace {

/// Upper bound for durations in messages; longer ones mean "no limit" and are
/// clamped.
constexpr std::uint64_t kMaxMicros = 24ULL * 3600 * 1000 * 1000;

constexpr std::string_view kRequestIdHeader = "X-Request-Id";
constexpr std::string_view kPriorityHeader = "X-Priority";

Duration FromMicros(std::uint64_t micros) {
  return std::chrono::microseconds(std::min(micros, kMaxMicros));
}

std::uint64_t ToMicros(Duration duration) {
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return micros > 0 ? static_cast<std::uint64_t>(micros) : 0;
}

template <typename Message>
std::optional<AttemptQuery> ToQuery(const Message& message) {
  const auto id = Id128FromBytes(message.attempt_id());
  if (!id) {
    return std::nullopt;
  }
  AttemptQuery query;
  query.id = AttemptId{*id};
  query.side =
      Incarnation{Id128FromBytes(message.side_incarnation()).value_or(Id128{})};
  query.start_sequence = message.start_sequence();
  return query;
}

void FillHead(const AttemptFrame& frame, wire::ResponseHead* head) {
  head->set_sequence(frame.sequence);
  head->set_status(static_cast<std::uint32_t>(frame.status));
  for (const auto& [name, value] : frame.headers) {
    auto* header = head->add_headers();
    header->set_name(name);
    header->set_value(value);
  }
}

void FillEnd(const AttemptFrame& frame, wire::ResponseEnd* end) {
  end->set_sequence(frame.sequence);
  end->set_body_bytes(frame.body_bytes);
  end->set_body_checksum(frame.body_checksum);
  end->set_outcome(static_cast<wire::EndOutcome>(frame.outcome));
  end->set_detail(frame.data);
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

/// Replaces the headers that identify and prioritise the attempt at the target,
/// so that a caller can neither address another caller's stream nor raise its
/// own priority.
void SetTargetHeaders(int priority, AttemptStart* start) {
  auto& headers = start->request.headers;
  std::erase_if(headers, [](const auto& it) {
    return EqualsIgnoringCase(it.first, kRequestIdHeader) ||
           EqualsIgnoringCase(it.first, kPriorityHeader);
  });
  headers.emplace_back(kRequestIdHeader,
                       TargetRequestId(start->request_id, start->id));
  headers.emplace_back(kPriorityHeader, std::to_string(priority));
}

}  // namespace

std::string TargetRequestId(const RequestId& request, const AttemptId& id) {
  return ToHex(request.value) + "-" + ToHex(id.value);
}

std::optional<AttemptStart> ToAttemptStart(wire::StartAttempt&& message) {
  const auto id = Id128FromBytes(message.attempt_id());
  if (!id) {
    return std::nullopt;
  }
  AttemptStart start;
  start.id = AttemptId{*id};
  start.request_id =
      RequestId{Id128FromBytes(message.request_id()).value_or(Id128{})};
  start.start_sequence = message.start_sequence();
  start.start_within = FromMicros(message.start_within_us());
  start.finish_within = FromMicros(message.finish_within_us());
  start.deployment = std::move(*message.mutable_deployment());
  start.fingerprint = message.fingerprint();
  start.initial_credit_bytes = message.initial_credit_bytes();
  start.body_continues = message.body_continues();
  start.request.method = std::move(*message.mutable_method());
  start.request.path = std::move(*message.mutable_path());
  start.request.body = std::move(*message.mutable_body());
  start.request.headers.reserve(
      static_cast<std::size_t>(message.headers_size()));
  for (auto& it : *message.mutable_headers()) {
    start.request.headers.emplace_back(std::move(*it.mutable_name()),
                                       std::move(*it.mutable_value()));
  }
  SetTargetHeaders(message.priority(), &start);
  return start;
}

std::optional<AttemptQuery> ToAttemptQuery(const wire::CancelAttempt& message) {
  return ToQuery(message);
}

std::optional<AttemptQuery> ToAttemptQuery(const wire::ResumeAttempt& message) {
  return ToQuery(message);
}

void FillFrame(const AttemptId& id, const AttemptFrame& frame,
               wire::Envelope* message) {
  switch (frame.kind) {
    case AttemptFrame::Kind::kHead:
      message->mutable_head()->set_attempt_id(ToBytes(id.value));
      FillHead(frame, message->mutable_head());
      return;
    case AttemptFrame::Kind::kChunk:
      message->mutable_chunk()->set_attempt_id(ToBytes(id.value));
      message->mutable_chunk()->set_sequence(frame.sequence);
      message->mutable_chunk()->set_data(frame.data);
      return;
    case AttemptFrame::Kind::kEnd:
      message->mutable_end()->set_attempt_id(ToBytes(id.value));
      FillEnd(frame, message->mutable_end());
      return;
  }
}

void FillRefusal(const AttemptRefusal& refusal, wire::Envelope* message) {
  auto* refused = message->mutable_refused();
  refused->set_attempt_id(ToBytes(refusal.id.value));
  refused->set_reason(static_cast<wire::RefusalReason>(refusal.reason));
  refused->set_retry_after_ms(ToMicros(refusal.retry_after) / 1000);
  refused->set_detail(refusal.detail);
}

void FillState(const AttemptStateReply& reply, wire::Envelope* message) {
  auto* state = message->mutable_attempt_state();
  state->set_attempt_id(ToBytes(reply.id.value));
  state->set_knowledge(static_cast<wire::AttemptKnowledge>(reply.knowledge));
  state->set_next_sequence(reply.next_sequence);
}

void FillLoad(const EngineLoad& load, TimePoint now,
              wire::LoadReport* message) {
  message->set_measured_ago_us(ToMicros(now - load.measured_at));
  message->set_running(load.running);
  message->set_waiting(load.waiting);
  message->set_queued_prefill_tokens(load.queued_prefill_tokens);
  message->set_kv_used_bytes(load.kv_used_bytes);
  message->set_kv_capacity_bytes(load.kv_capacity_bytes);
  message->set_slots(load.slots);
  message->set_prefill_tokens_per_s(load.prefill_tokens_per_s);
  message->set_decode_tokens_per_s(load.decode_tokens_per_s);
}

}  // namespace indigolead
