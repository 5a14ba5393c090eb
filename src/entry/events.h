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

inline constexpr EventInfo kCallerLeftUnread{
    1010, "caller-left-unread", EventSeverity::kInfo,
    "A caller disconnected before its request was read; it is dropped."};

inline constexpr EventInfo kRequestPlaced{
    1020, "request-placed", EventSeverity::kInfo,
    "An attempt was sent; the fields give the target, the reason and the time "
    "left."};
inline constexpr EventInfo kRunnerChosen{
    1032, "runner-chosen", EventSeverity::kInfo,
    "The prefill is done; an engine was chosen for the decode."};
inline constexpr EventInfo kStreamContinued{
    1066, "stream-continued", EventSeverity::kInfo,
    "A caller asks to continue a stream; the fields give what began it, how "
    "that "
    "is known, what the entries' records tell of it, and the age of the list "
    "of "
    "targets."};
inline constexpr EventInfo kStreamNotPlaced{
    1071, "stream-not-placed", EventSeverity::kInfo,
    "A stream could not go on at a target now; the fields count the targets of "
    "the software version that began it, by role."};
inline constexpr EventInfo kStreamWaits{
    1072, "stream-waits", EventSeverity::kInfo,
    "A stream waits for a target: those of the software version that began it "
    "prefill, and one of them is to change its role."};
inline constexpr EventInfo kStreamOriginsNotShared{
    1067, "stream-origins-not-shared", EventSeverity::kError,
    "The address for messages of other entries could not be bound; callers can "
    "continue streams only at the entry that began them."};
inline constexpr EventInfo kStreamArchiveWritten{
    1073, "stream-archive-written", EventSeverity::kInfo,
    "A write of the origins of streams that this entry began has ended; the "
    "fields give the outcome, and a failed write is retried."};
inline constexpr EventInfo kStreamArchiveRead{
    1074, "stream-archive-read", EventSeverity::kInfo,
    "A read of the archived origins of all entries' streams has ended; the "
    "fields give the outcome and the number of streams known from it."};
inline constexpr EventInfo kStreamArchiveUnreadable{
    1075, "stream-archive-unreadable", EventSeverity::kWarning,
    "Archived origins of streams cannot be parsed and are ignored."};
inline constexpr EventInfo kRequestRefused{
    1021, "request-refused", EventSeverity::kInfo,
    "A request ended without a target's answer; the fields give the reason and "
    "the run state."};
inline constexpr EventInfo kRequestAnswered{
    1022, "request-answered", EventSeverity::kInfo,
    "A target's answer was delivered to the caller."};
inline constexpr EventInfo kRequestAbandoned{
    1023, "request-abandoned", EventSeverity::kInfo,
    "The caller disconnected before it had the whole answer; the work was "
    "cancelled."};
inline constexpr EventInfo kAttemptRefused{
    1024, "attempt-refused", EventSeverity::kInfo,
    "A target did not run an attempt; no part of it was executed there."};
inline constexpr EventInfo kTargetBroke{
    1025, "attempt-broke", EventSeverity::kWarning,
    "An attempt failed after its first byte was written; it may have run."};
inline constexpr EventInfo kAnswerEndDoubtful{
    1065, "answer-end-doubtful", EventSeverity::kInfo,
    "The end of a target's answer is doubtful: it had neither a length nor "
    "chunked framing and its connection closed, or it ended inside an event; "
    "the fields give its request, its size and the position of the end among "
    "the events."};
inline constexpr EventInfo kAnswerWithheld{
    1091, "answer-withheld", EventSeverity::kWarning,
    "A target's answer was not passed on: its status promises that the request "
    "has not run, which the target has not stated, or contradicts that "
    "statement. The request may have run."};
inline constexpr EventInfo kStrayAnswer{
    1090, "stray-answer", EventSeverity::kWarning,
    "Bytes of a target were not taken for an answer: the request's id or the "
    "proof of a success was missing, they answered another request, or none "
    "was due. One line a second; the fields give the number not logged."};
inline constexpr EventInfo kTargetListChanged{
    1026, "target-changed", EventSeverity::kInfo,
    "The state that the entry assumes for a target has changed."};
inline constexpr EventInfo kRoutesInForce{
    1027, "routes-in-force", EventSeverity::kInfo,
    "A newer version of the routes is in force at this entry."};
inline constexpr EventInfo kRoutesRefused{
    1028, "routes-refused", EventSeverity::kWarning,
    "Routes were rejected: they are older or cannot be decoded."};
inline constexpr EventInfo kStoreLost{
    1029, "store-lost", EventSeverity::kWarning,
    "The store cannot be watched; the last known state stays in force."};
inline constexpr EventInfo kStoreBack{1030, "store-back", EventSeverity::kInfo,
                                      "The store is watched again."};
inline constexpr EventInfo kLogLinesDropped{
    1031, "log-lines-dropped", EventSeverity::kWarning,
    "Log lines were dropped because there were too many or the reader is "
    "slow."};
inline constexpr EventInfo kRosterCount{
    1033, "entries-counted", EventSeverity::kInfo,
    "The number of entries that share the retry budget has changed."};
inline constexpr EventInfo kRosterEntryExpired{
    1034, "entry-expired", EventSeverity::kInfo,
    "A delete of an expired entry's registration has ended; the fields give "
    "the outcome."};
