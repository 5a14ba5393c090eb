#ifndef INDIGOLEAD_ENTRY_ATTEMPT_MESSAGES_H_
#define INDIGOLEAD_ENTRY_ATTEMPT_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "attempt.pb.h"
#include "core/request/request_types.h"
#include "membership.pb.h"

namespace indigolead {

// Conversions between the request flow's types and the messages on the links.

void FillStart(const SendStart& start, wire::StartAttempt* message);
void FillCancel(const SendCancel& cancel, wire::CancelAttempt* message);
void FillResume(const SendResume& resume, wire::ResumeAttempt* message);

/// Returns the side that sent `hello`, or nothing if it has no valid
/// incarnation.
std::optional<SideInfo> SideInfoFrom(const wire::Hello& hello);

/// Updates `info` from a heartbeat.
void UpdateSideInfo(const wire::Heartbeat& heartbeat, SideInfo* info);

SideRefusal SideRefusalFrom(const wire::AttemptRefused& message);
AttemptEnd AttemptEndFrom(const wire::ResponseEnd& message);
std::optional<AttemptKnowledge> KnowledgeFrom(wire::AttemptKnowledge known);

/// Moves the fields out of `headers`.
std::vector<HeaderField> HeadersFrom(
    google::protobuf::RepeatedPtrField<wire::Header>* headers);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_ATTEMPT_MESSAGES_H_
