#include "observe/event_log.h"

#include <easylogging++.h>

#include <cstdio>
#include <memory>
#include <mutex>

#include "observe/line_writer.h"

INITIALIZE_EASYLOGGINGPP

namespace indigolead {
namespace {

/// Longest value in a line. Callers choose some values, such as request ids.
constexpr std::size_t kMaxValueBytes = 8U << 10;

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"\\=\t\r\n") != std::string_view::npos;
}

void AppendQuoted(std::string_view value, std::string* out) {
  out->push_back('"');
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out->push_back('\\');
      out->push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char buf[8];
      std::snprintf(buf, sizeof(buf), "\\x%02x", static_cast<unsigned>(c));
      out->append(buf);
    } else {
      out->push_back(c);
    }
  }
  out->push_back('"');
}

/// Writes log lines to standard error. easylogging++ supports only standard
/// output and files, and standard output is reserved for a command's result.
class StderrDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage* message = data->logMessage();
    // A single call writes the whole line, so lines of several threads do not
    // interleave.
    std::fputs(message->logger()->logBuilder()->build(message, true).c_str(),
               stderr);
  }
};

/// Passes log lines to a `LineWriter`, which writes them to standard output.
class StdoutDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage* message = data->logMessage();
    writer_.Push(message->logger()->logBuilder()->build(message, true));
  }

 private:
  LineWriter writer_{LineWriter::Options{}};
};

template <typename Dispatch>
void ConfigureOnce(const std::string& process_name) {
  static std::once_flag once;
  std::call_once(once, [&process_name] {
    el::Configurations config;
    config.setToDefault();
    config.setGlobally(el::ConfigurationType::ToFile, "false");
    config.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    config.setGlobally(
        el::ConfigurationType::Format,
        "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " + process_name + " %msg");
    el::Loggers::reconfigureAllLoggers(config);
    el::Helpers::uninstallLogDispatchCallback<
        el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<Dispatch>("Dispatch");
  });
}

}  // namespace

std::string FormatEvent(const EventInfo& event, const EventFields& fields) {
  std::string line = std::to_string(event.number);
  line.append(" ").append(event.name);
  for (const auto& [name, whole] : fields) {
    const auto value = std::string_view{whole}.substr(0, kMaxValueBytes);
    line.append(" ").append(name).append("=");
    if (NeedsQuotes(value)) {
      AppendQuoted(value, &line);
    } else {
      line.append(value);
    }
    if (value.size() < whole.size()) {
      line.append("...");
    }
  }
  return line;
}

namespace {

EventLog MakeEasyLog(EventSeverity minimum) {
  return [minimum](const EventInfo& event, const EventFields& fields) {
    if (event.severity < minimum) {
      return;
    }
    const std::string line = FormatEvent(event, fields);
    switch (event.severity) {
      case EventSeverity::kDebug:
        LOG(DEBUG) << line;
        break;
      case EventSeverity::kInfo:
        LOG(INFO) << line;
        break;
      case EventSeverity::kWarning:
        LOG(WARNING) << line;
        break;
      case EventSeverity::kError:
        LOG(ERROR) << line;
        break;
    }
  };
}

}  // namespace

EventLog MakeStderrEventLog(const std::string& process_name,
                            EventSeverity minimum) {
  ConfigureOnce<StderrDispatch>(process_name);
  return MakeEasyLog(minimum);
}

EventLog MakeStdoutEventLog(const std::string& process_name,
                            EventSeverity minimum) {
  ConfigureOnce<StdoutDispatch>(process_name);
  return MakeEasyLog(minimum);
}

EventLog MakeNullEventLog() {
  return [](const EventInfo&, const EventFields&) {};
}

}  // namespace indigolead
