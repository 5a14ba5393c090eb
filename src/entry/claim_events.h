#ifndef INDIGOLEAD_ENTRY_CLAIM_EVENTS_H_
#define INDIGOLEAD_ENTRY_CLAIM_EVENTS_H_

#include "observe/event_log.h"

namespace indigolead {

inline constexpr EventInfo kSlotMapWritten{
    6101, "slot-map-written", EventSeverity::kInfo,
    "This entry, which holds the control lease, has assigned slots to homes."};
inline constexpr EventInfo kSlotMapUnreadable{
    6102, "slot-map-unreadable", EventSeverity::kError,
    "A slot map cannot be decoded; the previous one stays in use."};
inline constexpr EventInfo kTargetKilled{
    6201, "target-killed", EventSeverity::kWarning,
    "A target died with this request in flight; the request is a suspect."};
inline constexpr EventInfo kRequestQuarantined{
    6202, "request-quarantined", EventSeverity::kWarning,
    "A request that killed its targets is refused from now on."};
inline constexpr EventInfo kQuarantineLifted{
    6203, "quarantine-lifted", EventSeverity::kInfo, "A quarantine has ended."};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CLAIM_EVENTS_H_
