#ifndef INDIGOLEAD_STORE_EVENTS_H_
#define INDIGOLEAD_STORE_EVENTS_H_

#include "observe/event_log.h"

namespace indigolead {

inline constexpr EventInfo kStaleListing{
    3001, "stale-listing", EventSeverity::kWarning,
    "The store answered a listing older than what is held; it was dropped."};

inline constexpr EventInfo kWatcherRetry{
    3002, "watcher-retry", EventSeverity::kWarning,
    "The store could not be listed or a watch ended; another try follows."};

inline constexpr EventInfo kStoreCalls{
    3003, "store-calls", EventSeverity::kInfo,
    "What this process asked of the store since the line before: calls by step "
    "and kind of object."};

inline constexpr EventInfo kWatcherTryFailed{
    3004, "watcher-try-failed", EventSeverity::kWarning,
    "A try to go on after a lost watch failed; others follow."};

inline constexpr EventInfo kWatcherResumed{
    3005, "watcher-resumed", EventSeverity::kInfo,
    "The changes since the version held were read; a watch follows the store "
    "again."};

inline constexpr EventInfo kWatcherAsked{
    3006, "watcher-asked", EventSeverity::kInfo,
    "The store was asked for changes beside the watch, since something depends "
    "on how things stand now."};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_EVENTS_H_
