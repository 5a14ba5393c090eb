#ifndef INDIGOLEAD_STORE_EVENTS_H_
#define INDIGOLEAD_STORE_EVENTS_H_

#include "observe/event_log.h"

namespace indigolead {

inline constexpr EventInfo kStaleListing{
    3001, "stale-listing", EventSeverity::kWarning,
    "The store answered with a listing older than the held state; it was "
    "dropped."};

inline constexpr EventInfo kWatcherRetry{
    3002, "watcher-retry", EventSeverity::kWarning,
    "Listing the store failed or a watch ended; a retry follows."};

inline constexpr EventInfo kStoreCalls{
    3003, "store-calls", EventSeverity::kInfo,
    "Store calls of this process since the previous record, by step and kind "
    "of object."};

inline constexpr EventInfo kWatcherTryFailed{
    3004, "watcher-try-failed", EventSeverity::kWarning,
    "An attempt to resume after a lost watch failed; retries follow."};

inline constexpr EventInfo kWatcherResumed{
    3005, "watcher-resumed", EventSeverity::kInfo,
    "The changes since the held version were read and the watch was "
    "restarted."};

inline constexpr EventInfo kWatcherAsked{
    3006, "watcher-asked", EventSeverity::kInfo,
    "Changes were read from the store outside the watch, because a decision "
    "depends on the current state."};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_EVENTS_H_
