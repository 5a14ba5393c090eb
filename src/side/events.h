#ifndef INDIGOLEAD_SIDE_EVENTS_H_
#define INDIGOLEAD_SIDE_EVENTS_H_

#include "observe/event_log.h"

namespace indigolead {

inline constexpr EventInfo kSideStarted{
    2001, "side-started", EventSeverity::kInfo,
    "The side is running and accepts links."};
inline constexpr EventInfo kSideStopped{
    2002, "side-stopped", EventSeverity::kInfo,
    "The side stopped, or it could not start (error). The field cut counts the "
    "attempts that its drain timeout ended."};
inline constexpr EventInfo kSideLeaving{
    2003, "side-leaving", EventSeverity::kInfo,
    "The side refuses new attempts and lets the running ones finish."};
inline constexpr EventInfo kSideStaying{
    2004, "side-staying", EventSeverity::kInfo,
    "The last reason to leave is gone; the side accepts attempts again."};
inline constexpr EventInfo kTargetHealthChanged{
    2010, "target-health-changed", EventSeverity::kWarning,
    "The target came up, went down, or began or ended a change."};
inline constexpr EventInfo kTargetRestarted{
    2011, "target-restarted", EventSeverity::kWarning,
    "The target's process is not the same as before; its attempts were lost."};
inline constexpr EventInfo kTargetCallBroke{
    2012, "target-call-broke", EventSeverity::kWarning,
    "A call failed after its first byte was written to the target."};
inline constexpr EventInfo kTargetAnswerEndDoubtful{
    2013, "target-answer-end-doubtful", EventSeverity::kInfo,
    "The target's answer ended in the middle of an event, or it had neither a "
    "length nor chunks and ended with its connection."};
inline constexpr EventInfo kOrderPhaseChanged{
    2030, "order-phase-changed", EventSeverity::kInfo,
    "An order for the target entered its next phase."};
inline constexpr EventInfo kOrderGateShut{
    2031, "order-gate-shut", EventSeverity::kInfo,
    "An order waits for running attempts to end; new ones are refused."};
inline constexpr EventInfo kOrderGateOpened{
    2032, "order-gate-opened", EventSeverity::kInfo,
    "The order has ended; the target accepts attempts again."};
inline constexpr EventInfo kSideProtocolError{
    2020, "side-protocol-error", EventSeverity::kWarning,
    "A peer sent a message that violates the protocol."};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_EVENTS_H_
