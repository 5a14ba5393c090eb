#ifndef INDIGOLEAD_SIDE_ATTEMPT_CODEC_H_
#define INDIGOLEAD_SIDE_ATTEMPT_CODEC_H_

#include <optional>
#include <string>

#include "core/request/attempt_types.h"
#include "envelope.pb.h"
#include "side/target_messages.h"

namespace indigolead {

/// Returns the value of `X-Request-Id` at the target. It contains the request
/// id, for the target's logs, and the attempt id, because an engine resumes and
/// cancels streams by this header and must not confuse a second attempt with
/// the first.
std::string TargetRequestId(const RequestId& request, const AttemptId& id);

/// @name Conversions of messages from entries to events of the core.
/// They return `std::nullopt` for a message without a valid attempt id.
/// @{
std::optional<AttemptStart> ToAttemptStart(wire::StartAttempt&& message);
std::optional<AttemptQuery> ToAttemptQuery(const wire::CancelAttempt& message);
std::optional<AttemptQuery> ToAttemptQuery(const wire::ResumeAttempt& message);
/// @}

/// @name Conversions of actions of the core to messages to entries.
/// @{
void FillFrame(const AttemptId& id, const AttemptFrame& frame,
               wire::Envelope* message);
void FillRefusal(const AttemptRefusal& refusal, wire::Envelope* message);
void FillState(const AttemptStateReply& reply, wire::Envelope* message);
/// @}

/// Fills `message` with `load`; its age is computed at `now`.
void FillLoad(const EngineLoad& load, TimePoint now, wire::LoadReport* message);

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_ATTEMPT_CODEC_H_
