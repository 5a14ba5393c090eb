#ifndef INDIGOLEAD_ENTRY_CONTROL_EVENTS_H_
#define INDIGOLEAD_ENTRY_CONTROL_EVENTS_H_

#include "observe/event_log.h"

namespace indigolead {

inline constexpr EventInfo kLeaseGained{
    4101, "lease-gained", EventSeverity::kInfo,
    "This entry holds the control lease and acts as the controller."};
inline constexpr EventInfo kLeaseLost{
    4102, "lease-lost", EventSeverity::kWarning,
    "This entry no longer holds the control lease; it writes no orders."};
inline constexpr EventInfo kOrderForwarded{
    4103, "order-forwarded", EventSeverity::kInfo,
    "An order was forwarded to the side of its target."};
inline constexpr EventInfo kOrderWithheld{
    4104, "order-withheld", EventSeverity::kWarning,
    "An order was decided but not written, because the authority had ended."};
inline constexpr EventInfo kControlObjectUnreadable{
    4105, "control-object-unreadable", EventSeverity::kError,
    "The lease or an order in the store could not be read."};
inline constexpr EventInfo kChangeRecorded{
    4106, "change-recorded", EventSeverity::kInfo,
    "A change was made; the same record is written to the audit trail."};
inline constexpr EventInfo kAuditDropped{
    4107, "audit-dropped", EventSeverity::kWarning,
    "Too many audit records wait for the store; one was only logged."};

inline constexpr EventInfo kStageOrdered{
    4110, "stage-ordered", EventSeverity::kInfo,
    "An engine was ordered to take a role; the event gives the outcome."};
inline constexpr EventInfo kRolesPlanned{
    4111, "roles-planned", EventSeverity::kInfo,
    "The share of a service's engines that should decode has changed; the load "
    "fields give the number of engines that the load would occupy, as measured "
    "by this entry."};
inline constexpr EventInfo kLeaseStandby{
    4112, "lease-standby", EventSeverity::kInfo,
    "This entry became a standby, which watches the control lease closely to "
    "replace a lost holder within seconds, or a reserve, which checks it "
    "rarely."};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_CONTROL_EVENTS_H_
