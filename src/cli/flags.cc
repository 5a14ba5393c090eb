#include "cli/flags.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <optional>

DEFINE_string(settings, "",
              "Settings file (INI); docs/SETTINGS.md has its keys");
DEFINE_string(as, "",
              "Command whose settings are checked: entry, side or "
              "platform-entry");
DEFINE_string(store, "", "Object API at IP:PORT, overrides [store] address");
DEFINE_string(entry, "", "Comma-separated HTTP addresses IP:PORT of entries");
DEFINE_string(output, "table", "Output format: table or json");
DEFINE_string(seen, "",
              "Revisions that the edit was made from, as NAME=NUMBER,...; 0: "
              "none. Overrides seen.ini");
DEFINE_string(author, "", "Author of the change; default: $USER");
DEFINE_string(source_version, "", "Version-control revision of the edit");
DEFINE_string(note, "", "Reason for the change");
DEFINE_string(since, "", "Only records newer than this, such as 30m or 24h");
DEFINE_string(timeout, "30s", "Timeout of --wait");
DEFINE_bool(wait, false, "Wait until the change is in force everywhere");
DEFINE_string(csv, "", "CSV file to write with the figures of each second");
DEFINE_string(svg, "",
              "SVG file to write with a chart of the requests in each second");
DEFINE_int32(metrics_port, 0,
             "Port of GET /metrics; 0: served only on the readiness address");
DEFINE_bool(share_queues, false,
            "Share open work at engines with the other entries");

namespace indigolead::cli {
namespace {

using Info = google::CommandLineFlagInfo;

/// Name and value of an argument that begins with a dash.
struct ParsedFlag {
  std::string name;
  std::optional<std::string> value;
};

ParsedFlag SplitFlag(const std::string& argument) {
  const std::string text = argument.substr(argument[1] == '-' ? 2 : 1);
  const std::size_t equals = text.find('=');
  std::string name = text.substr(0, equals);
  std::replace(name.begin(), name.end(), '-', '_');
  if (equals == std::string::npos) {
    return {name, std::nullopt};
  }
  return {name, text.substr(equals + 1)};
}

bool IsFlag(const std::string& argument) {
  return argument.size() > 1 && argument[0] == '-';
}

/// Resets `names` to their defaults, so that one process can run several
/// command lines.
void ResetFlags(const std::vector<std::string>& names) {
  for (const std::string& it : names) {
    Info info;
    if (google::GetCommandLineFlagInfo(it.c_str(), &info)) {
      google::SetCommandLineOption(it.c_str(), info.default_value.c_str());
    }
  }
}

std::string AcceptedFlags(const std::vector<std::string>& accepted) {
  std::string text;
  for (const std::string& it : accepted) {
    text += " --" + it;
  }
  return text.empty() ? " none" : text;
}

}  // namespace

std::string FlagHelp(const std::string& name) {
  Info info;
  if (!google::GetCommandLineFlagInfo(name.c_str(), &info)) {
    return "--" + name;
  }
  std::string line = "--" + name;
  line += info.type == "bool" ? "" : "=VALUE";
  line.resize(std::max<std::size_t>(line.size() + 2, 24), ' ');
  line += info.description;
  if (info.type != "bool" && !info.default_value.empty()) {
    line += " (default: " + info.default_value + ")";
  }
  return line;
}

// The arguments are parsed here because gflags exits with code 1 on an unknown
// flag, and its --flagfile would be a second way to give settings. gflags only
// defines the flags and checks their types and values.
std::variant<std::vector<std::string>, std::string> ParseFlags(
    const std::vector<std::string>& arguments,
    const std::vector<std::string>& accepted) {
  ResetFlags(accepted);
  std::vector<std::string> others;
  for (auto it = arguments.begin(); it != arguments.end(); ++it) {
    if (*it == "--") {
      others.insert(others.end(), it + 1, arguments.end());
      break;
    }
    if (!IsFlag(*it)) {
      others.push_back(*it);
      continue;
    }
    ParsedFlag flag = SplitFlag(*it);
    if (flag.name == "help" || flag.name == "h") {
      others.emplace_back("--help");
      continue;
    }
    Info info;
    if (std::find(accepted.begin(), accepted.end(), flag.name) ==
            accepted.end() ||
        !google::GetCommandLineFlagInfo(flag.name.c_str(), &info)) {
      return "--" + flag.name + " is not a flag of this command; accepted are" +
             AcceptedFlags(accepted);
    }
    if (!flag.value && info.type == "bool") {
      flag.value = "true";
    }
    if (!flag.value && it + 1 != arguments.end()) {
      flag.value = *++it;
    }
    if (!flag.value ||
        google::SetCommandLineOption(flag.name.c_str(), flag.value->c_str())
            .empty()) {
      return "--" + flag.name + " needs a value; " + FlagHelp(flag.name);
    }
  }
  return others;
}

}  // namespace indigolead::cli
