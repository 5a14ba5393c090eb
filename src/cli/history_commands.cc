#include <filesystem>
#include <nlohmann/json.hpp>
#include <system_error>

#include "cli/commands.h"
#include "cli/declaration_dir.h"
#include "cli/flags.h"
#include "cli/revision_store.h"
#include "cli/time_text.h"
#include "core/base/text_table.h"
#include "core/config/declarations.h"
#include "core/config/revision_json.h"

namespace indigolead::cli {
namespace {

void PrintHistoryJson(std::ostream& os,
                      const std::vector<Revision>& revisions) {
  auto all = nlohmann::json::array();
  for (const Revision& it : revisions) {
    all.push_back(nlohmann::json::parse(ToJson(it)));
  }
  os << all.dump() << "\n";
}

void PrintHistoryTable(std::ostream& os,
                       const std::vector<Revision>& revisions) {
  TextTable table(
      {"revision", "accepted", "author", "source", "digest", "note"});
  for (const Revision& it : revisions) {
    table.AddRow({std::to_string(it.number), WallTimeText(it.accepted_at),
                  it.author, it.source_version.substr(0, 12),
                  DigestText(it.digest), it.note});
  }
  os << table.ToText();
}

}  // namespace

int RunHistory(const CommandContext& context) {
  const auto store = OpenStore(context);
  if (store == nullptr) {
    return kExitUsage;
  }
  const auto history = ReadHistory(store.get(), context.arguments[0]);
  if (!IsOk(history)) {
    return ReportError(context, ErrorOf(history));
  }
  if (FLAGS_output == "json") {
    PrintHistoryJson(*context.out, ValueOf(history));
  } else {
    PrintHistoryTable(*context.out, ValueOf(history));
  }
  return kExitOk;
}

int RunExport(const CommandContext& context) {
  const std::filesystem::path directory = context.arguments[0];
  const auto store = OpenStore(context);
  if (store == nullptr) {
    return kExitUsage;
  }
  std::error_code ec;
  std::filesystem::create_directories(directory, ec);
  if (!std::filesystem::is_empty(directory, ec) || ec) {
    *context.err << "indigolead export: " << directory.string()
                 << " is not an empty directory\n";
    return kExitUsage;
  }
  const auto live = ReadAllLive(store.get());
  if (!IsOk(live)) {
    return ReportError(context, ErrorOf(live));
  }
  SeenRevisions seen;
  for (const LiveRevision& it : ValueOf(live)) {
    const std::string& name = it.revision.spec.name;
    const std::string path = (directory / (name + ".ini")).string();
    const Status written =
        WriteTextFile(path, WriteDeclaration(it.revision.spec));
    if (!IsOk(written)) {
      return ReportError(context, ErrorOf(written));
    }
    seen[name] = it.revision.number;
    *context.out << path << ": revision " << it.revision.number << "\n";
  }
  const Status saved = SaveSeen(directory.string(), seen);
  return IsOk(saved) ? kExitOk : ReportError(context, ErrorOf(saved));
}

}  // namespace indigolead::cli
