#ifndef INDIGOLEAD_SIDE_ATTEMPT_CODEC_H_
#define INDIGOLEAD_SIDE_ATTEMPT_CODEC_H_

#include <optional>
#include <string>

#include "core/request/attempt_types.h"
#include "envelope.pb.h"
#include "side/target_messages.h"

namespace indigolead {

/// Returns the value of `X-Request-Id` at the target. It names the request, for
/// the target's logs, and the attempt, because an engine resumes and cancels
/// streams by it: a second attempt must not be taken for the first.
std::string TargetRequestId(const RequestId& request, const AttemptId& id);

/// @name Messages from entries, as events of the core.
/// Nothing is returned for a message without a valid attempt id.
/// @{
std::optional<AttemptStart> ToAttemptStart(wire::StartAttempt&& message);
std::optional<AttemptQuery> ToAttemptQuery(const wire::CancelAttempt& message);
std::optional<AttemptQuery> ToAttemptQuery(const wire::ResumeAttempt& message);
/// @}

/// @name Actions of the core, as messages to entries.
/// @{
void FillFrame(const AttemptId& id, const AttemptFrame& frame,
               wire::Envelope* message);
void FillRefusal(const AttemptRefusal& refusal, wire::Envelope* message);
void FillState(const AttemptStateReply& reply, wire::Envelope* message);
/// @}

/// Fills `message` with `load` as it is `now`.
void FillLoad(const EngineLoad& load, TimePoint now, wire::LoadReport* message);

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_ATTEMPT_CODEC_H_
