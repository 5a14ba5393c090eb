#ifndef INDIGOLEAD_SIDE_CLAIM_EVENTS_H_
#define INDIGOLEAD_SIDE_CLAIM_EVENTS_H_

#include "observe/event_log.h"

namespace indigolead {

inline constexpr EventInfo kClaimHomeChanged{
    6001, "claim-home-changed", EventSeverity::kInfo,
    "The number of claim slots that this side decides on has changed."};
inline constexpr EventInfo kClaimHomeDegraded{
    6002, "claim-home-degraded", EventSeverity::kWarning,
    "Keyed requests are granted from memory because the store does not "
    "answer."};
inline constexpr EventInfo kClaimHomeRecovered{
    6003, "claim-home-recovered", EventSeverity::kInfo,
    "The claim journal is complete in the store again."};
inline constexpr EventInfo kClaimGaps{
    6004, "claim-gaps", EventSeverity::kWarning,
    "Unseen keys of some slots are answered with unknown because an earlier "
    "home may have granted them without recording it."};
inline constexpr EventInfo kClaimJournalUnreadable{
    6005, "claim-journal-unreadable", EventSeverity::kError,
    "A journal object cannot be decoded; its slots stay closed."};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_CLAIM_EVENTS_H_
