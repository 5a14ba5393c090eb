#ifndef INDIGOLEAD_ENTRY_USAGE_EVENTS_H_
#define INDIGOLEAD_ENTRY_USAGE_EVENTS_H_

#include "observe/event_log.h"

namespace indigolead {

inline constexpr EventInfo kUsageWritten{
    1040, "usage-written", EventSeverity::kInfo,
    "What this entry has counted stands in the store."};
inline constexpr EventInfo kUsageSettled{
    1041, "usage-settled", EventSeverity::kInfo,
    "The content of a window's usage report is settled; whole says whether all "
    "entries had told what they counted."};
inline constexpr EventInfo kUsageReported{
    1042, "usage-reported", EventSeverity::kInfo,
    "A usage report was sent; one of unknown outcome is repeated as it was."};
inline constexpr EventInfo kUsageGivenUp{
    1043, "usage-given-up", EventSeverity::kError,
    "A usage report was refused, or could not be delivered for too long."};
inline constexpr EventInfo kUsageCallFailed{
    1044, "usage-call-failed", EventSeverity::kWarning,
    "A call of the store for usage failed; it is made again."};
inline constexpr EventInfo kUsageLate{
    1045, "usage-late", EventSeverity::kWarning,
    "Entries told of requests whose window's report was settled without them."};
inline constexpr EventInfo kUsageLost{
    1046, "usage-lost", EventSeverity::kError,
    "The store could not be written for so long that counts were dropped."};
inline constexpr EventInfo kUsageUnreadable{
    1047, "usage-unreadable", EventSeverity::kWarning,
    "An entry's record of usage cannot be read and is left out."};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_USAGE_EVENTS_H_
