#ifndef INDIGOLEAD_WIRE_CONTROL_EVENTS_H_
#define INDIGOLEAD_WIRE_CONTROL_EVENTS_H_

#include "observe/event_log.h"

namespace indigolead {

inline constexpr EventInfo kRevisionApplied{
    4001, "revision-applied", EventSeverity::kInfo,
    "A newer revision of a deployment is in force in this process."};
inline constexpr EventInfo kRevisionUnreadable{
    4002, "revision-unreadable", EventSeverity::kError,
    "A revision could not be read; the one before stays in force."};
inline constexpr EventInfo kRevisionMismatch{
    4003, "revision-mismatch", EventSeverity::kError,
    "A revision has the number of the one in force and another digest; it was "
    "ignored."};
inline constexpr EventInfo kRevisionNoRoom{
    4004, "revision-no-room", EventSeverity::kError,
    "The bound on deployments was reached; a revision was ignored."};
inline constexpr EventInfo kRevisionPeerDropped{
    4005, "revision-peer-dropped", EventSeverity::kWarning,
    "The bound on peers was reached; what a peer applies is not tracked."};

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_CONTROL_EVENTS_H_
