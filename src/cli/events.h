#ifndef INDIGOLEAD_CLI_EVENTS_H_
#define INDIGOLEAD_CLI_EVENTS_H_

#include "observe/event_log.h"

namespace indigolead {

inline constexpr EventInfo kProcessStarting{
    7001, "process-starting", EventSeverity::kInfo,
    "A process starts with settings that passed every check."};
inline constexpr EventInfo kStopRequested{
    7002, "stop-requested", EventSeverity::kInfo,
    "A signal asked the process to stop; it drains first."};
inline constexpr EventInfo kProcessStopped{
    7003, "process-stopped", EventSeverity::kInfo,
    "The process has stopped, with the given exit code."};
inline constexpr EventInfo kStartFailed{7004, "start-failed",
                                        EventSeverity::kError,
                                        "The process could not start."};

}  // namespace indigolead

#endif  // INDIGOLEAD_CLI_EVENTS_H_
