#ifndef INDIGOLEAD_ENTRY_USAGE_EVENTS_H_
#define INDIGOLEAD_ENTRY_USAGE_EVENTS_H_

#include "observe/event_log.h"

namespace indigolead {

inline constexpr EventInfo kUsageWritten{
    1040, "usage-written", EventSeverity::kInfo,
    "This entry's usage counts were written to the store."};
inline constexpr EventInfo kUsageSettled{
    1041, "usage-settled", EventSeverity::kInfo,
    "The content of a window's usage report is settled; whole says whether all "
    "entries had written their counts."};
inline constexpr EventInfo kUsageReported{
    1042, "usage-reported", EventSeverity::kInfo,
    "A usage report was sent; one of unknown outcome is repeated unchanged."};
inline constexpr EventInfo kUsageGivenUp{
    1043, "usage-given-up", EventSeverity::kError,
    "A usage report was refused, or could not be delivered for too long."};
inline constexpr EventInfo kUsageCallFailed{
    1044, "usage-call-failed", EventSeverity::kWarning,
    "A store call for usage failed; it is retried."};
inline constexpr EventInfo kUsageLate{
    1045, "usage-late", EventSeverity::kWarning,
    "Entries wrote counts of requests after the report of their window was "
    "settled without them."};
inline constexpr EventInfo kUsageLost{
    1046, "usage-lost", EventSeverity::kError,
    "Writes to the store failed for so long that counts were dropped."};
inline constexpr EventInfo kUsageUnreadable{
    1047, "usage-unreadable", EventSeverity::kWarning,
    "An entry's record of usage cannot be read and is left out."};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_USAGE_EVENTS_H_
