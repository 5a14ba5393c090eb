#ifndef INDIGOLEAD_WIRE_CONTROL_EVENTS_H_
#define INDIGOLEAD_WIRE_CONTROL_EVENTS_H_

#include "observe/event_log.h"

namespace indigolead {

inline constexpr EventInfo kRevisionApplied{
    4001, "revision-applied", EventSeverity::kInfo,
    "A newer revision of a deployment was applied in this process."};
inline constexpr EventInfo kRevisionUnreadable{
    4002, "revision-unreadable", EventSeverity::kError,
    "A revision could not be parsed; the previous one stays in force."};
inline constexpr EventInfo kRevisionMismatch{
    4003, "revision-mismatch", EventSeverity::kError,
    "A revision has the same number as the one in force but another digest; it "
    "was ignored."};
inline constexpr EventInfo kRevisionNoRoom{
    4004, "revision-no-room", EventSeverity::kError,
    "The limit on deployments was reached; a revision was ignored."};
inline constexpr EventInfo kRevisionPeerDropped{
    4005, "revision-peer-dropped", EventSeverity::kWarning,
    "The limit on peers was reached; revisions of a peer are not tracked."};

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_CONTROL_EVENTS_H_
