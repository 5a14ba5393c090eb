#include <string>
#include <utility>

#include "cli/commands.h"
#include "cli/events.h"
#include "cli/flags.h"
#include "cli/settings_file.h"
#include "cli/stop_signals.h"
#include "entry/entry_process.h"
#include "side/side_process.h"

namespace indigolead::cli {
namespace {

EventSeverity SeverityOf(const std::string& name) {
  if (name == "debug") {
    return EventSeverity::kDebug;
  }
  if (name == "warning") {
    return EventSeverity::kWarning;
  }
  return name == "error" ? EventSeverity::kError : EventSeverity::kInfo;
}

EventLog MakeLog(const Settings& settings, const std::string& command) {
  EventLog log = MakeStderrEventLog(command + "/" + settings.instance.name,
                                    SeverityOf(settings.log.minimum));
  log(kProcessStarting, {{"command", command},
                         {"version", INDIGOLEAD_VERSION},
                         {"instance", settings.instance.name},
                         {"failure_domain", settings.instance.failure_domain},
                         {"region", settings.instance.region}});
  return log;
}

void LogStop(const EventLog& log, int signal) {
  log(kStopRequested, {{"signal", std::to_string(signal)}});
}

int LogStopped(const EventLog& log, int code) {
  log(kProcessStopped, {{"exit_code", std::to_string(code)}});
  return code;
}

int LogFailure(const EventLog& log, const Error& error) {
  log(kStartFailed, {{"error", ToString(error)}});
  return error.code == ErrorCode::kInvalidInput ? kExitUsage : kExitFailed;
}

}  // namespace

int RunEntry(const CommandContext& context) {
  const auto settings =
      LoadSettings(FLAGS_settings, SettingsRole::kEntry, *context.err);
  if (!settings) {
    return kExitUsage;
  }
  const EventLog log = MakeLog(*settings, "entry");
  EntryProcess process(*settings, log);
  const StopSignals signals([&](int signal) {
    LogStop(log, signal);
    process.RequestStop();
  });
  if (const Status started = process.Start(); !IsOk(started)) {
    return LogFailure(log, ErrorOf(started));
  }
  *context.out << "listening http=" << process.http_address()
               << " link=" << process.link_address() << std::endl;
  if (const Status done = process.Run(); !IsOk(done)) {
    return LogFailure(log, ErrorOf(done));
  }
  return LogStopped(log, kExitOk);
}

int RunSide(const CommandContext& context) {
  const auto settings =
      LoadSettings(FLAGS_settings, SettingsRole::kSide, *context.err);
  if (!settings) {
    return kExitUsage;
  }
  const EventLog log = MakeLog(*settings, "side");
  SideProcess::Hooks hooks;
  hooks.on_ready = [&](const std::string& link_address) {
    *context.out << "listening link=" << link_address << std::endl;
  };
  SideProcess process(*settings, log, std::move(hooks));
  const StopSignals signals([&](int signal) {
    LogStop(log, signal);
    process.RequestStop();
  });
  return LogStopped(log, process.Run());
}

}  // namespace indigolead::cli