inline constexpr EventInfo kRosterCallFailed{
    1035, "roster-call-failed", EventSeverity::kWarning,
    "A registration could not be written or read; the call is retried."};
inline constexpr EventInfo kRosterLeft{
    1055, "registration-lapsed", EventSeverity::kWarning,
    "This entry's registration was not renewed in time and other entries may "
    "consider it gone; it has no share of common limits until it is renewed."};
inline constexpr EventInfo kTargetAvoided{
    1036, "target-avoided", EventSeverity::kWarning,
    "Consecutive calls to a target failed; it gets requests only if no other "
    "target can serve them."};
inline constexpr EventInfo kRunnerRefused{
    1037, "runner-refused", EventSeverity::kInfo,
    "An engine did not take over the decode of a prompt; another engine is "
    "asked, and the prefill is not repeated."};
inline constexpr EventInfo kTargetLimitChanged{
    1038, "target-limit-changed", EventSeverity::kInfo,
    "A target reported a changed request limit, or no longer reports one."};
inline constexpr EventInfo kLimitStandingChanged{
    1048, "limit-standing-changed", EventSeverity::kInfo,
    "The standing that sets this entry's share of targets' limits changed: "
    "not-joined (none), stale (reduced, its list of entries is old) or fresh."};
inline constexpr EventInfo kTargetLimitUnreadable{
    1039, "target-limit-unreadable", EventSeverity::kWarning,
    "A target's answer names a limit that is not a number; the previous limit "
    "stays."};

inline constexpr EventInfo kTargetAskedRest{
    1056, "target-asked-rest", EventSeverity::kInfo,
    "A target refused a request and asked this entry for a cooldown."};
inline constexpr EventInfo kTargetRestOver{
    1057, "target-rest-over", EventSeverity::kInfo,
    "The cooldown that a target asked for is over; it may get requests again."};
inline constexpr EventInfo kCallHeldBack{
    1058, "call-held-back", EventSeverity::kInfo,
    "A call was not sent, since its target asked for a cooldown or is "
    "leaving."};
inline constexpr EventInfo kTargetToldLeaving{
    1059, "target-told-leaving", EventSeverity::kInfo,
    "A target reported that it is leaving."};
inline constexpr EventInfo kTargetNoticeUnreadable{
    1060, "target-notice-unreadable", EventSeverity::kWarning,
    "A target's request for a cooldown or notice of leaving cannot be parsed; "
    "the previous state stays."};

inline constexpr EventInfo kTargetCrashed{
    1061, "target-crashed", EventSeverity::kWarning,
    "A target's connections broke, and nothing or another run of it listens at "
    "its address: it crashed while requests were running."};
inline constexpr EventInfo kTargetSurvived{
    1062, "target-survived", EventSeverity::kInfo,
    "A connection to a target broke without a crash: the target responds."};
inline constexpr EventInfo kTargetUndecided{
    1092, "target-undecided", EventSeverity::kInfo,
    "A connection to a target broke, and nothing showed whether the target "
    "crashed."};
inline constexpr EventInfo kCrashesTold{
    1063, "crashes-told", EventSeverity::kInfo,
    "A write of this entry's crash report has ended; the fields give the "
    "outcome, and a failed write is retried."};
inline constexpr EventInfo kCrashReportUnreadable{
    1064, "crash-report-unreadable", EventSeverity::kWarning,
    "A stored crash report cannot be parsed and is ignored."};
inline constexpr EventInfo kCrashesCleared{
    1068, "crashes-cleared", EventSeverity::kInfo,
    "A request was answered that had been running in targets which crashed; "
    "these crashes no longer count against it."};
inline constexpr EventInfo kPromptPartBlocked{
    1069, "prompt-part-blocked", EventSeverity::kWarning,
    "Targets crash while they answer requests with this prompt part; such "
    "requests are refused from now on."};
inline constexpr EventInfo kPromptPartReleased{
    1070, "prompt-part-released", EventSeverity::kInfo,
    "A prompt part under which requests were refused was answered, or its "
    "crashes are too old to count."};

inline constexpr EventInfo kRetryCharged{
    1053, "retry-charged", EventSeverity::kInfo,
    "A retry was requested from the retry budget; the fields give the budget "
    "left and the list of entries from which this entry's share was computed."};
inline constexpr EventInfo kRetryPartChanged{
    1054, "retry-part-changed", EventSeverity::kInfo,
    "This entry's share of the retry budget has changed."};

inline constexpr EventInfo kQueuePeersChanged{
    1076, "queue-peers-changed", EventSeverity::kInfo,
    "The number of other entries with which this one shares its open work at "
    "engines has changed."};

inline constexpr EventInfo kRelayChanged{
    1049, "watch-relay-changed", EventSeverity::kInfo,
    "A different entry relays the store's changes to this one; with none, this "
    "entry reads the store itself."};
inline constexpr EventInfo kRelayFailed{
    1050, "watch-relay-failed", EventSeverity::kWarning,
    "The entry that relays the store's changes did not answer or failed."};

inline constexpr EventInfo kRelayLists{
    1052, "watch-relay-lists", EventSeverity::kInfo,
    "The store no longer has the change history; this entry lists the objects "
    "that it relays and sends the differences to the others."};

inline constexpr EventInfo kRelayNotListening{
    1051, "watch-relay-not-listening", EventSeverity::kError,
    "Other entries cannot ask this one to relay the store's changes."};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_EVENTS_H_
