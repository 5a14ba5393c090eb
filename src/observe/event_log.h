#ifndef INDIGOLEAD_OBSERVE_EVENT_LOG_H_
#define INDIGOLEAD_OBSERVE_EVENT_LOG_H_

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigolead {

/// How much attention an event needs from an operator.
enum class EventSeverity { kDebug, kInfo, kWarning, kError };

/// One numbered kind of log event. Constants of this type live in the
/// `events.h` of the folder that logs them; docs/EVENTS.md lists them all.
///
/// Numbers: 1xxx entry, 2xxx side, 3xxx store, 4xxx control, 5xxx links and
/// membership, 6xxx claims, 7xxx processes, settings and platform, 8xxx
/// routing.
struct EventInfo {
  int number;
  std::string_view name;  ///< Stable, lower-case, hyphenated.
  EventSeverity severity;
  std::string_view meaning;  ///< One sentence: what happened.
};

/// Names and values logged with an event.
using EventFields = std::vector<std::pair<std::string, std::string>>;

/// Logs one event. Injected into every component that logs. Safe to call from
/// any thread.
using EventLog = std::function<void(const EventInfo&, const EventFields&)>;

/// Returns an `EventLog` that writes one line per event to standard error
/// through easylogging++: time, severity, process, number, name, fields as
/// name=value. Events below `minimum` are dropped.
EventLog MakeStderrEventLog(const std::string& process_name,
                            EventSeverity minimum);

/// Returns an `EventLog` that writes to standard output and never blocks on the
/// reader; lines that do not fit into its buffer are dropped and counted. For
/// processes whose output is their log. A process uses either this log or the
/// one of `MakeStderrEventLog`.
EventLog MakeStdoutEventLog(const std::string& process_name,
                            EventSeverity minimum);

/// Returns an `EventLog` that discards all events.
EventLog MakeNullEventLog();

/// Returns `event` and `fields` as the text of one log line, with control
/// characters and quotes in values escaped.
std::string FormatEvent(const EventInfo& event, const EventFields& fields);

}  // namespace indigolead

#endif  // INDIGOLEAD_OBSERVE_EVENT_LOG_H_
