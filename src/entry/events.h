#ifndef INDIGOLEAD_ENTRY_EVENTS_H_
#define INDIGOLEAD_ENTRY_EVENTS_H_

#include "observe/event_log.h"

namespace indigolead {

inline constexpr EventInfo kEntryStarted{
    1001, "entry-started", EventSeverity::kInfo,
    "The entry accepts callers and sides."};
inline constexpr EventInfo kEntryStopping{
    1002, "entry-stopping", EventSeverity::kInfo,
    "A planned stop began: no new connections, open requests finish."};
inline constexpr EventInfo kEntryStopped{
    1003, "entry-stopped", EventSeverity::kInfo, "The entry has ended."};
inline constexpr EventInfo kDrainTimedOut{
    1004, "entry-drain-timed-out", EventSeverity::kWarning,
    "The planned stop reached its time limit with requests still open."};
inline constexpr EventInfo kRevisionInForce{
    1005, "revision-in-force", EventSeverity::kInfo,
    "A newer revision of a deployment is in force at this entry."};
inline constexpr EventInfo kSideUp{1007, "side-up", EventSeverity::kInfo,
                                   "A side has connected."};
inline constexpr EventInfo kSideDown{1008, "side-down", EventSeverity::kWarning,
                                     "The connection to a side was closed."};
inline constexpr EventInfo kConnectionsFull{
    1009, "connections-full", EventSeverity::kWarning,
    "A caller was refused because every connection is taken."};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_EVENTS_H_
