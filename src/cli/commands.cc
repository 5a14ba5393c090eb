#include "cli/commands.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "cli/flags.h"
#include "core/config/declaration_keys.h"
#include "core/config/key_rules.h"
#include "core/config/settings_table.h"
#include "platform/command.h"
#include "platform/object_check.h"

namespace indigolead::cli {
namespace {

int RunVersion(const CommandContext& context) {
  *context.out << "indigolead " << INDIGOLEAD_VERSION << "\n";
  return kExitOk;
}

int RunHelp(const CommandContext& context) {
  if (context.arguments.empty()) {
    *context.out << HelpText();
    return kExitOk;
  }
  if (context.arguments[0] == "settings") {
    *context.out << SettingsMarkdown();
    return kExitOk;
  }
  if (context.arguments[0] == "declarations") {
    *context.out << DeclarationsMarkdown();
    return kExitOk;
  }
  return RunCommandLine({context.arguments[0], "--help"}, *context.out,
                        *context.err);
}

/// Returns the flags common to all commands that use the store, followed by
/// `more`.
std::vector<std::string> StoreFlags(std::vector<std::string> more) {
  std::vector<std::string> flags = {"store", "settings"};
  flags.insert(flags.end(), more.begin(), more.end());
  return flags;
}

void AddProcessCommands(std::vector<Command>* commands) {
  commands->push_back(
      {"entry",
       "",
       "Serve callers; run on each thin instance.",
       "Prints \"listening http=IP:PORT link=IP:PORT\" once ready. SIGTERM or "
       "SIGINT stops it\nafter the requests in flight have finished.",
       {"settings"},
       0,
       0,
       RunEntry});
  commands->push_back(
      {"side",
       "",
       "Run as the sidecar of one target.",
       "Prints \"listening link=IP:PORT\" once ready. SIGTERM or SIGINT stops "
       "it after the\nattempts in flight have finished.",
       {"settings"},
       0,
       0,
       RunSide});
}

void AddPlatformCommand(std::vector<Command>* commands) {
  commands->push_back(
      {"platform-entry",
       "",
       "Serve callers on the users' platform.",
       "Reads the settings file that the platform names in the environment. "
       "SIGTERM stops it\nafter the requests in flight have finished.",
       {"metrics_port", "share_queues"},
       0,
       0,
       platform::RunPlatformEntry});
  commands->push_back(
      {"platform-objects",
       "",
       "List objects of the platform's store that entries cannot use.",
       "Reads the settings file that the platform names in the environment.",
       {},
       0,
       0,
       platform::CheckObjects});
}

void AddRevisionCommands(std::vector<Command>* commands) {
  commands->push_back(
      {"check",
       "[DIR]",
       "Check settings or declarations without changing anything.",
       "With --settings FILE --as entry|side|platform-entry, checks a settings "
       "file. With "
       "DIR, checks the\ndeclarations in its *.ini files.",
       {"settings", "as"},
       0,
       1,
       RunCheck});
  commands->push_back({"diff", "DIR", "Show what applying DIR would change.",
                       "", StoreFlags({"seen"}), 1, 1, RunDiff});
  commands->push_back(
      {"apply", "DIR", "Make the declarations in DIR the live revisions.",
       "Each deployment changes as a whole, and only if the live revision is "
       "the one that DIR was\nedited from (seen.ini or --seen). With --wait, "
       "returns once it is in force everywhere\nas seen by the entries in "
       "--entry, or lists what is missing.",
       StoreFlags({"seen", "author", "source_version", "note", "wait", "entry",
                   "timeout"}),
       1, 1, RunApply});
  commands->push_back({"history", "DEPLOYMENT",
                       "List a deployment's revisions.", "",
                       StoreFlags({"output"}), 1, 1, RunHistory});
  commands->push_back(
      {"rollback", "DEPLOYMENT NUMBER",
       "Make an earlier revision's content the newest.",
       "The result is a new revision; numbers never go back.",
       StoreFlags({"author", "note", "wait", "entry", "timeout"}), 2, 2,
       RunRollback});
  commands->push_back(
      {"export", "DIR", "Write the live state as declarations.",
       "DIR must be empty or absent. Applying an export changes nothing.",
       StoreFlags({}), 1, 1, RunExport});
}

void AddFleetCommands(std::vector<Command>* commands) {
  commands->push_back(
      {"status",
       "",
       "Show the state of the fleet as an entry sees it.",
       "Works while the object API is down. --entry may name several; the "
       "first that responds\nis used.",
       {"entry", "output"},
       0,
       0,
       RunStatus});
  commands->push_back({"drain", "INSTANCE", "Give an instance no new work.",
                       "Requests in flight finish, including streams.",
                       StoreFlags({"author", "note"}), 1, 1, RunDrain});
  commands->push_back({"undrain", "INSTANCE",
                       "Let an instance take new work again.", "",
                       StoreFlags({"author", "note"}), 1, 1, RunUndrain});
  commands->push_back({"quarantines", "", "List the quarantined requests.", "",
                       StoreFlags({"output"}), 0, 0, RunQuarantines});
  commands->push_back({"lift", "FINGERPRINT", "Lift a quarantine.", "",
                       StoreFlags({"author", "note"}), 1, 1, RunLift});
  commands->push_back({"audit", "", "List the accepted changes, oldest first.",
                       "", StoreFlags({"since", "output"}), 0, 0, RunAudit});
}

std::vector<Command> MakeCommands() {
  std::vector<Command> commands;
  AddProcessCommands(&commands);
  AddPlatformCommand(&commands);
  AddRevisionCommands(&commands);
  AddFleetCommands(&commands);
  commands.push_back(
      {"replay",
       "TRACE [POLICY] | generate SCENARIO [SEED]",
       "Replay a recorded trace through routing, admission, retries and role "
       "planning.",
       "Time is virtual and every draw is seeded, so the outcome repeats. "
       "Fails if an expectation\nof the trace is not met.",
       {"output"},
       1,
       3,
       RunReplay});
  commands.push_back(
      {"report",
       "LOG...",
       "Summarize entry logs: where requests spent time and why some failed.",
       "Lines that cannot be read are counted and skipped. With --csv and "
       "--svg "
       "the figures of\neach second are written to files as well.",
       {"csv", "svg"},
       1,
       1000,
       RunReport});
  commands.push_back(
      {"version", "", "Print the version.", "", {}, 0, 0, RunVersion});
  commands.push_back({"help",
                      "[COMMAND | settings | declarations]",
                      "Explain a command, or print a reference page.",
                      "",
                      {},
                      0,
                      1,
                      RunHelp});
  return commands;
}

const Command* FindCommand(const std::string& name) {
  const auto& commands = Commands();
  const auto it =
      std::find_if(commands.begin(), commands.end(),
                   [&](const Command& c) { return c.name == name; });
  return it == commands.end() ? nullptr : &*it;
}

int ReportUnknownCommand(const std::string& name, std::ostream& err) {
  std::vector<std::string> names;
  for (const Command& it : Commands()) {
    names.push_back(it.name);
  }
  err << "indigolead: \"" << name << "\" is not a command";
  if (const auto nearest = NearestWord(name, names)) {
    err << "; did you mean " << *nearest << "?";
  }
  err << "\nTry: indigolead help\n";
  return kExitUsage;
}

}  // namespace

const std::vector<Command>& Commands() {
  static const auto* const commands = new std::vector<Command>(MakeCommands());
  return *commands;
}

std::string HelpText() {
  constexpr std::size_t kNameWidth = 13;
  std::ostringstream os;
  os << "Usage: indigolead COMMAND [FLAGS] [ARGUMENTS]\n\nCommands:\n";
  for (const Command& it : Commands()) {
    std::string name = it.name;
    name.resize(std::max(kNameWidth, name.size() + 1), ' ');
    os << "  " << name << it.summary << "\n";
  }
  os << "\nindigolead COMMAND --help explains one. Exit codes: 0 success, 1 "
        "failure,\n2 invalid arguments or files, 3 conflict with another edit, "
        "4 "
        "not in force in time.\n";
  return os.str();
}

std::string HelpText(const Command& command) {
  std::ostringstream os;
  os << "Usage: indigolead " << command.name;
  os << (command.flags.empty() ? "" : " [FLAGS]");
  os << (command.arguments.empty() ? "" : " ") << command.arguments << "\n\n"
     << command.summary << "\n";
  if (!command.details.empty()) {
    os << "\n" << command.details << "\n";
  }
  if (!command.flags.empty()) {
    os << "\nFlags:\n";
  }
  for (const std::string& it : command.flags) {
    os << "  " << FlagHelp(it) << "\n";
  }
  return os.str();
}

int RunCommandLine(const std::vector<std::string>& arguments, std::ostream& out,
                   std::ostream& err) {
  if (arguments.empty()) {
    err << HelpText();
    return kExitUsage;
  }
  std::string name = arguments[0];
  if (name == "--help" || name == "-h") {
    name = "help";
  } else if (name == "--version") {
    name = "version";
  }
  const Command* command = FindCommand(name);
  if (command == nullptr) {
    return ReportUnknownCommand(name, err);
  }
  auto parsed =
      ParseFlags({arguments.begin() + 1, arguments.end()}, command->flags);
  if (parsed.index() == 1) {
    err << "indigolead " << name << ": " << std::get<1>(parsed) << "\n";
    return kExitUsage;
  }
  std::vector<std::string> others = std::get<0>(std::move(parsed));
  if (std::find(others.begin(), others.end(), "--help") != others.end()) {
    out << HelpText(*command);
    return kExitOk;
  }
  if (others.size() < command->min_arguments ||
      others.size() > command->max_arguments) {
    err << "indigolead " << name << ": expected arguments "
        << (command->arguments.empty() ? "none" : command->arguments)
        << ", got " << others.size() << "\nTry: indigolead " << name
        << " --help\n";
    return kExitUsage;
  }
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    err << "indigolead " << name << ": --output: \"" << FLAGS_output
        << "\" is not accepted; accepted is table or json\n";
    return kExitUsage;
  }
  return command->run({std::move(others), &out, &err});
}

}  // namespace indigolead::cli
